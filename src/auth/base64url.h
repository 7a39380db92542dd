// Base64url without padding (RFC 4648, 5), as JOSE uses it.
//
// libcrypto's decoder accepts padding, white space and stray bits, by which one token would have many
// spellings; this one accepts exactly one spelling of any byte string.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rookproxy::auth {

[[nodiscard]] std::string encode_base64url(std::string_view bytes);
// The decoded bytes, or nothing if any character or bit is not as encode_base64url() would write it.
[[nodiscard]] std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace rookproxy::auth
