#include "mysql/protocol.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/rsa.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace rookproxy::mysql {
namespace {

std::string digest(const EVP_MD* kind, std::initializer_list<std::string_view> parts) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  bool fine = context && EVP_DigestInit_ex(context.get(), kind, nullptr) == 1;
  for (const auto part : parts) fine = fine && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
  if (!fine || EVP_DigestFinal_ex(context.get(), out, &size) != 1) throw std::runtime_error("digest failed");
  return std::string(reinterpret_cast<const char*>(out), size);
}

std::string xor_bytes(std::string a, std::string_view b) {
  for (std::size_t i = 0; i < a.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i % b.size()]);
  return a;
}

}  // namespace

std::string_view sql_state(std::uint16_t error) {
  switch (error) {
    case kTooManyConnections:
      return "08004";
    case kAccessDenied:
      return "28000";
    case kUnknownCommand:
    case kServerShutdown:
    case kPacketTooLarge:
    case kPacketsOutOfOrder:
    case kHandshakeError:
      return "08S01";
    case kEmptyQuery:
    case kDatabaseDenied:
    case kCommandDenied:
    case kUnknownCharset:
    case kUserConnections:
    case kUserLimit:
    case kNotSupportedYet:
    case kTooManyStatements:
      return "42000";
    case kQueryInterrupted:
      return "70100";
    default:
      return "HY000";
  }
}

std::uint64_t PayloadReader::integer(std::size_t size) {
  const auto bytes = take(size);
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i)
    value |= std::uint64_t(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return value;
}

std::uint64_t PayloadReader::length_encoded_integer() {
  const std::uint64_t first = integer(1);
  if (first < 0xfb) return first;
  if (first == 0xfc) return integer(2);
  if (first == 0xfd) return integer(3);
  if (first == 0xfe) return integer(8);
  throw MalformedPacketError("not a length");
}

std::string_view PayloadReader::null_terminated_string() {
  const auto end = bytes_.find('\0');
  if (end == bytes_.npos) throw MalformedPacketError("a text without its end");
  const auto text = bytes_.substr(0, end);
  bytes_.remove_prefix(end + 1);
  return text;
}

std::string_view PayloadReader::take(std::uint64_t size) {
  if (size > bytes_.size()) throw MalformedPacketError("a packet that ends too soon");
  const auto out = bytes_.substr(0, size);
  bytes_.remove_prefix(size);
  return out;
}

void append_integer(std::string& out, std::uint64_t value, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) out += static_cast<char>(value >> (8 * i));
}

void append_length_encoded_integer(std::string& out, std::uint64_t value) {
  if (value < 0xfb) return append_integer(out, value, 1);
  const std::size_t size = value <= 0xffff ? 2 : value <= 0xffffff ? 3 : 8;
  out += static_cast<char>(size == 2 ? 0xfc : size == 3 ? 0xfd : 0xfe);
  append_integer(out, value, size);
}

void append_length_encoded_string(std::string& out, std::string_view text) {
  append_length_encoded_integer(out, text.size());
  out += text;
}

std::string split_into_packets(std::string_view payload, std::uint8_t& sequence) {
  std::string out;
  for (;;) {
    const auto part = payload.substr(0, kMaxPayloadSize);
    append_integer(out, part.size(), 3);
    out += static_cast<char>(sequence++);
    out += part;
    payload.remove_prefix(part.size());
    if (part.size() < kMaxPayloadSize)
      return out;  // a payload of just that size is closed by an empty packet
  }
}

Message parse_message(std::string_view bytes, std::size_t most) {
  Message message;
  std::size_t at = 0, total = 0;
  std::vector<std::string_view> parts;  // joined only when all are there: a large one comes in many pieces
  for (bool first = true;; first = false) {
    if (bytes.size() - at < kHeaderSize) return message;
    PayloadReader header(bytes.substr(at, kHeaderSize));
    const std::size_t size = header.integer(3);
    const auto sequence = static_cast<std::uint8_t>(header.integer(1));
    if (first) message.first_sequence = sequence;
    if (!first && sequence != message.next_sequence) message.out_of_order = true;
    message.next_sequence = static_cast<std::uint8_t>(sequence + 1);
    total += size;
    if (total > most) message.too_large = true;
    if (message.too_large || message.out_of_order) {
      message.consumed = bytes.size();
      return message;
    }
    if (bytes.size() - at - kHeaderSize < size) return message;
    parts.push_back(bytes.substr(at + kHeaderSize, size));
    at += kHeaderSize + size;
    if (size < kMaxPayloadSize) break;
  }
  message.payload.reserve(total);
  for (const auto part : parts) message.payload += part;
  message.consumed = at;
  return message;
}

std::string ok_payload(std::uint64_t affected, std::uint64_t insert_id, std::uint16_t status) {
  std::string out(1, '\0');
  append_length_encoded_integer(out, affected);
  append_length_encoded_integer(out, insert_id);
  append_integer(out, status, 2);
  append_integer(out, 0, 2);
  return out;
}

std::string error_payload(std::uint16_t code, std::string_view text) {
  std::string out(1, '\xff');
  append_integer(out, code, 2);
  out += '#';
  out += sql_state(code);
  out += text.substr(0, 512);
  return out;
}

ErrorInfo parse_error(std::string_view payload) {
  PayloadReader reader(payload);
  reader.integer(1);
  ErrorInfo info;
  info.code = static_cast<std::uint16_t>(reader.integer(2));
  std::string_view text = reader.take_remaining();
  if (text.starts_with('#') && text.size() >= 6) text.remove_prefix(6);
  info.text = text;
  return info;
}

bool is_eof(std::string_view payload) { return payload.size() < 9 && payload.starts_with('\xfe'); }

std::string greeting_payload(const Greeting& greeting) {
  std::string out(1, '\x0a');
  out += greeting.version;
  out += '\0';
  append_integer(out, greeting.connection_id, 4);
  out += greeting.nonce.substr(0, 8);
  out += '\0';
  append_integer(out, greeting.capabilities & 0xffff, 2);
  append_integer(out, kUtf8mb4, 1);
  append_integer(out, kAutocommit, 2);
  append_integer(out, greeting.capabilities >> 16, 2);
  append_integer(out, greeting.nonce.size() + 1, 1);
  out.append(10, '\0');
  out += greeting.nonce.substr(8);
  out += '\0';
  out += greeting.plugin;
  out += '\0';
  return out;
}

Greeting parse_greeting(std::string_view payload) {
  PayloadReader reader(payload);
  if (reader.integer(1) != 10) throw MalformedPacketError("a greeting of another protocol version");
  Greeting greeting;
  greeting.version = reader.null_terminated_string();
  greeting.connection_id = static_cast<std::uint32_t>(reader.integer(4));
  greeting.nonce = reader.take(8);
  reader.integer(1);
  greeting.capabilities = static_cast<std::uint32_t>(reader.integer(2));
  reader.integer(3);  // character set and status
  greeting.capabilities |= static_cast<std::uint32_t>(reader.integer(2)) << 16;
  const std::size_t nonce_size = reader.integer(1);
  reader.take(10);
  if (nonce_size > 9) {
    auto more = reader.take(std::max<std::size_t>(13, nonce_size - 8));
    greeting.nonce += more.substr(0, more.size() - 1);
  }
  if ((greeting.capabilities & kPluginAuth) != 0) greeting.plugin = reader.null_terminated_string();
  return greeting;
}

std::string login_payload(const Login& login) {
  std::string out;
  append_integer(out, login.capabilities, 4);
  append_integer(out, 1u << 24, 4);
  append_integer(out, login.charset, 1);
  out.append(23, '\0');
  out += login.user;
  out += '\0';
  append_length_encoded_string(out, login.auth_response);
  if ((login.capabilities & kConnectWithDb) != 0) {
    out += login.schema;
    out += '\0';
  }
  out += login.plugin;
  out += '\0';
  return out;
}

Login parse_login(std::string_view payload) {
  PayloadReader reader(payload);
  Login login;
  login.capabilities = static_cast<std::uint32_t>(reader.integer(4));
  reader.integer(4);  // the client's largest packet
  login.charset = static_cast<std::uint8_t>(reader.integer(1));
  reader.take(23);
  if ((login.capabilities & kProtocol41) == 0)
    throw MalformedPacketError("a client of a protocol before 4.1");
  login.user = reader.null_terminated_string();
  if ((login.capabilities & kPluginAuthLenenc) != 0) {
    login.auth_response = reader.length_encoded_string();
  } else if ((login.capabilities & kSecureConnection) != 0) {
    login.auth_response = reader.take(reader.integer(1));
  } else {
    login.auth_response = reader.null_terminated_string();
  }
  if ((login.capabilities & kConnectWithDb) != 0 && reader.remaining() > 0)
    login.schema = reader.null_terminated_string();
  if ((login.capabilities & kPluginAuth) != 0 && reader.remaining() > 0)
    login.plugin = reader.null_terminated_string();
  return login;
}

bool is_ssl_request(std::string_view payload) {
  return payload.size() == kSslRequestSize && (PayloadReader(payload).integer(4) & kSsl) != 0;
}

Login parse_change_user(std::string_view payload, std::uint32_t capabilities) {
  PayloadReader reader(payload);
  Login login;
  login.capabilities = capabilities;
  login.user = reader.null_terminated_string();
  login.auth_response = reader.take(reader.integer(1));
  login.schema = reader.null_terminated_string();
  if (reader.remaining() >= 2) login.charset = static_cast<std::uint8_t>(reader.integer(2));
  if ((capabilities & kPluginAuth) != 0 && reader.remaining() > 0)
    login.plugin = reader.null_terminated_string();
  return login;
}

std::optional<std::string> make_auth_response(std::string_view plugin, std::string_view password,
                                              std::string_view nonce) {
  if (plugin != kNativePassword && plugin != kCachingSha2) return std::nullopt;
  if (password.empty()) return "";
  const bool native = plugin == kNativePassword;
  const EVP_MD* kind = native ? EVP_sha1() : EVP_sha256();
  const std::string once = digest(kind, {password}), twice = digest(kind, {once});
  return xor_bytes(once, native ? digest(kind, {nonce, twice}) : digest(kind, {twice, nonce}));
}

bool constant_time_equal(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string generate_nonce() {
  std::string nonce(20, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), 20) != 1)
    throw std::runtime_error("no randomness");
  // Clients take it for a text: no NUL and, as servers do, nothing beyond seven bits.
  for (char& c : nonce) c = static_cast<char>(33 + static_cast<unsigned char>(c) % 94);
  return nonce;
}

std::optional<std::string> encrypt_password(std::string_view password, std::string_view nonce,
                                            const std::string& public_key) {
  const std::unique_ptr<BIO, decltype(&BIO_free)> bio(
      BIO_new_mem_buf(public_key.data(), static_cast<int>(public_key.size())), &BIO_free);
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
      PEM_read_bio_PUBKEY(bio.get(), nullptr, nullptr, nullptr), &EVP_PKEY_free);
  if (!key) return std::nullopt;
  const std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new(key.get(), nullptr), &EVP_PKEY_CTX_free);
  const std::string text = xor_bytes(std::string(password) + '\0', nonce);
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
  std::size_t size = 0;
  if (!context || EVP_PKEY_encrypt_init(context.get()) != 1 ||
      EVP_PKEY_CTX_set_rsa_padding(context.get(), RSA_PKCS1_OAEP_PADDING) != 1 ||
      EVP_PKEY_encrypt(context.get(), nullptr, &size, bytes, text.size()) != 1) {
    return std::nullopt;
  }
  std::string out(size, '\0');
  if (EVP_PKEY_encrypt(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size, bytes,
                       text.size()) != 1) {
    return std::nullopt;
  }
  out.resize(size);
  return out;
}

bool ResponseTracker::on_packet(std::string_view payload) {
  // The parts of a payload too large for one packet are looked at no further.
  const bool goes_on = std::exchange(continued_, payload.size() == kMaxPayloadSize);
  if (goes_on) return false;
  switch (state_) {
    case State::kFirst:
      done_ = on_first_packet(payload);
      break;
    case State::kPrepareParams:
      if (--expected_definitions_ == 0) state_ = State::kPrepareParamsEnd;
      break;
    case State::kPrepareParamsEnd:
      if (!is_eof(payload)) throw MalformedPacketError("parameters without their end");
      expected_definitions_ = columns_;
      state_ = State::kColumns;
      done_ = columns_ == 0;
      break;
    case State::kColumns:
      if (--expected_definitions_ == 0) state_ = State::kColumnsEnd;
      break;
    case State::kColumnsEnd:
      if (!is_eof(payload)) throw MalformedPacketError("columns without their end");
      state_ = State::kRows;
      done_ = kind_ == Kind::kPrepare;
      break;
    case State::kRows:
      if (payload.starts_with('\xff')) {
        failed_ = done_ = true;
      } else if (is_eof(payload)) {
        PayloadReader reader(payload.substr(1));
        reader.integer(2);
        done_ = (reader.integer(2) & kMoreResultsExist) == 0;
        if (!done_) state_ = State::kFirst;
      }
      break;
  }
  return done_;
}

bool ResponseTracker::on_first_packet(std::string_view payload) {
  if (payload.empty()) throw MalformedPacketError("an empty answer");
  if (payload[0] == '\xff') return failed_ = true;
  PayloadReader reader(payload);
  if (kind_ == Kind::kPrepare) {
    if (reader.integer(1) != 0) throw MalformedPacketError("not an answer to a prepare");
    reader.integer(4);
    columns_ = reader.integer(2);
    expected_definitions_ = reader.integer(2);
    state_ = expected_definitions_ > 0 ? State::kPrepareParams : State::kColumns;
    if (expected_definitions_ == 0) expected_definitions_ = columns_;
    return expected_definitions_ == 0;
  }
  if (payload[0] == '\0') {
    reader.integer(1);
    reader.length_encoded_integer();
    reader.length_encoded_integer();
    return (reader.integer(2) & kMoreResultsExist) == 0;
  }
  if (payload[0] == '\xfb') throw MalformedPacketError("a request for a local file");
  expected_definitions_ = reader.length_encoded_integer();
  state_ = State::kColumns;
  return false;
}

void clear_autocommit_status(std::string& packets) {
  for (std::size_t at = 0; at + kHeaderSize < packets.size();) {
    const std::string_view rest = std::string_view(packets).substr(at);
    const std::size_t size = PayloadReader(rest.substr(0, 3)).integer(3);
    PayloadReader payload(rest.substr(kHeaderSize, size));
    // The first packet of an answer without rows is an OK; among rows only an EOF is that short.
    std::size_t status = 0;
    const auto first = payload.integer(1);
    if (at == 0 && first == 0) {
      payload.length_encoded_integer();
      payload.length_encoded_integer();
      status = size - payload.remaining();
    } else if (first == 0xfe && size == 5) {
      status = 3;
    }
    if (status != 0 && status < size) packets[at + kHeaderSize + status] &= ~static_cast<char>(kAutocommit);
    at += kHeaderSize + size;
  }
}

std::string format_rows(std::string_view response) {
  std::string out;
  std::uint64_t columns = 0;
  int ends = 0;
  for (bool first = true; !response.empty(); first = false) {
    const Message message = parse_message(response, SIZE_MAX);
    if (message.consumed == 0) throw MalformedPacketError("a result that ends too soon");
    response.remove_prefix(message.consumed);
    PayloadReader reader(message.payload);
    if (first) {
      if (message.payload.starts_with('\0')) return out;
      columns = reader.length_encoded_integer();
    } else if (is_eof(message.payload)) {
      ++ends;
    } else if (ends == 1) {
      for (std::uint64_t i = 0; i < columns; ++i) {
        if (i > 0) out += '\t';
        const auto left = reader.remaining();
        if (left > 0 && message.payload[message.payload.size() - left] == '\xfb') {
          reader.integer(1);
          out += "\\N";
        } else {
          out += reader.length_encoded_string();
        }
      }
      out += '\n';
    }
  }
  return out;
}

}  // namespace rookproxy::mysql
