#include "fakes/dns_response.h"

namespace rookproxy::test {
namespace {

enum class RecordType : std::uint16_t { kA = 1, kSoa = 6, kTxt = 16, kSrv = 33 };

constexpr std::size_t kHeaderSize = 12;           // id, flags and four counts
constexpr std::uint16_t kAuthoritative = 0x8400;  // flags: an authoritative response
constexpr std::uint16_t kInternetClass = 1;       // IN
constexpr std::uint16_t kSrvWeight = 10;
constexpr std::size_t kRecordHeaderSize = 10;       // type, class, time to live and data length
constexpr std::size_t kSrvFieldsBeforeTarget = 6;   // priority, weight and port
constexpr std::uint16_t kCompressionMarker = 0xc0;  // marks the first byte of a pointer to an earlier name

void append_big_endian_16(std::string& out, unsigned value) {
  out += static_cast<char>(value >> 8);
  out += static_cast<char>(value);
}

void append_big_endian_32(std::string& out, std::uint32_t value) {
  append_big_endian_16(out, value >> 16);
  append_big_endian_16(out, value & 0xffff);
}

void append_length_prefixed(std::string& out, const std::string& text) {
  out += static_cast<char>(text.size());
  out += text;
}

// Returns a name encoded as a pointer to its earlier occurrence in the message.
std::string name_at(std::size_t offset) {
  return {static_cast<char>(kCompressionMarker | offset >> 8), static_cast<char>(offset)};
}

void append_record(std::string& out, const std::string& owner, RecordType type, const std::string& data) {
  out += owner;
  append_big_endian_16(out, static_cast<unsigned>(type));
  append_big_endian_16(out, kInternetClass);
  append_big_endian_32(out, 0);  // time to live
  append_big_endian_16(out, static_cast<unsigned>(data.size()));
  out += data;
}

std::string srv_data(const EngineEndpoint& endpoint) {
  std::string data;
  append_big_endian_16(data, endpoint.state == routing::EngineState::kServing ? 0 : 1);
  append_big_endian_16(data, kSrvWeight);
  append_big_endian_16(data, endpoint.address.port);
  append_length_prefixed(data, endpoint.id);
  append_length_prefixed(data, endpoint.zone.empty() ? "z" : endpoint.zone);
  append_length_prefixed(data, "hosts");
  data += '\0';
  return data;
}

std::string soa_data(const std::string& name, std::uint32_t version) {
  std::string data = name + name;
  append_big_endian_32(data, version);
  for (int field = 0; field < 4; ++field) append_big_endian_32(data, 1);  // refresh, retry, expire, minimum
  return data;
}

std::string address_data(const EngineEndpoint& endpoint) {
  std::string data;
  append_big_endian_32(data, endpoint.address.ip);
  return data;
}

std::string text_data(const EngineEndpoint& endpoint) {
  std::string data;
  append_length_prefixed(data, "kind=" + endpoint.machine_type);
  append_length_prefixed(data, "cell=0");
  append_length_prefixed(data, "started=0");
  return data;
}

}  // namespace

std::string make_dns_response(std::string_view query, std::uint32_t version,
                              const std::vector<EngineEndpoint>& endpoints) {
  std::string out(query.substr(0, 2));  // the query's id
  append_big_endian_16(out, kAuthoritative);
  append_big_endian_16(out, 1);                                            // questions
  append_big_endian_16(out, static_cast<unsigned>(endpoints.size()));      // answers
  append_big_endian_16(out, 1);                                            // authority records
  append_big_endian_16(out, static_cast<unsigned>(2 * endpoints.size()));  // additional records
  out += query.substr(kHeaderSize);
  const std::string question = name_at(kHeaderSize);
  std::vector<std::string> targets;
  for (const EngineEndpoint& endpoint : endpoints) {
    targets.push_back(name_at(out.size() + question.size() + kRecordHeaderSize + kSrvFieldsBeforeTarget));
    append_record(out, question, RecordType::kSrv, srv_data(endpoint));
  }
  append_record(out, question, RecordType::kSoa, soa_data(question, version));
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    append_record(out, targets[i], RecordType::kA, address_data(endpoints[i]));
    append_record(out, targets[i], RecordType::kTxt, text_data(endpoints[i]));
  }
  return out;
}

}  // namespace rookproxy::test
