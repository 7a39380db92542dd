#include "tls/openssl_support.h"

#include <openssl/err.h>

#include <chrono>
#include <ctime>

namespace rookproxy::tls {
namespace {

std::string to_text(const ASN1_STRING* string) {
  return std::string(reinterpret_cast<const char*>(ASN1_STRING_get0_data(string)),
                     static_cast<std::size_t>(ASN1_STRING_length(string)));
}

// Returns an empty string for a value with a zero byte, which other software would read as a shorter name.
std::string prefixed(const std::string& prefix, const std::string& value) {
  return value.find('\0') == value.npos ? prefix + value : std::string();
}

}  // namespace

std::string take_error_reason() {
  const unsigned long code = ERR_get_error();
  ERR_clear_error();
  if (code == 0) return "unknown error";
  const char* reason = ERR_reason_error_string(code);
  return reason ? reason : "error " + std::to_string(code);
}

std::optional<Time> to_time(const ASN1_TIME* time) {
  std::tm parts{};
  if (!time || ASN1_TIME_to_tm(time, &parts) != 1) return std::nullopt;
  return Time(std::chrono::seconds(::timegm(&parts)));
}

std::string to_text(const X509_NAME* name) {
  const BioPtr out(BIO_new(BIO_s_mem()));
  X509_NAME_print_ex(out.get(), name, 0, XN_FLAG_RFC2253);
  char* data = nullptr;
  const long size = BIO_get_mem_data(out.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

std::string to_text(const GENERAL_NAME& name) {
  switch (name.type) {
    case GEN_URI:
      return prefixed("URI:", to_text(name.d.uniformResourceIdentifier));
    case GEN_DNS:
      return prefixed("DNS:", to_text(name.d.dNSName));
    case GEN_EMAIL:
      return prefixed("email:", to_text(name.d.rfc822Name));
    default:
      return "";
  }
}

std::string to_text(Time time) {
  const std::time_t seconds =
      std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

Time system_now() { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }

}  // namespace rookproxy::tls
