// Creates self-signed certificates for trials and tests; in service the operators' CA signs.
#pragma once

#include <string>

namespace rookproxy::ctl {

// Writes a certificate for a DNS name (127.0.0.1 is named too) on a new P-256 key, and the key, in PEM. It is
// valid from an hour ago for `days` days (1 to 3650). Throws CommandError, and overwrites nothing, if either
// file exists.
void create_self_signed_certificate(const std::string& certificate_path, const std::string& key_path,
                                    const std::string& name, int days);

}  // namespace rookproxy::ctl
