#include "front/frames.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/numbers.h"
#include "sql/lexer.h"

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

Parse parse_frame(std::string_view bytes, Frame& frame, std::size_t& used) {
  if (bytes.size() < 4) return Parse::kMore;
  const std::size_t length = number_at(bytes, 0, 4);
  if (length < kLeastLength || length > kMostSkipped) return Parse::kBroken;
  if (bytes.size() < kHeader) return Parse::kMore;
  frame.type = static_cast<std::uint8_t>(bytes[4]);
  frame.stream = number_at(bytes, 5, 4);
  used = 4 + length;
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

constexpr Duration kLinger = std::chrono::milliseconds(300);

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
  Connection(FramesFront& front, SlotKey key, Fd fd)
      : front_(front),
        key_(key),
        stream_(front.loop_, std::move(fd), *this, false, frames::kMostLength + 4096) {
    rest();
  }
  ~Connection() { front_.loop_.cancel(idle_timer_); }

  std::size_t on_bytes(std::string_view bytes) override {
    if (dead_) return bytes.size();
    if (skip_ > 0) {
      const std::size_t skipped = std::min(skip_, bytes.size());
      skip_ -= skipped;
      return skipped;
    }
    frames::Frame frame;
    std::size_t used = 0;
    switch (frames::parse_frame(bytes, frame, used)) {
      case frames::Parse::kMore:
        return 0;
      case frames::Parse::kBroken:
        broken("unreadable frame");
        return bytes.size();
      case frames::Parse::kOversized:
        if (frame.type != frames::kRequest || frame.stream == 0 || open_.contains(frame.stream)) {
          broken("oversized frame");
          return bytes.size();
        }
        reject(frame.stream, "larger than a frame may be");
        skip_ = used;
        return on_bytes(bytes);
      case frames::Parse::kOne:
        take(frame);
    }
    return used;
  }

  void on_closed(std::string_view) override { front_.drop(key_); }
  void on_flushed() override { stream_.hold_reading(false); }

  void answer(std::uint32_t stream, frames::Code code, const frames::Fields& fields, std::string_view body) {
    open_.erase(stream);
    write(frames::make_answer(stream, code, fields, body));
    rest();
  }
  void go_away() { write(frames::make_frame(frames::kGoAway, 0, "")); }
  bool is_flushed() const { return stream_.queued() == 0; }
  // The requests nobody waits for any more.
  std::vector<SlotKey> abandon() {
    std::vector<SlotKey> tickets;
    for (const auto& [stream, ticket] : open_) tickets.push_back(ticket);
    open_.clear();
    stream_.close();
    return tickets;
  }

 private:
  void write(std::string bytes) {
    stream_.write(std::move(bytes));
    // A client that does not take its answers gets to send nothing more until it does.
    if (stream_.queued() > front_.limits_.most_queued) stream_.hold_reading(true);
  }

  void rest() {
    if (dead_) return;
    front_.loop_.cancel(idle_timer_);
    if (!open_.empty()) return;
    idle_timer_ = front_.loop_.at(front_.loop_.now() + front_.limits_.idle, [this] { front_.drop(key_); });
  }

  void broken(std::string_view why) {
    front_.log_.line(Level::kNotice, "frames", why, {});
    stream_.write(frames::make_answer(0, frames::kFailed, {}, why));
    // Closing with bytes unread would reset the connection and could take the error with it: let it arrive
    // first.
    dead_ = true;
    stream_.end_writing();
    front_.loop_.cancel(idle_timer_);
    idle_timer_ = front_.loop_.at(front_.loop_.now() + kLinger, [this] { front_.drop(key_); });
  }

  void reject(std::uint32_t stream, std::string_view why) {
    front_.log_.line(Level::kInfo, "frames", why, {});
    answer(stream, frames::kFailed, {}, why);
  }

  void take(const frames::Frame& frame) {
    switch (frame.type) {
      case frames::kRequest:
        if (frame.stream == 0 || open_.contains(frame.stream)) return broken("request on a stream in use");
        return request(frame);
      case frames::kAbandon:
        if (const auto found = open_.find(frame.stream); found != open_.end()) {
          const SlotKey ticket = found->second;
          open_.erase(found);
          if (const auto known = front_.tickets_.take(ticket)) front_.core_.asker_gone(known->request);
          rest();
        }
        return;  // its answer has crossed this on the way: fine
      case frames::kIsReady:
        return write(frames::make_frame(frames::kReady, frame.stream,
                                        std::string_view(front_.draining_ ? "\1\0" : "\0\0", 2)));
      default:
        return broken("frame of an unknown type");
    }
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
    if (!call || !is_call_id(*call)) return reject(frame.stream, "field call: not 16 hex digits");
    const auto cls = op ? front_.core_.class_named(*op) : std::nullopt;
    if (!cls) return reject(frame.stream, "field op: unknown class");
    const auto ttl = ttl_text ? parse_number<std::uint32_t>(*ttl_text) : std::nullopt;
    if (!ttl || *ttl == 0) return reject(frame.stream, "field ttl: not a positive number of milliseconds");
    std::optional<double> work, memory;
    if (const auto text = field("work")) {
      work = amount(*text);
      if (!work || *work > 1e12) return reject(frame.stream, "field work: not an amount");
    }
    if (const auto text = field("memory")) {
      memory = amount(*text);
      if (!memory) return reject(frame.stream, "field memory: not an amount");
    }
    if (open_.size() >= front_.limits_.most_open) {
      return answer(frame.stream, frames::kRefused, {{"pushback", "1000"}}, "too many open requests here");
    }
    Arrival arrival;
    auto query = std::make_shared<Query>();
    query->id = *call;
    query->class_name = *op;
    query->statement = body;
    query->writes = front_.core_.settings().classes[*cls].effect == lemonshift::Effect::kUnsafe;
    arrival.query = std::move(query);
    arrival.cls = *cls;
    arrival.group = sql::table_group(body);
    arrival.give_up_at = front_.loop_.now() + std::chrono::milliseconds(*ttl);
    if (work && *work > 0) arrival.work = Duration(std::llround(*work * 1000));
    if (memory && *memory > 0) arrival.memory_mb = memory;
    const SlotKey ticket = front_.tickets_.insert({key_, frame.stream, 0});
    open_[frame.stream] = ticket;
    front_.loop_.cancel(idle_timer_);
    front_.tickets_.find(ticket)->request = front_.core_.accept(arrival, front_, ticket);
  }

  FramesFront& front_;
  SlotKey key_;
  std::map<std::uint32_t, SlotKey> open_;
  std::size_t skip_ = 0;
  bool dead_ = false;
  TimerKey idle_timer_{};
  Stream stream_;
};

FramesFront::FramesFront(Loop& loop, Log& log, Dispatcher& core, Fd listener, Limits limits)
    : loop_(loop),
      log_(log),
      core_(core),
      limits_(limits),
      acceptor_(loop, std::move(listener), [this](Fd fd) { accept(std::move(fd)); }) {}

FramesFront::~FramesFront() = default;

FramesFront::Connection* FramesFront::find(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

void FramesFront::accept(Fd fd) {
  if (connections_.size() >= limits_.most_connections) return;  // closed: descriptors are kept for engines
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd));
  if (draining_) find(key)->go_away();
}

void FramesFront::drop(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  for (const SlotKey ticket : connection->abandon()) {
    if (const auto known = tickets_.take(ticket)) core_.asker_gone(known->request);
  }
  auto kept = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

void FramesFront::on_answer(std::uint64_t ticket, Answer answer) {
  const auto known = tickets_.take(ticket);
  if (!known) return;
  Connection* connection = find(known->connection);
  if (!connection) return;
  if (answer.verdict == Verdict::kServed && answer.body.size() + 1024 > frames::kMostLength) {
    answer = {Verdict::kFailed, "", std::nullopt, Cause::kEngineError, "the result is larger than a frame"};
  }
  if (answer.verdict == Verdict::kServed) {
    connection->answer(known->stream, frames::kServed, {}, answer.body);
  } else if (answer.verdict == Verdict::kRefused) {
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(answer.again.value_or(Duration(0)));
    connection->answer(known->stream, frames::kRefused, {{"pushback", std::to_string(pause.count())}},
                       cause_text(answer));
  } else {
    connection->answer(known->stream, frames::kFailed, {}, cause_text(answer));
  }
}

void FramesFront::drain() {
  draining_ = true;
  for (const SlotKey key : connections_.keys()) find(key)->go_away();
}

bool FramesFront::is_flushed() {
  const auto keys = connections_.keys();
  return std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
}

}  // namespace rookproxy
