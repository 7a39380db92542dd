// Who the engines are: the list known at the start, then the directory's, asked often.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/interfaces.h"
#include "decide/directory_path.h"
#include "decide/list_order.h"
#include "decide/poll_schedule.h"
#include "directory/dns.h"
#include "log/log.h"
#include "net/loop.h"

namespace rookproxy {

class DnsDirectory final {
 public:
  using Told = std::function<void(const std::vector<Member>&)>;
  // `serial` is that of the list known at the start; only later ones are told.
  DnsDirectory(Loop& loop, Log& log, const Endpoint& server, std::string service, Duration poll,
               std::uint64_t serial, std::uint64_t seed, Told told);
  ~DnsDirectory();
  DnsDirectory(const DnsDirectory&) = delete;
  DnsDirectory& operator=(const DnsDirectory&) = delete;
  bool has_answered() const { return answered_; }
  // While a list is told: since when its news may count as told to us. Before now, if questions had gone
  // unanswered: a grace that counts from an answer that was lost has begun by then.
  Time told_since() const { return told_since_; }
  // Asks there from now on, and at once. The list and its serial go on: it is the same directory elsewhere.
  void move_to(const Endpoint& server, std::string service, Duration poll);

 private:
  struct Socket final : Watcher {
    explicit Socket(DnsDirectory& its) : directory(its) {}
    void on_ready(std::uint32_t) override { directory.read(*this); }
    DnsDirectory& directory;
    Fd fd;
    SlotKey key = 0;
    bool asked = false;
  };
  struct Question {
    std::uint16_t id;
    Time at;
    bool first;  // on its socket
  };
  bool open(Socket& socket);
  void close(Socket& socket);
  Socket& present() { return sockets_[present_]; }
  Socket& former() { return sockets_[1 - present_]; }
  void ask();
  void send(const std::string& query);
  void read(Socket& socket);
  void take(std::string_view message);
  void tell(decide::DirectoryPath::News news, std::string_view why);

  Loop& loop_;
  Log& log_;
  Endpoint server_;
  std::string service_;
  decide::PollSchedule schedule_;
  decide::DirectoryPath path_;
  decide::ListOrder order_;
  std::mt19937_64 random_;
  Told told_;
  // Both are held from the start on, so that a fresh one takes the place of one of ours: clients and engines
  // can't have its descriptor.
  std::array<Socket, 2> sockets_{Socket(*this), Socket(*this)};
  std::size_t present_ = 0;
  bool no_socket_ = false;  // an operator knows that none was had
  // Questions lately asked: a late answer to one of them still tells something, unless a newer one was there
  // first.
  std::vector<Question> asked_;
  std::optional<Time> first_unheard_;
  Time told_since_;
  bool answered_ = false;
  TimerKey timer_{};
};

}  // namespace rookproxy
