/// @file
/// RAII owner of the slots of one call.
#pragma once

#include "serving/core_executor.h"
#include "slots/slot_client.h"

#include <utility>

namespace shedshed {

/// Releases a slot grant exactly once, by `release` or on destruction.
class SlotLease {
 public:
  SlotLease() = default;
  SlotLease(CoreExecutor& core, SlotClient& slots, std::uint64_t grantId)
      : core_(&core), slots_(&slots), grantId_(grantId) {}
  SlotLease(SlotLease&& other) noexcept
      : core_(std::exchange(other.core_, nullptr)), slots_(other.slots_), grantId_(other.grantId_) {
  }
  SlotLease& operator=(SlotLease&& other) noexcept {
    if (this != &other) {
      release();
      core_ = std::exchange(other.core_, nullptr);
      slots_ = other.slots_;
      grantId_ = other.grantId_;
    }
    return *this;
  }
  ~SlotLease() { release(); }

  void release() {
    CoreExecutor* core = std::exchange(core_, nullptr);
    if (core != nullptr) {
      core->post([slots = slots_, grantId = grantId_]() { slots->release(grantId); });
    }
  }

  bool held() const { return core_ != nullptr; }

 private:
  CoreExecutor* core_ = nullptr;  ///< Null if no grant is held.
  SlotClient* slots_ = nullptr;
  std::uint64_t grantId_ = 0;
};

}  // namespace shedshed
