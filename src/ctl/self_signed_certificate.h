// Creates self-signed certificates for testing; in production, a CA signs certificates.
#pragma once

#include <string>

namespace rookproxy::ctl {

// Generates a P-256 key and writes it and a certificate for a DNS name and 127.0.0.1, in PEM. The certificate
// is valid from one hour ago until `days` days from now (1 to 3650). If either file exists, throws
// CommandError and overwrites nothing.
void create_self_signed_certificate(const std::string& certificate_path, const std::string& key_path,
                                    const std::string& name, int days);

}  // namespace rookproxy::ctl
