// Base64 for URLs without padding (RFC 4648, 5), as JOSE has it. Written here since libcrypto's decoder takes
// padding, white space and stray bits, which would give one token many texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rookproxy::auth {

std::string encode_base64url(std::string_view bytes);
// Nothing if any character or bit is out of place: each string of bytes has one text.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace rookproxy::auth
