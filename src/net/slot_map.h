// A map of values by generated keys, with slots that are reused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace rookproxy {

// Identifies a slot and the generation of its value, with the generation in the upper bits and the slot's
// index in the lower bits. 0 is not a valid key. Generations are counted over the whole map, so keys sort by
// age.
using SlotKey = std::uint64_t;

// Stores values in slots. The key of a removed value, for example of a stale event or a late response, never
// finds a later value in the same slot. Not thread safe.
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
  // Returns the value of the key, or null. The pointer is valid until the next insert().
  [[nodiscard]] T* find(SlotKey key) {
    const std::uint64_t index = key & kSlotIndexMask;
    const bool is_present = index < slots_.size() && slots_[index].key == key && slots_[index].value;
    return is_present ? &*slots_[index].value : nullptr;
  }
  [[nodiscard]] const T* find(SlotKey key) const { return const_cast<SlotMap*>(this)->find(key); }
  // Removes the value and returns it, so that it is destroyed after the map is consistent again.
  std::optional<T> take(SlotKey key) {
    if (!find(key)) return std::nullopt;
    const std::uint64_t index = key & kSlotIndexMask;
    slots_[index].key = 0;
    free_slots_.push_back(index);
    return std::exchange(slots_[index].value, std::nullopt);
  }
  [[nodiscard]] std::size_t size() const { return slots_.size() - free_slots_.size(); }
  // Returns the keys in use, in the order of their slots.
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
