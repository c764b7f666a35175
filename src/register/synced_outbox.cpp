#include "register/synced_outbox.h"

namespace shedshed {

void SyncedOutbox::sendEncoded(const NodeId& to, Message message) {
  if (failed_) {
    return;
  }
  if (synced_ == requested_ || !waitForSync_) {
    context_.send(to, std::move(message));
    return;
  }
  pending_.push_back({requested_, to, std::move(message)});
}

void SyncedOutbox::persisted(PersistId id, const Status& status) {
  if (!status) {
    failed_ = true;
    pending_.clear();
    context_.counters().add("register_sync_failures_total");
    // It is unknown which records are synced, so the acceptor sends no replies until a restart.
    context_.logEvent(
        TraceEvent("AcceptorSyncFailed", Severity::Error).field("error", status.error()));
    return;
  }
  synced_ = id;
  while (!pending_.empty() && pending_.front().after <= synced_) {
    PendingMessage next = std::move(pending_.front());
    pending_.pop_front();
    context_.send(next.to, std::move(next.message));
  }
}

}  // namespace shedshed
