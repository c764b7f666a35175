/// @file
/// An immutable table that is swapped whole; readers take no lock (read-copy-update).
#pragma once

#include <memory>
#include <mutex>
#include <urcu-bp.h>

namespace shedshed {

/// Holds the current version of an immutable `T`.
///
/// Threading: any thread may read; `publish` may be called by any thread and waits for readers of
/// the old version, so it must not be called inside `read`.
template <class T>
class Snapshot {
 public:
  explicit Snapshot(std::shared_ptr<const T> initial)
      : holder_(new std::shared_ptr<const T>(std::move(initial))) {}
  ~Snapshot() { delete holder_; }
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  /// Returns the current version. Never null unless null was published.
  std::shared_ptr<const T> read() const {
    urcu_bp_read_lock();
    std::shared_ptr<const T> current = *rcu_dereference(holder_);
    urcu_bp_read_unlock();
    return current;
  }

  /// Replaces the current version.
  void publish(std::shared_ptr<const T> next) {
    auto* replacement = new std::shared_ptr<const T>(std::move(next));
    const std::lock_guard<std::mutex> lock(writers_);
    auto* previous = rcu_xchg_pointer(&holder_, replacement);
    urcu_bp_synchronize_rcu();
    delete previous;
  }

 private:
  std::shared_ptr<const T>* holder_;
  std::mutex writers_;
};

}  // namespace shedshed
