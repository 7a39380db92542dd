#include "discovery/dns.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <utility>

#include "base/numbers.h"
#include "discovery/dns_message_reader.h"

namespace rookproxy {
namespace {

constexpr std::uint16_t kTypeA = 1;
constexpr std::uint16_t kTypeSoa = 6;
constexpr std::uint16_t kTypeTxt = 16;
constexpr std::uint16_t kTypeSrv = 33;
constexpr std::uint16_t kClassInternet = 1;

// Bits of the header's second word.
constexpr std::uint16_t kFlagResponse = 0x8000;
constexpr std::uint16_t kFlagsOpcode = 0x7800;
constexpr std::uint16_t kFlagTruncated = 0x0200;
constexpr std::uint16_t kFlagRecursionDesired = 0x0100;
constexpr std::uint16_t kFlagsResponseCode = 0x000f;

constexpr std::size_t kIpv4Size = 4;
// SRV weights are integers, ten times the weight of the engine.
constexpr double kSrvWeightPerUnit = 10;

using TxtFields = std::map<std::string, std::string>;

struct SrvRecord {
  std::uint16_t priority = 0;
  std::uint16_t weight = 0;
  std::uint16_t port = 0;
  std::string target;
};

struct HostRecords {
  std::optional<std::uint32_t> ip;
  TxtFields txt;
};

struct ResourceRecord {
  std::string owner;
  std::uint16_t type = 0;
  // The size of its data in bytes.
  std::size_t size = 0;
  // The offset after its data.
  std::size_t end = 0;
};

std::string to_lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return lower;
}

// Returns 0 if the field is absent.
std::int64_t non_negative_field(const TxtFields& txt, const std::string& key) {
  const auto found = txt.find(key);
  if (found == txt.end()) return 0;
  const auto value = parse_number<std::int64_t>(found->second);
  if (!value || *value < 0) throw MalformedDnsMessageError("TXT field is not a non-negative integer");
  return *value;
}

// The labels of a target name start with the engine's id and zone: 'engine.zone.…'.
EngineEndpoint make_endpoint(const SrvRecord& service, const HostRecords& host) {
  EngineEndpoint endpoint;
  const auto dot = service.target.find('.');
  endpoint.id = service.target.substr(0, dot);
  if (dot != std::string::npos) {
    const auto end = service.target.find('.', dot + 1);
    endpoint.zone = service.target.substr(dot + 1, end == std::string::npos ? end : end - dot - 1);
  }
  endpoint.address = {*host.ip, service.port};
  endpoint.state = service.priority == 0 ? routing::EngineState::kServing : routing::EngineState::kDraining;
  endpoint.weight = service.weight / kSrvWeightPerUnit;
  if (const auto kind = host.txt.find("kind"); kind != host.txt.end()) endpoint.machine_type = kind->second;
  endpoint.cell = static_cast<std::uint32_t>(non_negative_field(host.txt, "cell"));
  const auto started_ms = non_negative_field(host.txt, "started");
  if (started_ms > 0) endpoint.started_at = Time(std::chrono::milliseconds(started_ms));
  return endpoint;
}

class ResponseParser {
 public:
  ResponseParser(std::string_view message, std::uint16_t query_id, std::string_view service_name)
      : reader_(message), query_id_(query_id), service_name_(to_lower(service_name)) {}

  DnsResponse parse() {
    DnsError error = parse_header();
    if (error == DnsError::kNone) error = parse_records();
    if (error == DnsError::kNone) error = collect_endpoints();
    if (error != DnsError::kNone) return {error, 0, {}};
    return std::move(response_);
  }

 private:
  DnsError parse_header() {
    const std::uint16_t id = reader_.read_u16();
    const std::uint16_t flags = reader_.read_u16();
    const std::uint16_t questions = reader_.read_u16();
    answers_ = reader_.read_u16();
    authorities_ = reader_.read_u16();
    additional_ = reader_.read_u16();
    if (id != query_id_ || (flags & kFlagResponse) == 0 || (flags & kFlagsOpcode) != 0) {
      return DnsError::kMismatched;
    }
    if (questions != 1 || reader_.read_name() != service_name_ || reader_.read_u16() != kTypeSrv ||
        reader_.read_u16() != kClassInternet) {
      return DnsError::kMismatched;
    }
    if ((flags & kFlagTruncated) != 0) return DnsError::kTruncated;
    if ((flags & kFlagsResponseCode) != 0) return DnsError::kServerError;
    return DnsError::kNone;
  }

  DnsError parse_records() {
    const int records = answers_ + authorities_ + additional_;
    for (int index = 0; index < records; ++index) {
      ResourceRecord record;
      record.owner = reader_.read_name();
      record.type = reader_.read_u16();
      const std::uint16_t record_class = reader_.read_u16();
      reader_.read_u32();  // The time to live is not used, since the list is polled.
      record.size = reader_.read_u16();
      const std::size_t start = reader_.position();
      reader_.read_bytes(record.size);
      record.end = reader_.position();
      if (record_class != kClassInternet) continue;  // For example, an OPT record uses the field differently.
      reader_.seek(start);
      parse_record_data(record, index);
      if (reader_.position() != record.end) return DnsError::kMalformed;
    }
    return version_known_ ? DnsError::kNone : DnsError::kIncomplete;
  }

  void parse_record_data(const ResourceRecord& record, int index) {
    const bool in_answers = index < answers_;
    const bool in_authorities = !in_answers && index < answers_ + authorities_;
    if (record.type == kTypeSrv && in_answers && record.owner == service_name_) {
      parse_srv();
    } else if (record.type == kTypeSoa && in_authorities) {
      parse_soa(record);
    } else if (record.type == kTypeA && record.size == kIpv4Size) {
      hosts_[record.owner].ip = reader_.read_u32();
    } else if (record.type == kTypeTxt) {
      parse_txt(record);
    } else {
      reader_.seek(record.end);
    }
  }

  void parse_srv() {
    SrvRecord service;
    service.priority = reader_.read_u16();
    service.weight = reader_.read_u16();
    service.port = reader_.read_u16();
    service.target = reader_.read_name();
    services_.push_back(std::move(service));
  }

  void parse_soa(const ResourceRecord& record) {
    reader_.read_name();  // Primary server.
    reader_.read_name();  // Mailbox.
    response_.version = reader_.read_u32();
    version_known_ = true;
    reader_.seek(record.end);  // Refresh, retry, expire and minimum are for secondary servers.
  }

  void parse_txt(const ResourceRecord& record) {
    while (reader_.position() < record.end) {
      const std::string_view text = reader_.read_bytes(reader_.read_u8());
      const auto equals = text.find('=');
      if (equals == std::string_view::npos) continue;
      hosts_[record.owner].txt[std::string(text.substr(0, equals))] = std::string(text.substr(equals + 1));
    }
  }

  DnsError collect_endpoints() {
    for (const auto& service : services_) {
      const HostRecords& host = hosts_[service.target];
      // Using a list without an engine's address would remove a running engine.
      if (!host.ip || service.target.empty()) return DnsError::kIncomplete;
      response_.endpoints.push_back(make_endpoint(service, host));
    }
    return DnsError::kNone;
  }

  DnsMessageReader reader_;
  std::uint16_t query_id_;
  std::string service_name_;
  // The number of records in each section.
  int answers_ = 0;
  int authorities_ = 0;
  int additional_ = 0;
  bool version_known_ = false;
  std::vector<SrvRecord> services_;
  std::map<std::string, HostRecords> hosts_;
  DnsResponse response_;
};

void append_u16(std::string& out, unsigned value) {
  out += static_cast<char>(value >> 8);
  out += static_cast<char>(value);
}

}  // namespace

std::string_view dns_error_text(DnsError error) {
  switch (error) {
    case DnsError::kNone:
      return "whole";
    case DnsError::kMismatched:
      return "not a response to this query";
    case DnsError::kTruncated:
      return "truncated";
    case DnsError::kServerError:
      return "server returned an error";
    case DnsError::kMalformed:
      return "malformed";
    case DnsError::kIncomplete:
      return "records are missing";
  }
  return "unknown";
}

std::string encode_dns_query(std::uint16_t query_id, std::string_view service_name) {
  std::string query;
  append_u16(query, query_id);
  append_u16(query, kFlagRecursionDesired);
  append_u16(query, 1);  // Questions.
  append_u16(query, 0);  // Answers.
  append_u16(query, 0);  // Authorities.
  append_u16(query, 0);  // Additional records.
  while (!service_name.empty()) {
    const auto label = service_name.substr(0, service_name.find('.'));
    query += static_cast<char>(label.size());
    query += label;
    service_name.remove_prefix(std::min(label.size() + 1, service_name.size()));
  }
  query += '\0';
  append_u16(query, kTypeSrv);
  append_u16(query, kClassInternet);
  return query;
}

DnsResponse parse_dns_response(std::string_view message, std::uint16_t query_id,
                               std::string_view service_name) {
  try {
    return ResponseParser(message, query_id, service_name).parse();
  } catch (const MalformedDnsMessageError&) {
    return {DnsError::kMalformed, 0, {}};
  }
}

}  // namespace rookproxy
