#include "routing/ordered_keys.h"

#include <algorithm>

namespace rookproxy::routing {

bool OrderedKeys::is_ordered(const Request& request) const {
  return state_.settings_of(request).ordered && request.key != 0;
}

void OrderedKeys::enter(Request& request) {
  if (is_ordered(request)) keys_[request.key].waiting.push_back(&request);
}

bool OrderedKeys::is_first(const Request& request) const {
  const auto found = keys_.find(request.key);
  if (found == keys_.end()) return false;
  const auto& waiting = found->second.waiting;
  return !waiting.empty() && waiting.front() == &request;
}

bool OrderedKeys::in_cooldown(const Request& request) const {
  const auto found = keys_.find(request.key);
  return found != keys_.end() && state_.now < found->second.cooldown_until;
}

void OrderedKeys::start_cooldown(const Request& request) {
  const auto& cooldown = state_.settings.ordered_key_cooldown;
  if (cooldown && is_ordered(request)) keys_[request.key].cooldown_until = state_.now + *cooldown;
}

void OrderedKeys::remove_if_done(Request& request) {
  if (!is_ordered(request) || !request.completed || request.attempts_in_flight > 0) return;
  auto& waiting = keys_[request.key].waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), &request), waiting.end());
}

void OrderedKeys::drop_idle() {
  std::erase_if(keys_, [this](const auto& entry) {
    return entry.second.waiting.empty() && entry.second.cooldown_until <= state_.now;
  });
}

}  // namespace rookproxy::routing
