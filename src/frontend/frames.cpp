#include "frontend/frames.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/numbers.h"
#include "sql/statement_analysis.h"
#include "sql/table_group.h"

namespace rookproxy {
namespace frames {
namespace {

std::uint32_t read_big_endian(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

void append_big_endian(std::string& out, std::size_t value, int size) {
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i));
}

}  // namespace

std::size_t frame_length(std::string_view bytes, Frame& frame) {
  frame.type = static_cast<std::uint8_t>(bytes[4]);
  frame.stream_id = read_big_endian(bytes, 5, 4);
  return 4 + read_big_endian(bytes, 0, 4);
}

ParseStatus parse_frame(std::string_view bytes, Frame& frame, std::size_t& used) {
  if (bytes.size() < 4) return ParseStatus::kIncomplete;
  const std::size_t length = read_big_endian(bytes, 0, 4);
  if (length < kMinFrameLength || length > kMaxSkippedLength) return ParseStatus::kMalformed;
  if (bytes.size() < kHeaderSize) return ParseStatus::kIncomplete;
  used = frame_length(bytes, frame);
  if (length > kMaxFrameLength) return ParseStatus::kOversized;
  if (bytes.size() < used) return ParseStatus::kIncomplete;
  frame.payload = bytes.substr(kHeaderSize, length - kMinFrameLength);
  return ParseStatus::kComplete;
}

bool parse_fields(std::string_view& payload, Fields& fields) {
  const auto take = [&payload](std::size_t size_bytes) -> std::optional<std::string_view> {
    if (payload.size() < size_bytes) return std::nullopt;
    const std::size_t size = read_big_endian(payload, 0, size_bytes);
    payload.remove_prefix(size_bytes);
    if (payload.size() < size) return std::nullopt;
    const auto text = payload.substr(0, size);
    payload.remove_prefix(size);
    return text;
  };
  if (payload.empty()) return false;
  const int count = static_cast<unsigned char>(payload[0]);
  payload.remove_prefix(1);
  for (int i = 0; i < count; ++i) {
    const auto name = take(1);
    const auto value = name ? take(2) : std::nullopt;
    if (!value || !fields.emplace(std::string(*name), std::string(*value)).second) return false;
  }
  return true;
}

std::string encode_frame(std::uint8_t type, std::uint32_t stream, std::string_view payload) {
  std::string out;
  out.reserve(kHeaderSize + payload.size());
  append_big_endian(out, payload.size() + kMinFrameLength, 4);
  out += static_cast<char>(type);
  append_big_endian(out, stream, 4);
  out += payload;
  return out;
}

std::string encode_response(std::uint32_t stream, ResponseCode code, const Fields& fields,
                            std::string_view body) {
  std::string payload;
  payload += static_cast<char>(code);
  payload += static_cast<char>(fields.size());
  for (const auto& [name, value] : fields) {
    append_big_endian(payload, name.size(), 1);
    payload += name;
    append_big_endian(payload, value.size(), 2);
    payload += value;
  }
  payload += body;
  return encode_frame(kResponse, stream, payload);
}

}  // namespace frames

namespace {

// A token that waits to be checked is given up this long before its client does.
constexpr Duration kResponseMargin = std::chrono::milliseconds(8);
// One whose bytes come with longer pauses has stopped halfway.
constexpr Duration kMaxPauseWithinFrame = std::chrono::milliseconds(700);
// Nobody is pushed out before what it sent with its connection could be read.
constexpr Duration kEvictionGracePeriod = std::chrono::milliseconds(20);
constexpr std::size_t kLargeFrameThreshold = 16 * 1024;  // of a frame; larger ones have to share a budget
// Figures beyond these are no estimates: they would only mislead the module about what usual requests take.
constexpr int kMaxTimeoutsPerTtl = 4;                   // of its class, that a client may wait
constexpr double kMaxWorkMs = 1e7, kMaxMemoryMb = 1e7;  // ms, MB
constexpr std::size_t kMaxNameLength = 255;             // bytes of a tenant's, or of a key against repeats

std::optional<double> parse_amount(std::string_view text) {
  const auto value = parse_number<double>(text);
  if (!value || *value < 0) return std::nullopt;
  return value;
}

bool is_call_id(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

// It goes on to engines as one value of a list of fields.
bool is_idempotency_key(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 127 && c != ',' && c != '=';
  });
}

frames::Fields::value_type retry_after_field(Duration pause) {
  return {"pushback", std::to_string(std::chrono::ceil<std::chrono::milliseconds>(pause).count())};
}

std::string_view response_message(const Response& answer) {
  switch (answer.cause) {
    case ResponseCause::kDeadline:
      return "the deadline passed";
    case ResponseCause::kEngineError:
      return "an engine failed";
    case ResponseCause::kOverloaded:
      return "too much is held already";
    case ResponseCause::kShuttingDown:
      return "the dispatcher stops";
    case ResponseCause::kNone:
    case ResponseCause::kDecision:
      break;
  }
  return answer.status == ResponseStatus::kRejected ? "no room in time" : "no engine could serve it";
}

}  // namespace

class FramesFrontend::Connection final : public StreamHandler {
 public:
  Connection(FramesFrontend& front, SlotKey key, FileDescriptor fd,
             std::unique_ptr<tls::ServerChannel> channel)
      : front_(front),
        key_(key),
        certificate_(front.authenticator_ && channel ? std::make_unique<auth::CertificateAuthenticator>(
                                                           *front.authenticator_, channel.get())
                                                     : nullptr),
        stream_(front.loop_, std::move(fd), *this, false, frames::kMaxFrameLength + 4096,
                std::move(channel)) {
    start_frame_timer(front.limits_.first_request_timeout);
  }
  ~Connection() {
    front_.loop_.cancel(idle_timer_);
    front_.loop_.cancel(frame_timer_);
    front_.partial_frame_bytes_ -= reserved_bytes_;
  }

  std::size_t on_bytes(std::string_view bytes) override {
    if (framing_lost_) return bytes.size();
    last_bytes_at_ = front_.loop_.now();
    if (bytes_to_skip_ > 0) {
      const std::size_t skipped = std::min(bytes_to_skip_, bytes.size());
      bytes_to_skip_ -= skipped;
      if (bytes_to_skip_ == 0) frame_finished();
      return skipped;
    }
    if (waiting_for_reader_) {
      scan_for_cancellations(bytes);
      if (bytes.size() >= kLargeFrameThreshold) stream_.set_read_paused(true);
      return 0;
    }
    frames::Frame frame;
    std::size_t used = 0;
    switch (frames::parse_frame(bytes, frame, used)) {
      case frames::ParseStatus::kIncomplete:
        return handle_partial_frame(bytes);
      case frames::ParseStatus::kMalformed:
        framing_lost_ = true;
        protocol_error("unreadable frame");
        return bytes.size();
      case frames::ParseStatus::kOversized:
        if (frame.type != frames::kRequest || frame.stream_id == 0 ||
            open_requests_.contains(frame.stream_id)) {
          framing_lost_ = true;
          protocol_error("oversized frame");
          return bytes.size();
        }
        frame_started();
        fail_request(frame.stream_id, "larger than a frame may be");
        bytes_to_skip_ = used;
        return on_bytes(bytes);
      case frames::ParseStatus::kComplete:
        last_frame_at_ = front_.loop_.now();
        frame_finished();
        handle_frame(frame);
    }
    return used;
  }

  void on_closed(std::string_view) override { front_.drop(key_); }
  void on_flushed() override {
    if (!std::exchange(waiting_for_reader_, false)) return;
    stream_.set_read_paused(false);
    stream_.schedule_read();
  }
  // Nothing of a client that has gone is sent on, not even what it sent before.
  void on_hangup() override { front_.client_disconnected(key_); }

  void respond(std::uint32_t stream, frames::ResponseCode code, const frames::Fields& fields,
               std::string_view body) {
    open_requests_.erase(stream);
    write(frames::encode_response(stream, code, fields, body));
    update_idle_state();
  }
  // Nothing is open: such a connection may be closed.
  bool is_evictable() const { return open_requests_.empty() && !closing_; }
  Time accepted_at() const { return accepted_at_; }
  // The least goes first: of each kind the longest quiet one.
  enum class EvictionClass { kNoRequestYet, kStalledFrame, kIdle, kReceiving };
  std::pair<EvictionClass, Time> eviction_order() const {
    if (frame_in_progress_)
      return {is_receiving() ? EvictionClass::kReceiving : EvictionClass::kStalledFrame, last_bytes_at_};
    return {last_frame_at_ == Time() ? EvictionClass::kNoRequestYet : EvictionClass::kIdle, last_bytes_at_};
  }
  std::size_t unread_response_bytes() const { return stream_.queued_bytes(); }
  // Who showed a certificate that is not good any more is told to go, whether it asks for something or not.
  void recheck_certificate() {
    if (!certificate_ || !certificate_->is_presented()) return;
    const policy::Denial denial = certificate_->authenticate(*front_.tls_).denial;
    if (denial != policy::Denial::kNone) close_for_denial(denial);
  }
  // Nothing more is taken nor written. Only who does not take its answers is closed otherwise (drop).
  void close_gracefully() {
    if (std::exchange(close_started_, true)) return;
    closing_ = true;
    frame_in_progress_ = false;
    front_.partial_frame_bytes_ -= std::exchange(reserved_bytes_, 0);
    front_.loop_.cancel(frame_timer_);
    front_.loop_.cancel(idle_timer_);
    front_.closing_.push_back(key_);
    stream_.close_gracefully(front_.linger_timeout_);
  }
  // What lies unread was sent to a connection that was open: it is taken before that is decided.
  void read_now() { stream_.read_now(); }
  void close_when_answered() {
    read_now();
    if (open_requests_.empty()) return close_gracefully();
    closing_ = true;
    front_.loop_.cancel(frame_timer_);
    front_.loop_.cancel(idle_timer_);
  }
  void send_go_away() { write(frames::encode_frame(frames::kGoAway, 0, "")); }
  bool is_flushed() const { return stream_.queued_bytes() == 0; }
  bool is_receiving() const {
    return frame_in_progress_ && front_.loop_.now() - last_bytes_at_ < kMaxPauseWithinFrame;
  }
  // The requests nobody waits for any more.
  std::vector<SlotKey> take_open_requests() {
    std::vector<SlotKey> tickets;
    for (const auto& [stream, ticket] : open_requests_) tickets.push_back(ticket);
    open_requests_.clear();
    return tickets;
  }
  void close() { stream_.close(); }

 private:
  void write(std::string bytes) {
    stream_.write(std::move(bytes));
    // A client that does not take its answers gets nothing more taken until it does.
    if (stream_.queued_bytes() <= front_.limits_.max_unread_bytes_per_connection) return;
    waiting_for_reader_ = true;
    if (front_.unread_response_bytes() > front_.limits_.max_unread_response_bytes) {
      // In no order: what an end in order would wait for is what there is too much of, and its client has
      // left it lying.
      front_.log_.write(LogLevel::kNotice, "frames", "answers not taken", {});
      front_.loop_.defer([&front = front_, key = key_] { front.drop(key); });
    }
  }

  // A frame has begun. It may take up its length only while the budget for large ones lasts, and only for so
  // long.
  std::size_t handle_partial_frame(std::string_view bytes) {
    frame_started();
    if (bytes.size() < frames::kHeaderSize || reserved_bytes_ > 0) return 0;
    frames::Frame head;
    const std::size_t length = frames::frame_length(bytes, head);
    if (length <= kLargeFrameThreshold) return 0;
    if (front_.partial_frame_bytes_ + length <= front_.limits_.max_partial_frame_bytes) {
      reserved_bytes_ = length;
      front_.partial_frame_bytes_ += length;
      return 0;
    }
    if (closing_ || head.type != frames::kRequest || head.stream_id == 0 ||
        open_requests_.contains(head.stream_id)) {
      framing_lost_ = true;
      protocol_error("no room for a frame so large");
      return bytes.size();
    }
    respond(head.stream_id, frames::kRejected, {retry_after_field(front_.dispatcher_.overload_retry_after())},
            "no room for a frame so large");
    bytes_to_skip_ = length;
    return on_bytes(bytes);
  }

  // Silence is no request, and half a frame neither: they hold descriptors that others need. Where requests
  // are open the connection stays for them in any case, so the rest of the frame may still come, as it does
  // behind a network that was cut for some seconds: it is a request like any other then.
  void start_frame_timer(Duration span) {
    front_.loop_.cancel(frame_timer_);
    frame_timer_ = front_.loop_.run_at(front_.loop_.now() + span, [this] {
      frame_timer_ = {};
      read_now();
      const bool is_late = frame_in_progress_ || last_frame_at_ == Time();
      if (closing_ || frame_timer_.second != 0 || !is_late) return;
      if (open_requests_.empty()) return close_gracefully();
      start_frame_timer(front_.limits_.frame_timeout);
    });
  }

  void frame_started() {
    if (!std::exchange(frame_in_progress_, true) && !closing_)
      start_frame_timer(front_.limits_.frame_timeout);
  }

  void frame_finished() {
    front_.loop_.cancel(frame_timer_);
    frame_in_progress_ = false;
    front_.partial_frame_bytes_ -= std::exchange(reserved_bytes_, 0);
    update_idle_state();
  }

  // Nothing more is taken here, for that reason; once nothing is open the connection ends.
  void close_for_denial(policy::Denial reason) {
    if (closing_ || denial_ != policy::Denial::kNone) return;
    denial_ = reason;
    front_.loop_.cancel(idle_timer_);
    send_go_away();
    update_idle_state();
  }

  void update_idle_state() {
    if (closing_) {
      if (open_requests_.empty()) close_gracefully();
      return;
    }
    if (denial_ != policy::Denial::kNone) {
      // Once, whatever else it sends: what crosses the word to go away is still refused by name.
      if (!open_requests_.empty() || idle_timer_.second != 0) return;
      idle_timer_ = front_.loop_.run_at(front_.loop_.now() + front_.linger_timeout_,
                                        [this] { protocol_error("its credentials are not good"); });
      return;
    }
    front_.loop_.cancel(idle_timer_);
    if (!open_requests_.empty()) return;
    idle_timer_ = front_.loop_.run_at(front_.loop_.now() + front_.limits_.idle_timeout, [this] {
      idle_timer_ = {};
      read_now();
      // A frame that has begun has its own time, and its end sets this one anew.
      if (open_requests_.empty() && !frame_in_progress_ && idle_timer_.second == 0) close_gracefully();
    });
  }

  // Nothing more is taken here. What was asked before still gets its one final answer, each by its own
  // deadline at the latest; once nothing is open the connection ends. A client that goes on asking meanwhile
  // is refused at once, as long as its frames can be told apart: what is dropped unheard is lost.
  void protocol_error(std::string_view why) {
    if (closing_) return;
    front_.log_.write(LogLevel::kNotice, "frames", why, {});
    stream_.write(frames::encode_response(0, frames::kFailed, {}, why));
    closing_ = true;
    front_.loop_.cancel(frame_timer_);
    front_.loop_.cancel(idle_timer_);
    if (open_requests_.empty()) close_gracefully();
  }

  void fail_request(std::uint32_t stream, std::string_view why) {
    front_.log_.write(LogLevel::kInfo, "frames", why, {});
    respond(stream, frames::kFailed, {}, why);
  }

  void handle_frame(const frames::Frame& frame) {
    if (closing_) {
      if (frame.type == frames::kCancel) return cancel_request(frame.stream_id);
      if (frame.type != frames::kRequest || frame.stream_id == 0 || open_requests_.contains(frame.stream_id))
        return;
      return respond(frame.stream_id, frames::kRejected, {{"pushback", "0"}}, "this connection ends");
    }
    switch (frame.type) {
      case frames::kRequest:
        if (frame.stream_id == 0 || open_requests_.contains(frame.stream_id))
          return protocol_error("request on a stream in use");
        return handle_request(frame);
      case frames::kCancel:
        return cancel_request(frame.stream_id);
      case frames::kReadinessQuery:
        return write(frames::encode_frame(frames::kReadiness, frame.stream_id,
                                          std::string_view(front_.draining_ ? "\1\0" : "\0\0", 2)));
      default:
        return protocol_error("frame of an unknown type");
    }
  }

  // What is sent behind answers that are not taken lies here, bounded by a usual frame's length, and is taken
  // in its turn. But a client that waits no more for a stream is heard at once: it has gone, and nothing may
  // begin for it. Heard again in its turn, the word means nothing.
  void scan_for_cancellations(std::string_view bytes) {
    frames::Frame frame;
    for (std::size_t used = 0; frames::parse_frame(bytes, frame, used) == frames::ParseStatus::kComplete;) {
      if (frame.type == frames::kCancel) cancel_request(frame.stream_id);
      bytes.remove_prefix(used);
    }
  }

  void cancel_request(std::uint32_t stream) {
    const auto found = open_requests_.find(stream);
    if (found == open_requests_.end()) return;  // its answer has crossed this on the way: fine
    const SlotKey ticket = found->second;
    open_requests_.erase(found);
    front_.cancel_request(ticket);
    update_idle_state();
  }

  void handle_request(const frames::Frame& frame) {
    std::string_view body = frame.payload;
    frames::Fields fields;
    if (!frames::parse_fields(body, fields)) return fail_request(frame.stream_id, "unreadable fields");
    const auto field = [&fields](std::string_view name) -> std::optional<std::string_view> {
      const auto found = fields.find(name);
      if (found == fields.end()) return std::nullopt;
      return found->second;
    };
    const auto call = field("call"), op = field("op"), ttl_text = field("ttl");
    const auto cls = op ? front_.dispatcher_.find_class(*op) : std::nullopt;
    if (denial_ != policy::Denial::kNone) {
      front_.authenticator_->audit_denial(denial_, {}, op.value_or(""), {"frames", call.value_or("")});
      if (cls) front_.dispatcher_.record_rejection(*cls, ResponseStatus::kRejected);
      return respond(frame.stream_id, frames::kRejected,
                     {{"denied", std::string(policy::reason_code(denial_))}},
                     policy::reason_message(denial_));
    }
    std::string tenant;
    const auto unusable = [&](std::string_view why) {
      if (cls) front_.dispatcher_.record_rejection(*cls, ResponseStatus::kFailed, tenant);
      fail_request(frame.stream_id, why);
    };
    if (!call || !is_call_id(*call)) return unusable("field call: not 16 hex digits");
    if (!cls) return unusable("field op: unknown class");
    // Where callers are identified, what they proved says whose they are, and nothing else does.
    if (const auto org = front_.authenticator_ ? std::nullopt : field("org"); org && !org->empty()) {
      if (const char* why = resolve_tenant(*org, tenant)) return unusable(why);
    }
    const auto ttl = ttl_text ? parse_number<std::uint32_t>(*ttl_text) : std::nullopt;
    if (!ttl || *ttl == 0) return unusable("field ttl: not a positive number of milliseconds");
    const Duration patience = std::chrono::milliseconds(*ttl);
    const auto& settings = front_.dispatcher_.class_settings(*cls);
    if (patience > kMaxTimeoutsPerTtl * from_routing_duration(settings.timeout)) {
      return unusable("field ttl: far beyond what its class may take");
    }
    std::optional<double> work, memory;
    if (const auto text = field("work")) {
      work = parse_amount(*text);
      if (!work || *work > kMaxWorkMs) return unusable("field work: not an amount");
    }
    if (const auto text = field("memory")) {
      memory = parse_amount(*text);
      if (!memory || *memory > kMaxMemoryMb) return unusable("field memory: not an amount");
    }
    // Where repeats do no harm the field means nothing, and engines expect none.
    const auto dedupe =
        settings.idempotency == routing::Idempotency::kIdempotent ? std::nullopt : field("dedupe");
    if (dedupe && !is_idempotency_key(*dedupe)) return unusable("field dedupe: not a plain word");
    // Engines know requests by it: under one that is open, another statement would end or answer the wrong
    // one.
    if (front_.open_call_ids_.contains(std::string(*call))) {
      return unusable("field call: open already");
    }
    if (open_requests_.size() >= front_.limits_.max_open_requests) {
      front_.dispatcher_.record_rejection(*cls, ResponseStatus::kRejected, tenant);
      return respond(frame.stream_id, frames::kRejected,
                     {retry_after_field(front_.dispatcher_.overload_retry_after())},
                     "too many open requests here");
    }
    IncomingRequest arrival;
    auto query = std::make_shared<Query>();
    query->id = *call;
    query->class_name = *op;
    if (dedupe) query->idempotency_key = *dedupe;
    query->statement = body;
    query->writes = settings.idempotency == routing::Idempotency::kNonIdempotent;
    arrival.query = std::move(query);
    arrival.class_index = *cls;
    arrival.table_group = sql::table_group(body);
    arrival.deadline = front_.loop_.now() + patience;
    if (work && *work > 0) arrival.estimated_work = Duration(std::llround(*work * 1000));
    if (memory && *memory > 0) arrival.estimated_memory_mb = memory;
    arrival.tenant = std::move(tenant);
    const SlotKey ticket = front_.pending_requests_.insert({key_, frame.stream_id, 0, std::string(*call)});
    front_.open_call_ids_.emplace(*call);
    open_requests_[frame.stream_id] = ticket;
    front_.loop_.cancel(idle_timer_);
    if (front_.authenticator_)
      return authenticate(ticket, std::move(arrival), field(front_.authenticator_->settings().token_field));
    submit(ticket, arrival);
  }

  // Whose request it is, by its own word. Without tenants in the settings the word means nothing and does no
  // harm. Returns why it can't be used; the word itself goes into no log.
  const char* resolve_tenant(std::string_view org, std::string& tenant) const {
    const Dispatcher& core = front_.dispatcher_;
    if (!core.has_tenants()) return nullptr;
    if (core.find_tenant(org)) {
      tenant = org;
      return nullptr;
    }
    if (org.size() > kMaxNameLength) return "field org: longer than a name may be";
    // While settings change, its client may go by a list that we don't have any more.
    return core.in_settings_transition() ? nullptr : "field org: unknown tenant";
  }

  void submit(SlotKey ticket, const IncomingRequest& arrival) {
    front_.pending_requests_.find(ticket)->request = front_.dispatcher_.submit(arrival, front_, ticket);
  }

  // The token goes no further than this.
  void authenticate(SlotKey ticket, IncomingRequest arrival, std::optional<std::string_view> token) {
    if (!token) {
      auth::AuthenticationResult proof;
      proof.denial = policy::Denial::kNoCredentials;
      if (certificate_) proof = certificate_->authenticate(*front_.tls_);
      proof.close_connection =
          proof.denial != policy::Denial::kNone && certificate_ && certificate_->is_presented();
      return authorize(ticket, std::move(arrival), std::move(proof));
    }
    const std::size_t bytes = arrival.query->bytes();
    if (front_.bytes_in_check_ + bytes > front_.limits_.max_partial_frame_bytes) {
      return authorize(ticket, std::move(arrival),
                       {policy::Denial::kBusy, nullptr, front_.dispatcher_.overload_retry_after(), false});
    }
    auto waiting = std::make_shared<IncomingRequest>(std::move(arrival));
    // It is destroyed with its check, which ends with this connection at the latest.
    const auto done = [this, ticket, waiting](auth::AuthenticationResult proof) {
      front_.finish_check(*front_.pending_requests_.find(ticket));
      // The settings may have changed meanwhile, and a class's place with them.
      const auto cls = front_.dispatcher_.find_class(waiting->query->class_name);
      if (!cls) {
        return fail_request(front_.take_pending_request(ticket)->stream_id, "field op: unknown class");
      }
      waiting->class_index = *cls;
      authorize(ticket, std::move(*waiting), std::move(proof));
    };
    const Time until = std::max(front_.loop_.now(), waiting->deadline - kResponseMargin);
    auto check = front_.authenticator_->check_token(*token, key_, until, done);
    if (auto* result = std::get_if<auth::AuthenticationResult>(&check)) {
      return authorize(ticket, std::move(*waiting), std::move(*result));
    }
    PendingRequest& kept = *front_.pending_requests_.find(ticket);
    kept.check = std::get<auth::Authenticator::CheckId>(check);
    kept.bytes_in_check = bytes;
    front_.bytes_in_check_ += bytes;
  }

  void authorize(SlotKey ticket, IncomingRequest arrival, auth::AuthenticationResult proof) {
    static const policy::Identity kNobody;
    const Query& query = *arrival.query;
    const auth::AuditContext asked{"frames", query.id};
    policy::Denial denial = proof.denial;
    if (denial != policy::Denial::kNone) {
      front_.authenticator_->audit_denial(denial, kNobody, query.class_name, asked);
    } else {
      const bool may_write = front_.dispatcher_.class_settings(arrival.class_index).idempotency ==
                             routing::Idempotency::kNonIdempotent;
      // Which engine reads it, and how, is not known here.
      const auto facts = sql::analyze_statement(query.statement, "", sql::Dialect::kAny);
      denial = front_.authenticator_->authorize(proof.credential->identity, query.class_name, may_write,
                                                facts, asked);
      arrival.tenant = proof.credential->identity.tenant;
    }
    if (denial == policy::Denial::kNone) return submit(ticket, arrival);
    const auto known = front_.take_pending_request(ticket);
    front_.dispatcher_.record_rejection(arrival.class_index, ResponseStatus::kRejected, arrival.tenant);
    frames::Fields fields{{"denied", std::string(policy::reason_code(denial))}};
    if (proof.retry_after) fields.insert(retry_after_field(*proof.retry_after));
    respond(known->stream_id, frames::kRejected, fields, policy::reason_message(denial));
    if (proof.close_connection) close_for_denial(denial);
  }

  FramesFrontend& front_;
  SlotKey key_;
  std::unique_ptr<auth::CertificateAuthenticator> certificate_;  // of a connection in TLS
  std::map<std::uint32_t, SlotKey> open_requests_;
  std::size_t bytes_to_skip_ = 0;
  bool closing_ = false;             // nothing more is taken
  bool framing_lost_ = false;        // nor read: where a frame begins is not known any more
  bool close_started_ = false;       // nor written
  bool waiting_for_reader_ = false;  // for the client to take them: until then nothing it asks is taken
  policy::Denial denial_ = policy::Denial::kNone;
  std::size_t reserved_bytes_ = 0;  // of the budget for large frames
  bool frame_in_progress_ = false;  // a frame, that is not yet whole
  Time accepted_at_ = front_.loop_.now(), last_bytes_at_ = accepted_at_, last_frame_at_{};
  TimerId idle_timer_{}, frame_timer_{};
  Stream stream_;
};

FramesFrontend::FramesFrontend(EventLoop& loop, Logger& log, Dispatcher& core, FileDescriptor listener,
                               Limits limits, auth::Authenticator* gate,
                               std::shared_ptr<const tls::ServerContext> tls)
    : loop_(loop),
      log_(log),
      dispatcher_(core),
      limits_(limits),
      authenticator_(gate),
      tls_(std::move(tls)),
      acceptor_(
          loop, std::move(listener), [this](FileDescriptor fd) { accept(std::move(fd)); }, false,
          [this] { return !is_full() || eviction_candidate() != 0; }) {}

FramesFrontend::~FramesFrontend() = default;

FramesFrontend::Connection* FramesFrontend::find(SlotKey key) const {
  const auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

std::optional<FramesFrontend::PendingRequest> FramesFrontend::take_pending_request(SlotKey key) {
  auto ticket = pending_requests_.take(key);
  if (ticket) open_call_ids_.erase(ticket->call_id);
  return ticket;
}

void FramesFrontend::cancel_request(SlotKey key) {
  const auto known = take_pending_request(key);
  if (!known) return;
  if (known->check != 0) {
    bytes_in_check_ -= known->bytes_in_check;
    authenticator_->cancel_check(known->check);
  } else {
    dispatcher_.cancel_request(known->request);
  }
}

void FramesFrontend::finish_check(PendingRequest& ticket) {
  bytes_in_check_ -= std::exchange(ticket.bytes_in_check, 0);
  ticket.check = 0;
}

std::size_t FramesFrontend::unread_response_bytes() const {
  std::size_t sum = 0;
  for (const SlotKey key : connections_.keys()) sum += find(key)->unread_response_bytes();
  return sum;
}

// Silent ones, those that stopped halfway, and those that asked once and stay for good must not shut out who
// comes to ask, or who is still writing: of what has no request open, they give way in this order.
SlotKey FramesFrontend::eviction_candidate() const {
  SlotKey evicted = 0;
  for (const SlotKey key : connections_.keys()) {
    const Connection* one = find(key);
    if (!one->is_evictable() || loop_.now() - one->accepted_at() < kEvictionGracePeriod) continue;
    if (evicted == 0 || one->eviction_order() < find(evicted)->eviction_order()) evicted = key;
  }
  return evicted;
}

bool FramesFrontend::is_full() const {
  return connections_.size() - closing_.size() + max_closing() >= limits_.max_connections;
}

// Who has said something that lies unread is not the quietest any more.
void FramesFrontend::evict_idle_connection() {
  for (std::size_t looks = connections_.size();; --looks) {
    const SlotKey key = eviction_candidate();
    if (key == 0 || !is_full()) return;  // what it said has ended one
    Connection* one = find(key);
    const auto quiet = one->eviction_order();
    one->read_now();
    if (one->is_evictable() && (looks <= 1 || one->eviction_order() == quiet)) return one->close_gracefully();
  }
}

// What it waited for is called off at once; what was written to it still gets there.
void FramesFrontend::client_disconnected(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  connection->close_gracefully();
  for (const SlotKey ticket : connection->take_open_requests()) cancel_request(ticket);
}

void FramesFrontend::accept(FileDescriptor fd) {
  if (is_full()) evict_idle_connection();
  // Where the descriptors for clients are all in use, the first that was told its end has had its time.
  if (connections_.size() >= limits_.max_connections && !closing_.empty()) drop(closing_.front());
  const SlotKey key = connections_.insert(nullptr);
  auto channel = tls_ ? std::make_unique<tls::ServerChannel>(tls_) : nullptr;
  *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd), std::move(channel));
  if (draining_) find(key)->send_go_away();
}

void FramesFrontend::drop(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  for (const SlotKey ticket : connection->take_open_requests()) cancel_request(ticket);
  connection->close();
  std::erase(closing_, key);
  if (authenticator_) authenticator_->remove_source(key);
  auto kept = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

ResponseStatus FramesFrontend::on_response(std::uint64_t ticket, Response answer) {
  const auto known = take_pending_request(ticket);
  Connection* connection = known ? find(known->connection) : nullptr;
  if (!connection) return answer.status;
  if (answer.status == ResponseStatus::kServed && answer.body.size() + 1024 > frames::kMaxFrameLength) {
    answer = {ResponseStatus::kFailed, "", std::nullopt, ResponseCause::kEngineError,
              "the result is larger than a frame"};
  }
  if (answer.status == ResponseStatus::kServed) {
    connection->respond(known->stream_id, frames::kServed, {}, answer.body);
  } else if (answer.status == ResponseStatus::kRejected) {
    connection->respond(known->stream_id, frames::kRejected,
                        {retry_after_field(answer.retry_after.value_or(Duration(0)))},
                        response_message(answer));
  } else {
    connection->respond(known->stream_id, frames::kFailed, {}, response_message(answer));
  }
  return answer.status;
}

void FramesFrontend::credentials_changed(std::shared_ptr<const tls::ServerContext> tls) {
  tls_ = std::move(tls);
  if (!tls_) return;
  if (!certificate_scan_) {
    certificate_scan_ = std::make_unique<IncrementalScan>(loop_, [this](SlotKey key) {
      if (Connection* connection = find(key)) connection->recheck_certificate();
    });
  }
  certificate_scan_->start(connections_.keys());
}

void FramesFrontend::drain() {
  draining_ = true;
  for (const SlotKey key : connections_.keys()) find(key)->send_go_away();
}

void FramesFrontend::close_all_gracefully(Duration bound) {
  linger_timeout_ = bound;
  set_accepting(false);
  for (const SlotKey key : connections_.keys()) find(key)->close_when_answered();
}

void FramesFrontend::set_resource_limits(std::size_t most_connections, std::size_t most_unfinished,
                                         std::size_t most_untaken) {
  limits_.max_connections = most_connections;
  limits_.max_partial_frame_bytes = most_unfinished;
  limits_.max_unread_response_bytes = most_untaken;
}

bool FramesFrontend::is_receiving() const {
  const auto keys = connections_.keys();
  return std::any_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_receiving(); });
}

std::size_t FramesFrontend::pending_check_count() const {
  const auto keys = pending_requests_.keys();
  return static_cast<std::size_t>(std::count_if(
      keys.begin(), keys.end(), [this](SlotKey key) { return pending_requests_.find(key)->check != 0; }));
}

bool FramesFrontend::is_flushed() {
  const auto keys = connections_.keys();
  return pending_check_count() == 0 &&
         std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
}

}  // namespace rookproxy
