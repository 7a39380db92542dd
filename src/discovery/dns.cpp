#include "discovery/dns.h"

#include <algorithm>
#include <cctype>
#include <map>

#include "base/numbers.h"

namespace rookproxy {
namespace {

constexpr std::uint16_t kTypeA = 1, kTypeSoa = 6, kTypeTxt = 16, kTypeSrv = 33, kClassInternet = 1;
constexpr int kMaxPointerJumps = 32;

struct MalformedMessage {};

class MessageReader {
 public:
  explicit MessageReader(std::string_view bytes) : bytes_(bytes) {}
  std::size_t position() const { return at_; }
  void seek(std::size_t at) { at_ = at; }
  std::uint8_t u8() {
    if (at_ >= bytes_.size()) throw MalformedMessage();
    return static_cast<std::uint8_t>(bytes_[at_++]);
  }
  std::uint16_t u16() {
    const std::uint16_t high = u8();
    return static_cast<std::uint16_t>(high << 8 | u8());
  }
  std::uint32_t u32() {
    const std::uint32_t high = u16();
    return high << 16 | u16();
  }
  std::string_view take(std::size_t size) {
    if (size > bytes_.size() - at_) throw MalformedMessage();
    const auto out = bytes_.substr(at_, size);
    at_ += size;
    return out;
  }
  // A name in lower case, labels parted by dots. Pointers lead only backwards and a bounded number of times,
  // so that a message can't make us run in circles.
  std::string name() {
    std::string out;
    std::size_t back = 0, limit = at_;
    for (int jumps = 0;;) {
      const std::uint8_t size = u8();
      if (size == 0) break;
      if ((size & 0xc0) == 0xc0) {
        const std::size_t to = static_cast<std::size_t>(size & 0x3f) << 8 | u8();
        if (back == 0) back = at_;
        if (++jumps > kMaxPointerJumps || to >= limit) throw MalformedMessage();
        limit = at_ = to;
        continue;
      }
      if ((size & 0xc0) != 0) throw MalformedMessage();
      if (!out.empty()) out += '.';
      for (const char c : take(size)) out += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      if (out.size() > 255) throw MalformedMessage();
    }
    if (back != 0) at_ = back;
    return out;
  }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
};

struct SrvRecord {
  std::uint16_t priority, weight, port;
  std::string target;
};

struct HostRecords {
  std::optional<std::uint32_t> ip;
  std::map<std::string, std::string> texts;
};

std::string to_lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::int64_t non_negative_or_zero(const std::map<std::string, std::string>& texts, const std::string& key) {
  const auto found = texts.find(key);
  if (found == texts.end()) return 0;
  const auto value = parse_number<std::int64_t>(found->second);
  if (!value || *value < 0) throw MalformedMessage();
  return *value;
}

EngineEndpoint make_endpoint(const SrvRecord& service, const HostRecords& host) {
  EngineEndpoint member;
  const auto dot = service.target.find('.');
  member.id = service.target.substr(0, dot);
  if (dot != std::string::npos) {
    const auto end = service.target.find('.', dot + 1);
    member.zone = service.target.substr(dot + 1, end == std::string::npos ? end : end - dot - 1);
  }
  member.address = {*host.ip, service.port};
  member.state = service.priority == 0 ? routing::EngineState::kServing : routing::EngineState::kDraining;
  member.weight = service.weight / 10.0;
  if (const auto kind = host.texts.find("kind"); kind != host.texts.end()) member.machine_type = kind->second;
  member.cell = static_cast<std::uint32_t>(non_negative_or_zero(host.texts, "cell"));
  const auto started = non_negative_or_zero(host.texts, "started");
  if (started > 0) member.started_at = Time(std::chrono::milliseconds(started));
  return member;
}

}  // namespace

std::string_view dns_error_text(DnsError fault) {
  switch (fault) {
    case DnsError::kNone:
      return "whole";
    case DnsError::kMismatched:
      return "not the answer to our question";
    case DnsError::kTruncated:
      return "truncated";
    case DnsError::kServerError:
      return "the server reports an error";
    case DnsError::kMalformed:
      return "malformed";
    case DnsError::kIncomplete:
      return "records are missing";
  }
  return "unknown";
}

std::string encode_dns_query(std::uint16_t id, std::string_view name) {
  std::string out;
  const auto u16 = [&out](unsigned value) {
    out += static_cast<char>(value >> 8);
    out += static_cast<char>(value);
  };
  u16(id);
  u16(0x0100);  // a standard query, recursion desired
  u16(1);
  u16(0);
  u16(0);
  u16(0);
  while (!name.empty()) {
    const auto label = name.substr(0, name.find('.'));
    out += static_cast<char>(label.size());
    out += label;
    name.remove_prefix(std::min(label.size() + 1, name.size()));
  }
  out += '\0';
  u16(kTypeSrv);
  u16(kClassInternet);
  return out;
}

DnsResponse parse_dns_response(std::string_view bytes, std::uint16_t id, std::string_view name) {
  DnsResponse list;
  const auto fault = [&list](DnsError why) {
    list.error = why;
    list.endpoints.clear();
    return list;
  };
  try {
    MessageReader message(bytes);
    const std::uint16_t got_id = message.u16(), flags = message.u16();
    const std::uint16_t questions = message.u16(), answers = message.u16(), authorities = message.u16(),
                        additional = message.u16();
    if (got_id != id || (flags & 0x8000) == 0 || (flags & 0x7800) != 0) return fault(DnsError::kMismatched);
    if (questions != 1 || message.name() != to_lower(name) || message.u16() != kTypeSrv ||
        message.u16() != kClassInternet) {
      return fault(DnsError::kMismatched);
    }
    if ((flags & 0x0200) != 0) return fault(DnsError::kTruncated);
    if ((flags & 0x000f) != 0) return fault(DnsError::kServerError);
    bool serial_known = false;
    std::vector<SrvRecord> services;
    std::map<std::string, HostRecords> hosts;
    const int records = answers + authorities + additional;
    for (int i = 0; i < records; ++i) {
      const std::string owner = message.name();
      const std::uint16_t type = message.u16(), space = message.u16();
      message.u32();  // time to live: the list is asked for anew anyway
      const std::size_t size = message.u16(), start = message.position();
      message.take(size);
      const std::size_t end = message.position();
      if (space != kClassInternet) continue;  // an OPT record, for one, keeps other things there
      message.seek(start);
      if (type == kTypeSrv && i < answers && owner == to_lower(name)) {
        SrvRecord service{};
        service.priority = message.u16();
        service.weight = message.u16();
        service.port = message.u16();
        service.target = message.name();
        services.push_back(std::move(service));
      } else if (type == kTypeSoa && i >= answers && i < answers + authorities) {
        message.name();
        message.name();
        list.version = message.u32();
        serial_known = true;
        message.seek(end);  // refresh, retry, expire, minimum: secondaries' matters
      } else if (type == kTypeA && size == 4) {
        hosts[owner].ip = message.u32();
      } else if (type == kTypeTxt) {
        while (message.position() < end) {
          const std::string_view text = message.take(message.u8());
          const auto equals = text.find('=');
          if (equals != text.npos) {
            hosts[owner].texts[std::string(text.substr(0, equals))] = std::string(text.substr(equals + 1));
          }
        }
      } else {
        message.seek(end);
      }
      if (message.position() != end) return fault(DnsError::kMalformed);
    }
    if (!serial_known) return fault(DnsError::kIncomplete);
    for (const auto& service : services) {
      const HostRecords& host = hosts[service.target];
      // A list that lacks an address is not the whole list: believing it would remove a running engine.
      if (!host.ip || service.target.empty()) return fault(DnsError::kIncomplete);
      list.endpoints.push_back(make_endpoint(service, host));
    }
    return list;
  } catch (const MalformedMessage&) {
    return fault(DnsError::kMalformed);
  }
}

}  // namespace rookproxy
