// Who the engines are: the list known at the start, then the directory's, asked often.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/interfaces.h"
#include "decide/poll_schedule.h"
#include "directory/dns.h"
#include "log/log.h"
#include "net/loop.h"

namespace rookproxy {

class DnsDirectory final : private Watcher {
 public:
  using Told = std::function<void(const std::vector<Member>&)>;
  // `serial` is that of the list known at the start; only later ones are told.
  DnsDirectory(Loop& loop, Log& log, const Endpoint& server, std::string service, Duration poll,
               std::uint64_t serial, std::uint64_t seed, Told told);
  ~DnsDirectory();
  // Asks there from now on, and at once. The list and its serial go on: it is the same directory elsewhere.
  bool has_answered() const { return answered_; }
  void move_to(const Endpoint& server, std::string service, Duration poll);

 private:
  void hang_up();
  void ask();
  void on_ready(std::uint32_t events) override;
  void take(std::string_view message);

  Loop& loop_;
  Log& log_;
  Endpoint server_;
  std::string service_;
  decide::PollSchedule schedule_;
  std::uint32_t serial_;
  std::mt19937_64 random_;
  Told told_;
  Fd socket_;
  SlotKey key_ = 0;
  // Questions lately asked: a late answer to one of them still tells something, unless a newer one was there
  // first.
  std::vector<std::uint16_t> asked_;
  Time heard_at_;
  bool silent_ = false, answered_ = false;
  TimerKey timer_{};
};

}  // namespace rookproxy
