// Base64url without padding (RFC 4648, section 5), as used by JOSE.
//
// libcrypto's decoder accepts padding, white space and stray bits, so that one token could be encoded in many
// ways. This decoder accepts exactly one encoding of a byte string.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rookproxy::auth {

[[nodiscard]] std::string encode_base64url(std::string_view bytes);
// The decoded bytes, or nothing if the text is not exactly what encode_base64url() returns for them.
[[nodiscard]] std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace rookproxy::auth
