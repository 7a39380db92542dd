// Tests the authentication of datagrams and the key file.
#include "cluster/transport/message_authenticator.h"

#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <optional>
#include <string>
#include <variant>

#include "cluster/transport/codec.h"
#include "fakes/temporary_directory.h"

namespace rookproxy::cluster::transport {
namespace {

constexpr std::uint32_t kClusterFingerprint = 0xfeedbeef;
const std::string kKey(32, 'k');
const std::string kOtherKey(40, 'o');

std::optional<DropReason> drop_reason(const std::variant<Envelope, DropReason>& decoded) {
  const auto* reason = std::get_if<DropReason>(&decoded);
  return reason ? std::optional(*reason) : std::nullopt;
}

TEST_CASE(
    "message authenticator: codes match RFC 4231, any configured key verifies, another receiver fails") {
  const MessageAuthenticator authenticator({std::string(131, '\xaa')});
  CHECK(authenticator.sign("Test Using Larger Than Block-Size", " Key - Hash Key First") ==
        "\x60\xe4\x31\x59\x1e\xe0\xb6\x7f\x0d\x8a\x26\xaa\xcb\xf5\xb7\x7f");
  CHECK_THROWS_AS(MessageAuthenticator({std::string(31, 'k')}), KeyError);
  const Envelope envelope{3, 5, 1, Ping{9}, {}};
  const auto decoded = [&](const Codec& sender, std::optional<MemberId> to, const Codec& receiver) {
    return drop_reason(receiver.decode(std::get<std::string>(sender.encode(envelope, to))));
  };
  const Codec old_key(kClusterFingerprint, 7, 100, {kKey});
  const Codec both_keys(kClusterFingerprint, 7, 100, {kOtherKey, kKey});
  const Codec new_key(kClusterFingerprint, 7, 100, {kOtherKey});
  CHECK_FALSE(decoded(old_key, 7, both_keys));
  CHECK_FALSE(decoded(both_keys, 7, new_key));
  CHECK(decoded(both_keys, 7, old_key) == DropReason::kInvalidMac);
  CHECK(decoded(old_key, 8, old_key) == DropReason::kInvalidMac);
  CHECK_FALSE(decoded(old_key, std::nullopt, old_key));
}

TEST_CASE("message authenticator: an unusable key file is rejected with a remedy") {
  const std::string path = test::make_temporary_directory() + "/key";
  const auto error_text = [&path] {
    try {
      read_peer_key(path);
      return std::string();
    } catch (const KeyError& error) {
      return std::string(error.what());
    }
  };
  CHECK_THAT(error_text(), Catch::Contains(path) && Catch::Contains("openssl rand"));
  const struct {
    std::string text;
    mode_t mode;
    std::string problem;
  } cases[] = {
      {std::string(32, 'a'), 0600, ""},
      {std::string(64, 'a') + "\r\n", 0640, ""},
      {std::string(31, 'a') + "\n", 0600, "31 bytes, at least 32"},
      {std::string(1025, 'a'), 0600, "over 1024"},
      {std::string(32, 'a'), 0644, "chmod o="},
  };
  for (const auto& each : cases) {
    std::ofstream(path) << each.text;
    REQUIRE(::chmod(path.c_str(), each.mode) == 0);
    if (each.problem.empty()) {
      CHECK(error_text() == "");
    } else {
      CHECK_THAT(error_text(), Catch::Contains(each.problem));
    }
  }
  REQUIRE(::chmod(path.c_str(), 0600) == 0);
  std::ofstream(path) << std::string(64, 'a') << "\r\n";
  CHECK(read_peer_key(path) == std::string(64, 'a'));
}

}  // namespace
}  // namespace rookproxy::cluster::transport
