#include "front/frames.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/numbers.h"
#include "sql/lexer.h"
#include "sql/tables.h"

namespace rookproxy {
namespace frames {
namespace {

std::uint32_t number_at(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

void put(std::string& out, std::size_t value, int size) {
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i));
}

}  // namespace

std::size_t frame_length(std::string_view bytes, Frame& frame) {
  frame.type = static_cast<std::uint8_t>(bytes[4]);
  frame.stream = number_at(bytes, 5, 4);
  return 4 + number_at(bytes, 0, 4);
}

Parse parse_frame(std::string_view bytes, Frame& frame, std::size_t& used) {
  if (bytes.size() < 4) return Parse::kMore;
  const std::size_t length = number_at(bytes, 0, 4);
  if (length < kLeastLength || length > kMostSkipped) return Parse::kBroken;
  if (bytes.size() < kHeader) return Parse::kMore;
  used = frame_length(bytes, frame);
  if (length > kMostLength) return Parse::kOversized;
  if (bytes.size() < used) return Parse::kMore;
  frame.payload = bytes.substr(kHeader, length - kLeastLength);
  return Parse::kOne;
}

bool parse_fields(std::string_view& payload, Fields& fields) {
  const auto take = [&payload](std::size_t size_bytes) -> std::optional<std::string_view> {
    if (payload.size() < size_bytes) return std::nullopt;
    const std::size_t size = number_at(payload, 0, size_bytes);
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

std::string make_frame(std::uint8_t type, std::uint32_t stream, std::string_view payload) {
  std::string out;
  out.reserve(kHeader + payload.size());
  put(out, payload.size() + kLeastLength, 4);
  out += static_cast<char>(type);
  put(out, stream, 4);
  out += payload;
  return out;
}

std::string make_answer(std::uint32_t stream, Code code, const Fields& fields, std::string_view body) {
  std::string payload;
  payload += static_cast<char>(code);
  payload += static_cast<char>(fields.size());
  for (const auto& [name, value] : fields) {
    put(payload, name.size(), 1);
    payload += name;
    put(payload, value.size(), 2);
    payload += value;
  }
  payload += body;
  return make_frame(kAnswer, stream, payload);
}

}  // namespace frames

namespace {

// A token that waits to be checked is given up this long before its client does.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(8);
// One whose bytes come with longer pauses has stopped halfway.
constexpr Duration kPieces = std::chrono::milliseconds(700);
// Nobody is pushed out before what it sent with its connection could be read.
constexpr Duration kFresh = std::chrono::milliseconds(20);
constexpr std::size_t kUsualLength = 16 * 1024;  // of a frame; larger ones have to share a budget
// Figures beyond these are no estimates: they would only mislead the module about what usual requests take.
constexpr int kMostDeadlines = 4;                     // of its class, that a client may wait
constexpr double kMostWork = 1e7, kMostMemory = 1e7;  // ms, MB
constexpr std::size_t kLongestName = 255;             // bytes of a tenant's, or of a key against repeats

std::optional<double> amount(std::string_view text) {
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
bool is_dedupe_key(std::string_view text) {
  return !text.empty() && text.size() <= kLongestName && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 127 && c != ',' && c != '=';
  });
}

frames::Fields::value_type pushback(Duration pause) {
  return {"pushback", std::to_string(std::chrono::ceil<std::chrono::milliseconds>(pause).count())};
}

std::string_view cause_text(const Answer& answer) {
  switch (answer.cause) {
    case Cause::kDeadline:
      return "the deadline passed";
    case Cause::kEngineError:
      return "an engine failed";
    case Cause::kOverloaded:
      return "too much is held already";
    case Cause::kStopping:
      return "the dispatcher stops";
    case Cause::kNone:
    case Cause::kDecision:
      break;
  }
  return answer.verdict == Verdict::kRefused ? "no room in time" : "no engine could serve it";
}

}  // namespace

class FramesFront::Connection final : public StreamUser {
 public:
  Connection(FramesFront& front, SlotKey key, Fd fd, std::unique_ptr<tls::ServerChannel> channel)
      : front_(front),
        key_(key),
        certificate_(front.gate_ && channel
                         ? std::make_unique<access::CertificateCaller>(*front.gate_, channel.get())
                         : nullptr),
        stream_(front.loop_, std::move(fd), *this, false, frames::kMostLength + 4096, std::move(channel)) {
    wait_for_frame(front.limits_.silence);
  }
  ~Connection() {
    front_.loop_.cancel(idle_timer_);
    front_.loop_.cancel(frame_timer_);
    front_.unfinished_ -= reserved_;
  }

  std::size_t on_bytes(std::string_view bytes) override {
    if (unframed_) return bytes.size();
    heard_at_ = front_.loop_.now();
    if (skip_ > 0) {
      const std::size_t skipped = std::min(skip_, bytes.size());
      skip_ -= skipped;
      if (skip_ == 0) frame_over();
      return skipped;
    }
    if (answers_wait_) {
      look_for_abandoned(bytes);
      if (bytes.size() >= kUsualLength) stream_.hold_reading(true);
      return 0;
    }
    frames::Frame frame;
    std::size_t used = 0;
    switch (frames::parse_frame(bytes, frame, used)) {
      case frames::Parse::kMore:
        return begin(bytes);
      case frames::Parse::kBroken:
        unframed_ = true;
        broken("unreadable frame");
        return bytes.size();
      case frames::Parse::kOversized:
        if (frame.type != frames::kRequest || frame.stream == 0 || open_.contains(frame.stream)) {
          unframed_ = true;
          broken("oversized frame");
          return bytes.size();
        }
        frame_begun();
        reject(frame.stream, "larger than a frame may be");
        skip_ = used;
        return on_bytes(bytes);
      case frames::Parse::kOne:
        spoken_at_ = front_.loop_.now();
        frame_over();
        take(frame);
    }
    return used;
  }

  void on_closed(std::string_view) override { front_.drop(key_); }
  void on_flushed() override {
    if (!std::exchange(answers_wait_, false)) return;
    stream_.hold_reading(false);
    stream_.look_again();
  }
  // Nothing of a client that has gone is sent on, not even what it sent before.
  void on_hangup() override { front_.client_gone(key_); }

  void answer(std::uint32_t stream, frames::Code code, const frames::Fields& fields, std::string_view body) {
    open_.erase(stream);
    write(frames::make_answer(stream, code, fields, body));
    rest();
  }
  // Nothing is open: such a connection may be closed.
  bool may_go() const { return open_.empty() && !dead_; }
  Time came_at() const { return came_at_; }
  // The least goes first: of each kind the longest quiet one.
  enum class Quiet { kSilent, kStoppedHalfway, kIdle, kWriting };
  std::pair<Quiet, Time> quiet_since() const {
    if (begun_) return {is_receiving() ? Quiet::kWriting : Quiet::kStoppedHalfway, heard_at_};
    return {spoken_at_ == Time() ? Quiet::kSilent : Quiet::kIdle, heard_at_};
  }
  std::size_t untaken() const { return stream_.queued(); }
  // Who showed a certificate that is not good any more is told to go, whether it asks for something or not.
  void look_at_certificate() {
    if (!certificate_ || !certificate_->is_shown()) return;
    const decide::Denial denial = certificate_->proof(*front_.tls_).denial;
    if (denial != decide::Denial::kNone) end_when_idle(denial);
  }
  // Nothing more is taken nor written. Only who does not take its answers is closed otherwise (drop).
  void end() {
    if (std::exchange(ending_, true)) return;
    dead_ = true;
    begun_ = false;
    front_.unfinished_ -= std::exchange(reserved_, 0);
    front_.loop_.cancel(frame_timer_);
    front_.loop_.cancel(idle_timer_);
    front_.ending_.push_back(key_);
    stream_.end_in_order(front_.linger_);
  }
  // What lies unread was sent to a connection that was open: it is taken before that is decided.
  void read_now() { stream_.read_now(); }
  void end_when_answered() {
    read_now();
    if (open_.empty()) return end();
    dead_ = true;
    front_.loop_.cancel(frame_timer_);
    front_.loop_.cancel(idle_timer_);
  }
  void go_away() { write(frames::make_frame(frames::kGoAway, 0, "")); }
  bool is_flushed() const { return stream_.queued() == 0; }
  bool is_receiving() const { return begun_ && front_.loop_.now() - heard_at_ < kPieces; }
  // The requests nobody waits for any more.
  std::vector<SlotKey> abandon() {
    std::vector<SlotKey> tickets;
    for (const auto& [stream, ticket] : open_) tickets.push_back(ticket);
    open_.clear();
    return tickets;
  }
  void close() { stream_.close(); }

 private:
  void write(std::string bytes) {
    stream_.write(std::move(bytes));
    // A client that does not take its answers gets nothing more taken until it does.
    if (stream_.queued() <= front_.limits_.most_queued) return;
    answers_wait_ = true;
    if (front_.untaken() > front_.limits_.most_untaken) {
      // In no order: what an end in order would wait for is what there is too much of, and its client has
      // left it lying.
      front_.log_.line(Level::kNotice, "frames", "answers not taken", {});
      front_.loop_.defer([&front = front_, key = key_] { front.drop(key); });
    }
  }

  // A frame has begun. It may take up its length only while the budget for large ones lasts, and only for so
  // long.
  std::size_t begin(std::string_view bytes) {
    frame_begun();
    if (bytes.size() < frames::kHeader || reserved_ > 0) return 0;
    frames::Frame head;
    const std::size_t length = frames::frame_length(bytes, head);
    if (length <= kUsualLength) return 0;
    if (front_.unfinished_ + length <= front_.limits_.most_unfinished) {
      reserved_ = length;
      front_.unfinished_ += length;
      return 0;
    }
    if (dead_ || head.type != frames::kRequest || head.stream == 0 || open_.contains(head.stream)) {
      unframed_ = true;
      broken("no room for a frame so large");
      return bytes.size();
    }
    answer(head.stream, frames::kRefused, {pushback(front_.core_.short_pause())},
           "no room for a frame so large");
    skip_ = length;
    return on_bytes(bytes);
  }

  // Silence is no request, and half a frame neither: they hold descriptors that others need. Where requests
  // are open the connection stays for them in any case, so the rest of the frame may still come, as it does
  // behind a network that was cut for some seconds: it is a request like any other then.
  void wait_for_frame(Duration span) {
    front_.loop_.cancel(frame_timer_);
    frame_timer_ = front_.loop_.at(front_.loop_.now() + span, [this] {
      frame_timer_ = {};
      read_now();
      const bool is_late = begun_ || spoken_at_ == Time();
      if (dead_ || frame_timer_.second != 0 || !is_late) return;
      if (open_.empty()) return end();
      wait_for_frame(front_.limits_.patience);
    });
  }

  void frame_begun() {
    if (!std::exchange(begun_, true) && !dead_) wait_for_frame(front_.limits_.patience);
  }

  void frame_over() {
    front_.loop_.cancel(frame_timer_);
    begun_ = false;
    front_.unfinished_ -= std::exchange(reserved_, 0);
    rest();
  }

  // Nothing more is taken here, for that reason; once nothing is open the connection ends.
  void end_when_idle(decide::Denial reason) {
    if (dead_ || leaving_ != decide::Denial::kNone) return;
    leaving_ = reason;
    front_.loop_.cancel(idle_timer_);
    go_away();
    rest();
  }

  void rest() {
    if (dead_) {
      if (open_.empty()) end();
      return;
    }
    if (leaving_ != decide::Denial::kNone) {
      // Once, whatever else it sends: what crosses the word to go away is still refused by name.
      if (!open_.empty() || idle_timer_.second != 0) return;
      idle_timer_ = front_.loop_.at(front_.loop_.now() + front_.linger_,
                                    [this] { broken("its credentials are not good"); });
      return;
    }
    front_.loop_.cancel(idle_timer_);
    if (!open_.empty()) return;
    idle_timer_ = front_.loop_.at(front_.loop_.now() + front_.limits_.idle, [this] {
      idle_timer_ = {};
      read_now();
      // A frame that has begun has its own time, and its end sets this one anew.
      if (open_.empty() && !begun_ && idle_timer_.second == 0) end();
    });
  }

  // Nothing more is taken here. What was asked before still gets its one final answer, each by its own
  // deadline at the latest; once nothing is open the connection ends. A client that goes on asking meanwhile
  // is refused at once, as long as its frames can be told apart: what is dropped unheard is lost.
  void broken(std::string_view why) {
    if (dead_) return;
    front_.log_.line(Level::kNotice, "frames", why, {});
    stream_.write(frames::make_answer(0, frames::kFailed, {}, why));
    dead_ = true;
    front_.loop_.cancel(frame_timer_);
    front_.loop_.cancel(idle_timer_);
    if (open_.empty()) end();
  }

  void reject(std::uint32_t stream, std::string_view why) {
    front_.log_.line(Level::kInfo, "frames", why, {});
    answer(stream, frames::kFailed, {}, why);
  }

  void take(const frames::Frame& frame) {
    if (dead_) {
      if (frame.type == frames::kAbandon) return stop_waiting(frame.stream);
      if (frame.type != frames::kRequest || frame.stream == 0 || open_.contains(frame.stream)) return;
      return answer(frame.stream, frames::kRefused, {{"pushback", "0"}}, "this connection ends");
    }
    switch (frame.type) {
      case frames::kRequest:
        if (frame.stream == 0 || open_.contains(frame.stream)) return broken("request on a stream in use");
        return request(frame);
      case frames::kAbandon:
        return stop_waiting(frame.stream);
      case frames::kIsReady:
        return write(frames::make_frame(frames::kReady, frame.stream,
                                        std::string_view(front_.draining_ ? "\1\0" : "\0\0", 2)));
      default:
        return broken("frame of an unknown type");
    }
  }

  // What is sent behind answers that are not taken lies here, bounded by a usual frame's length, and is taken
  // in its turn. But a client that waits no more for a stream is heard at once: it has gone, and nothing may
  // begin for it. Heard again in its turn, the word means nothing.
  void look_for_abandoned(std::string_view bytes) {
    frames::Frame frame;
    for (std::size_t used = 0; frames::parse_frame(bytes, frame, used) == frames::Parse::kOne;) {
      if (frame.type == frames::kAbandon) stop_waiting(frame.stream);
      bytes.remove_prefix(used);
    }
  }

  void stop_waiting(std::uint32_t stream) {
    const auto found = open_.find(stream);
    if (found == open_.end()) return;  // its answer has crossed this on the way: fine
    const SlotKey ticket = found->second;
    open_.erase(found);
    front_.give_up(ticket);
    rest();
  }

  void request(const frames::Frame& frame) {
    std::string_view body = frame.payload;
    frames::Fields fields;
    if (!frames::parse_fields(body, fields)) return reject(frame.stream, "unreadable fields");
    const auto field = [&fields](std::string_view name) -> std::optional<std::string_view> {
      const auto found = fields.find(name);
      if (found == fields.end()) return std::nullopt;
      return found->second;
    };
    const auto call = field("call"), op = field("op"), ttl_text = field("ttl");
    const auto cls = op ? front_.core_.class_named(*op) : std::nullopt;
    if (leaving_ != decide::Denial::kNone) {
      front_.gate_->audit(leaving_, {}, op.value_or(""), {"frames", call.value_or("")});
      if (cls) front_.core_.turned_away(*cls, Verdict::kRefused);
      return answer(frame.stream, frames::kRefused, {{"denied", std::string(decide::denial_word(leaving_))}},
                    decide::denial_text(leaving_));
    }
    std::string tenant;
    const auto unusable = [&](std::string_view why) {
      if (cls) front_.core_.turned_away(*cls, Verdict::kFailed, tenant);
      reject(frame.stream, why);
    };
    if (!call || !is_call_id(*call)) return unusable("field call: not 16 hex digits");
    if (!cls) return unusable("field op: unknown class");
    // Where callers are identified, what they proved says whose they are, and nothing else does.
    if (const auto org = front_.gate_ ? std::nullopt : field("org"); org && !org->empty()) {
      if (const char* why = take_tenant(*org, tenant)) return unusable(why);
    }
    const auto ttl = ttl_text ? parse_number<std::uint32_t>(*ttl_text) : std::nullopt;
    if (!ttl || *ttl == 0) return unusable("field ttl: not a positive number of milliseconds");
    const Duration patience = std::chrono::milliseconds(*ttl);
    const auto& settings = front_.core_.rules(*cls);
    if (patience > kMostDeadlines * span_from_module(settings.deadline)) {
      return unusable("field ttl: far beyond what its class may take");
    }
    std::optional<double> work, memory;
    if (const auto text = field("work")) {
      work = amount(*text);
      if (!work || *work > kMostWork) return unusable("field work: not an amount");
    }
    if (const auto text = field("memory")) {
      memory = amount(*text);
      if (!memory || *memory > kMostMemory) return unusable("field memory: not an amount");
    }
    // Where repeats do no harm the field means nothing, and engines expect none.
    const auto dedupe = settings.effect == lemonshift::Effect::kSafe ? std::nullopt : field("dedupe");
    if (dedupe && !is_dedupe_key(*dedupe)) return unusable("field dedupe: not a plain word");
    // Engines know requests by it: under one that is open, another statement would end or answer the wrong
    // one.
    if (front_.open_calls_.contains(std::string(*call))) {
      return unusable("field call: open already");
    }
    if (open_.size() >= front_.limits_.most_open) {
      front_.core_.turned_away(*cls, Verdict::kRefused, tenant);
      return answer(frame.stream, frames::kRefused, {pushback(front_.core_.short_pause())},
                    "too many open requests here");
    }
    Arrival arrival;
    auto query = std::make_shared<Query>();
    query->id = *call;
    query->class_name = *op;
    if (dedupe) query->dedupe = *dedupe;
    query->statement = body;
    query->writes = settings.effect == lemonshift::Effect::kUnsafe;
    arrival.query = std::move(query);
    arrival.cls = *cls;
    arrival.group = sql::table_group(body);
    arrival.give_up_at = front_.loop_.now() + patience;
    if (work && *work > 0) arrival.work = Duration(std::llround(*work * 1000));
    if (memory && *memory > 0) arrival.memory_mb = memory;
    arrival.tenant = std::move(tenant);
    const SlotKey ticket = front_.tickets_.insert({key_, frame.stream, 0, std::string(*call)});
    front_.open_calls_.emplace(*call);
    open_[frame.stream] = ticket;
    front_.loop_.cancel(idle_timer_);
    if (front_.gate_)
      return identify(ticket, std::move(arrival), field(front_.gate_->settings().token_field));
    accept(ticket, arrival);
  }

  // Whose request it is, by its own word. Without tenants in the settings the word means nothing and does no
  // harm. Returns why it can't be used; the word itself goes into no log.
  const char* take_tenant(std::string_view org, std::string& tenant) const {
    const Dispatcher& core = front_.core_;
    if (!core.has_tenants()) return nullptr;
    if (core.tenant_named(org)) {
      tenant = org;
      return nullptr;
    }
    if (org.size() > kLongestName) return "field org: longer than a name may be";
    // While settings change, its client may go by a list that we don't have any more.
    return core.is_changing() ? nullptr : "field org: unknown tenant";
  }

  void accept(SlotKey ticket, const Arrival& arrival) {
    front_.tickets_.find(ticket)->request = front_.core_.accept(arrival, front_, ticket);
  }

  // The token goes no further than this.
  void identify(SlotKey ticket, Arrival arrival, std::optional<std::string_view> token) {
    if (!token) {
      access::Proof proof;
      proof.denial = decide::Denial::kNoCredentials;
      if (certificate_) proof = certificate_->proof(*front_.tls_);
      proof.close = proof.denial != decide::Denial::kNone && certificate_ && certificate_->is_shown();
      return judge(ticket, std::move(arrival), std::move(proof));
    }
    const std::size_t bytes = arrival.query->bytes();
    if (front_.checking_ + bytes > front_.limits_.most_unfinished) {
      return judge(ticket, std::move(arrival),
                   {decide::Denial::kBusy, nullptr, front_.core_.short_pause(), false});
    }
    auto waiting = std::make_shared<Arrival>(std::move(arrival));
    // It is destroyed with its check, which ends with this connection at the latest.
    const auto done = [this, ticket, waiting](access::Proof proof) {
      front_.end_check(*front_.tickets_.find(ticket));
      // The settings may have changed meanwhile, and a class's place with them.
      const auto cls = front_.core_.class_named(waiting->query->class_name);
      if (!cls) {
        return reject(front_.take_ticket(ticket)->stream, "field op: unknown class");
      }
      waiting->cls = *cls;
      judge(ticket, std::move(*waiting), std::move(proof));
    };
    access::Gatekeeper::CheckKey check = 0;
    const Time until = std::max(front_.loop_.now(), waiting->give_up_at - kAnswerMargin);
    auto proof = front_.gate_->check(*token, key_, until, done, check);
    if (proof) return judge(ticket, std::move(*waiting), std::move(*proof));
    Ticket& kept = *front_.tickets_.find(ticket);
    kept.check = check;
    kept.checking = bytes;
    front_.checking_ += bytes;
  }

  void judge(SlotKey ticket, Arrival arrival, access::Proof proof) {
    static const decide::Identity kNobody;
    const Query& query = *arrival.query;
    const access::Asked asked{"frames", query.id};
    decide::Denial denial = proof.denial;
    if (denial != decide::Denial::kNone) {
      front_.gate_->audit(denial, kNobody, query.class_name, asked);
    } else {
      const bool may_write = front_.core_.rules(arrival.cls).effect == lemonshift::Effect::kUnsafe;
      // Which engine reads it, and how, is not known here.
      const auto facts = sql::statement_facts(query.statement, "", sql::Dialect::kAny);
      denial = front_.gate_->judge(proof.proven->identity, query.class_name, may_write, facts, asked);
      arrival.tenant = proof.proven->identity.tenant;
    }
    if (denial == decide::Denial::kNone) return accept(ticket, arrival);
    const auto known = front_.take_ticket(ticket);
    front_.core_.turned_away(arrival.cls, Verdict::kRefused, arrival.tenant);
    frames::Fields fields{{"denied", std::string(decide::denial_word(denial))}};
    if (proof.again) fields.insert(pushback(*proof.again));
    answer(known->stream, frames::kRefused, fields, decide::denial_text(denial));
    if (proof.close) end_when_idle(denial);
  }

  FramesFront& front_;
  SlotKey key_;
  std::unique_ptr<access::CertificateCaller> certificate_;  // of a connection in TLS
  std::map<std::uint32_t, SlotKey> open_;
  std::size_t skip_ = 0;
  bool dead_ = false;          // nothing more is taken
  bool unframed_ = false;      // nor read: where a frame begins is not known any more
  bool ending_ = false;        // nor written
  bool answers_wait_ = false;  // for the client to take them: until then nothing it asks is taken
  decide::Denial leaving_ = decide::Denial::kNone;
  std::size_t reserved_ = 0;  // of the budget for large frames
  bool begun_ = false;        // a frame, that is not yet whole
  Time came_at_ = front_.loop_.now(), heard_at_ = came_at_, spoken_at_{};
  TimerKey idle_timer_{}, frame_timer_{};
  Stream stream_;
};

FramesFront::FramesFront(Loop& loop, Log& log, Dispatcher& core, Fd listener, Limits limits,
                         access::Gatekeeper* gate, std::shared_ptr<const tls::ServerContext> tls)
    : loop_(loop),
      log_(log),
      core_(core),
      limits_(limits),
      gate_(gate),
      tls_(std::move(tls)),
      acceptor_(
          loop, std::move(listener), [this](Fd fd) { accept(std::move(fd)); }, false,
          [this] { return !is_full() || next_to_evict() != 0; }) {}

FramesFront::~FramesFront() = default;

FramesFront::Connection* FramesFront::find(SlotKey key) const {
  const auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

std::optional<FramesFront::Ticket> FramesFront::take_ticket(SlotKey key) {
  auto ticket = tickets_.take(key);
  if (ticket) open_calls_.erase(ticket->call);
  return ticket;
}

void FramesFront::give_up(SlotKey key) {
  const auto known = take_ticket(key);
  if (!known) return;
  if (known->check != 0) {
    checking_ -= known->checking;
    gate_->cancel(known->check);
  } else {
    core_.asker_gone(known->request);
  }
}

void FramesFront::end_check(Ticket& ticket) {
  checking_ -= std::exchange(ticket.checking, 0);
  ticket.check = 0;
}

std::size_t FramesFront::untaken() const {
  std::size_t sum = 0;
  for (const SlotKey key : connections_.keys()) sum += find(key)->untaken();
  return sum;
}

// Silent ones, those that stopped halfway, and those that asked once and stay for good must not shut out who
// comes to ask, or who is still writing: of what has no request open, they give way in this order.
SlotKey FramesFront::next_to_evict() const {
  SlotKey evicted = 0;
  for (const SlotKey key : connections_.keys()) {
    const Connection* one = find(key);
    if (!one->may_go() || loop_.now() - one->came_at() < kFresh) continue;
    if (evicted == 0 || one->quiet_since() < find(evicted)->quiet_since()) evicted = key;
  }
  return evicted;
}

bool FramesFront::is_full() const {
  return connections_.size() - ending_.size() + most_ending() >= limits_.most_connections;
}

// Who has said something that lies unread is not the quietest any more.
void FramesFront::evict() {
  for (std::size_t looks = connections_.size();; --looks) {
    const SlotKey key = next_to_evict();
    if (key == 0 || !is_full()) return;  // what it said has ended one
    Connection* one = find(key);
    const auto quiet = one->quiet_since();
    one->read_now();
    if (one->may_go() && (looks <= 1 || one->quiet_since() == quiet)) return one->end();
  }
}

// What it waited for is called off at once; what was written to it still gets there.
void FramesFront::client_gone(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  connection->end();
  for (const SlotKey ticket : connection->abandon()) give_up(ticket);
}

void FramesFront::accept(Fd fd) {
  if (is_full()) evict();
  // Where the descriptors for clients are all in use, the first that was told its end has had its time.
  if (connections_.size() >= limits_.most_connections && !ending_.empty()) drop(ending_.front());
  const SlotKey key = connections_.insert(nullptr);
  auto channel = tls_ ? std::make_unique<tls::ServerChannel>(tls_) : nullptr;
  *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd), std::move(channel));
  if (draining_) find(key)->go_away();
}

void FramesFront::drop(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  for (const SlotKey ticket : connection->abandon()) give_up(ticket);
  connection->close();
  std::erase(ending_, key);
  if (gate_) gate_->source_gone(key);
  auto kept = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

Verdict FramesFront::on_answer(std::uint64_t ticket, Answer answer) {
  const auto known = take_ticket(ticket);
  Connection* connection = known ? find(known->connection) : nullptr;
  if (!connection) return answer.verdict;
  if (answer.verdict == Verdict::kServed && answer.body.size() + 1024 > frames::kMostLength) {
    answer = {Verdict::kFailed, "", std::nullopt, Cause::kEngineError, "the result is larger than a frame"};
  }
  if (answer.verdict == Verdict::kServed) {
    connection->answer(known->stream, frames::kServed, {}, answer.body);
  } else if (answer.verdict == Verdict::kRefused) {
    connection->answer(known->stream, frames::kRefused, {pushback(answer.again.value_or(Duration(0)))},
                       cause_text(answer));
  } else {
    connection->answer(known->stream, frames::kFailed, {}, cause_text(answer));
  }
  return answer.verdict;
}

void FramesFront::credentials_changed(std::shared_ptr<const tls::ServerContext> tls) {
  tls_ = std::move(tls);
  if (!tls_) return;
  if (!sweep_) {
    sweep_ = std::make_unique<Sweep>(loop_, [this](SlotKey key) {
      if (Connection* connection = find(key)) connection->look_at_certificate();
    });
  }
  sweep_->start(connections_.keys());
}

void FramesFront::drain() {
  draining_ = true;
  for (const SlotKey key : connections_.keys()) find(key)->go_away();
}

void FramesFront::end_all(Duration bound) {
  linger_ = bound;
  accept_clients(false);
  for (const SlotKey key : connections_.keys()) find(key)->end_when_answered();
}

void FramesFront::resize(std::size_t most_connections, std::size_t most_unfinished,
                         std::size_t most_untaken) {
  limits_.most_connections = most_connections;
  limits_.most_unfinished = most_unfinished;
  limits_.most_untaken = most_untaken;
}

bool FramesFront::is_receiving() const {
  const auto keys = connections_.keys();
  return std::any_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_receiving(); });
}

std::size_t FramesFront::checks_open() const {
  const auto keys = tickets_.keys();
  return static_cast<std::size_t>(std::count_if(
      keys.begin(), keys.end(), [this](SlotKey key) { return tickets_.find(key)->check != 0; }));
}

bool FramesFront::is_flushed() {
  const auto keys = connections_.keys();
  return checks_open() == 0 &&
         std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
}

}  // namespace rookproxy
