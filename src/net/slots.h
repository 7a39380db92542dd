// A table of numbered slots. A key names a slot and the tenancy that lived in it: a key kept too long (a
// stale event, a late answer) finds nothing, never the slot's next tenant.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace rookproxy {

// Tenancies are counted over the whole table, so keys also sort by age.
using SlotKey = std::uint64_t;  // tenancy above, slot number below; 0 is no key

template <class T>
class SlotMap {
 public:
  SlotKey insert(T value) {
    std::uint64_t at = slots_.size();
    if (free_slots_.empty()) {
      slots_.emplace_back();
    } else {
      at = free_slots_.back();
      free_slots_.pop_back();
    }
    slots_[at].key = ++last_generation_ << kSlotIndexBits | at;
    slots_[at].value.emplace(std::move(value));
    return slots_[at].key;
  }
  T* find(SlotKey key) {
    const std::uint64_t at = key & kSlotIndexMask;
    return at < slots_.size() && slots_[at].key == key && slots_[at].value ? &*slots_[at].value : nullptr;
  }
  const T* find(SlotKey key) const { return const_cast<SlotMap*>(this)->find(key); }
  // Takes the value out, so that it is destroyed only when the table is whole again.
  std::optional<T> take(SlotKey key) {
    if (!find(key)) return std::nullopt;
    const std::uint64_t at = key & kSlotIndexMask;
    slots_[at].key = 0;
    free_slots_.push_back(at);
    return std::exchange(slots_[at].value, std::nullopt);
  }
  std::size_t size() const { return slots_.size() - free_slots_.size(); }
  std::vector<SlotKey> keys() const {
    std::vector<SlotKey> keys;
    for (const auto& slot : slots_) {
      if (slot.key != 0) keys.push_back(slot.key);
    }
    return keys;
  }

 private:
  static constexpr int kSlotIndexBits = 20;
  static constexpr std::uint64_t kSlotIndexMask = (1u << kSlotIndexBits) - 1;
  struct Slot {
    SlotKey key = 0;
    std::optional<T> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint64_t> free_slots_;
  std::uint64_t last_generation_ = 0;
};

}  // namespace rookproxy
