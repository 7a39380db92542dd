// A map of values by generated keys, in numbered slots that are reused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace rookproxy {

// Names a slot and the generation of the value in it: the generation in the upper bits, the slot's index in
// the lower ones. 0 is no key. Generations are counted over the whole map, so keys also sort by age.
using SlotKey = std::uint64_t;

// Keeps values in slots. A key that outlives its value (of a stale event or a late response) finds nothing,
// never the next value in that slot. Not thread safe.
template <class T>
class SlotMap {
 public:
  // Stores the value and returns its key.
  SlotKey insert(T value) {
    std::uint64_t index = slots_.size();
    if (free_slots_.empty()) {
      slots_.emplace_back();
    } else {
      index = free_slots_.back();
      free_slots_.pop_back();
    }
    slots_[index].key = ++last_generation_ << kSlotIndexBits | index;
    slots_[index].value.emplace(std::move(value));
    return slots_[index].key;
  }
  // The value of that key, or null. Valid until the next insert().
  [[nodiscard]] T* find(SlotKey key) {
    const std::uint64_t index = key & kSlotIndexMask;
    const bool is_present = index < slots_.size() && slots_[index].key == key && slots_[index].value;
    return is_present ? &*slots_[index].value : nullptr;
  }
  [[nodiscard]] const T* find(SlotKey key) const { return const_cast<SlotMap*>(this)->find(key); }
  // Removes the value and returns it, so that it is destroyed only once the map is consistent again.
  std::optional<T> take(SlotKey key) {
    if (!find(key)) return std::nullopt;
    const std::uint64_t index = key & kSlotIndexMask;
    slots_[index].key = 0;
    free_slots_.push_back(index);
    return std::exchange(slots_[index].value, std::nullopt);
  }
  [[nodiscard]] std::size_t size() const { return slots_.size() - free_slots_.size(); }
  // The keys in use, in the order of their slots.
  [[nodiscard]] std::vector<SlotKey> keys() const {
    std::vector<SlotKey> keys;
    for (const auto& slot : slots_) {
      if (slot.key != 0) keys.push_back(slot.key);
    }
    return keys;
  }

 private:
  static constexpr int kSlotIndexBits = 20;
  static constexpr std::uint64_t kSlotIndexMask = (1u << kSlotIndexBits) - 1;

  // A free slot has no key and no value.
  struct Slot {
    SlotKey key = 0;
    std::optional<T> value;
  };

  std::vector<Slot> slots_;
  std::vector<std::uint64_t> free_slots_;
  std::uint64_t last_generation_ = 0;
};

}  // namespace rookproxy
