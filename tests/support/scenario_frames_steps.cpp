#include <sstream>

#include "support/request_frame.h"
#include "support/require.h"
#include "support/scenario_steps.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

// The first call ids of `request` and of `fields` steps, in separate ranges.
constexpr std::uint64_t kFirstRequestCallId = 0x1000000000000000;
constexpr std::uint64_t kFirstFieldsCallId = 0x2000000000000000;
constexpr int kSlowRequestPieceCount = 10;

// The words before the kind of frame, which set the way of sending it: begin, slowly MS, as TOKEN.
struct SendingMode {
  bool is_first_half = false;
  std::chrono::milliseconds pause{0};
  std::string token;
  std::string what;  // The kind of frame: the first word after the modifiers.
};

SendingMode read_sending_mode(const ScenarioState& state, std::string what, StepReader& reader) {
  SendingMode mode;
  mode.is_first_half = what == "begin";
  if (mode.is_first_half) what = reader.next_word();
  if (what == "slowly") {
    mode.pause = reader.next_milliseconds() / kSlowRequestPieceCount;
    what = reader.next_word();
  }
  if (what == "as") {
    mode.token = state.token_or_text(reader.next_word());
    what = reader.next_word();
  }
  mode.what = what;
  return mode;
}

std::uint32_t read_stream_id(ScenarioState& state, StepReader& reader) {
  const std::string word = reader.next_word();
  if (word == "+") return ++state.last_stream_id;
  return static_cast<std::uint32_t>(std::stoul(word));
}

// NAME=VALUE,NAME=VALUE
frames::Fields parse_field_list(const std::string& list) {
  frames::Fields fields;
  std::istringstream parts(list);
  for (std::string part; std::getline(parts, part, ',');) {
    const auto equals_sign = part.find('=');
    fields[part.substr(0, equals_sign)] = part.substr(equals_sign + 1);
  }
  return fields;
}

frames::Fields read_fields(ScenarioState& state, const std::string& what, StepReader& reader) {
  if (what == "request") {
    frames::Fields fields;
    fields["op"] = reader.next_word();
    fields["ttl"] = reader.next_word();
    fields["call"] = format_call_id(kFirstRequestCallId + ++state.last_call_id);
    return fields;
  }
  frames::Fields fields = parse_field_list(reader.next_word());
  const auto call = fields.find("call");
  if (call != fields.end() && call->second == "new") {
    call->second = format_call_id(kFirstFieldsCallId + ++state.last_call_id);
  }
  return fields;
}

void expect_go_away(const ReceivedFrame& frame) {
  require(frame.type == frames::kGoAway && frame.stream_id == 0, "expected a go-away frame on stream 0");
}

void expect_readiness(const ReceivedFrame& frame, int expected) {
  require(frame.type == frames::kReadiness, "expected a readiness frame");
  require(frame.payload[0] == expected, "unexpected readiness code");
}

// Returns the response code that WORD stands for in `expect C WORD STREAM`.
int expected_code(const std::string& what, int code) {
  if (what == "final") return code;  // Any code is accepted.
  if (what == "served") return frames::kServed;
  const bool is_rejected = what == "refused" || what == "denied" || what == "pushback";
  return is_rejected ? frames::kRejected : frames::kFailed;
}

void expect_denial(const frames::Fields& fields, const std::string& reason, std::string_view body) {
  const auto found = fields.find("denied");
  require(found != fields.end() && found->second == reason,
          "missing or other denial reason: " + std::string(body));
}

void expect_body(std::string_view body, int code, const std::string& text) {
  const bool is_expected = code == frames::kServed ? body == text : body.find(text) != std::string_view::npos;
  require(is_expected, "unexpected body '" + std::string(body) + "'");
}

void expect_response(const ReceivedFrame& frame, const std::string& what, StepReader& reader) {
  require(frame.type == frames::kResponse,
          "expected a response frame, got type " + std::to_string(frame.type));
  if (what == "error") return require(frame.stream_id == 0, "expected an error on stream 0");
  const int code = frame.payload[0];
  std::string_view body = std::string_view(frame.payload).substr(1);
  frames::Fields fields;
  require(frames::parse_fields(body, fields), "malformed response fields");
  require(frame.stream_id == std::stoul(reader.next_word()),
          "unexpected stream " + std::to_string(frame.stream_id));
  require(code == expected_code(what, code),
          "unexpected code " + std::to_string(code) + ": " + std::string(body));
  if (what == "denied") return expect_denial(fields, reader.next_word(), body);
  require(code != frames::kRejected || fields.contains("pushback"), "rejection without a `pushback` field");
  if (what == "pushback") {
    return require(fields["pushback"] == reader.next_word(), "unexpected pushback " + fields["pushback"]);
  }
  expect_body(body, code, reader.remaining_text());
}

}  // namespace

void send_as_frames_client(ScenarioState& state, FramesClient& client, const std::string& what,
                           StepReader& reader) {
  if (what == "finish") return client.send_second_half();
  const SendingMode mode = read_sending_mode(state, what, reader);
  if (mode.what == "hex") return client.send(decode_hex(reader.next_word()));
  const std::uint32_t stream_id = read_stream_id(state, reader);
  if (mode.what == "abandon") return client.send(frames::encode_frame(frames::kCancel, stream_id, ""));
  if (mode.what == "ready") {
    return client.send(frames::encode_frame(frames::kReadinessQuery, stream_id, std::string(1, '\0')));
  }
  frames::Fields fields = read_fields(state, mode.what, reader);
  if (!mode.token.empty()) fields["token"] = mode.token;
  const std::string frame = encode_request_frame(stream_id, fields, reader.remaining_text());
  if (mode.is_first_half) return client.send_first_half(frame);
  if (mode.pause > 0ms) return client.send_in_pieces(frame, mode.pause);
  client.send(frame);
}

void expect_of_frames_client(FramesClient& client, const std::string& what, StepReader& reader) {
  if (what == "goaway" && reader.next_word() == "among") {
    return require(client.take_frame_of_type(frames::kGoAway), "no go-away frame within the time limit");
  }
  const auto frame = client.next_frame();
  require(frame.has_value(), "no frame within the time limit");
  if (what == "goaway") return expect_go_away(*frame);
  if (what == "ready") return expect_readiness(*frame, reader.next_integer());
  expect_response(*frame, what, reader);
}

}  // namespace rookproxy::test
