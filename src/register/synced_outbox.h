/// @file
/// Delays messages until the records that they depend on are synced.
#pragma once

#include "kernel/core.h"

#include <deque>
#include <utility>
#include <vector>

namespace shedshed {

/// Persists records and sends messages in the order of the calls. A message leaves once every
/// record change that was requested before it is synced, so no node learns of a promise or an
/// accepted state that a crash could revert. After a failed sync no message is sent.
class SyncedOutbox {
 public:
  /// @param waitForSync false only in mutation tests
  SyncedOutbox(CoreContext& context, bool waitForSync)
      : context_(context), waitForSync_(waitForSync) {}

  /// Requests that @p mutations be synced as one step.
  void persist(std::vector<Mutation> mutations) {
    context_.persist(++requested_, std::move(mutations));
  }

  /// Sends @p message after everything persisted so far is synced.
  template <class T>
  void send(const NodeId& to, const T& message) {
    sendEncoded(to, encodeMessage(message));
  }

  /// To be called by the core for each finished persist request.
  void persisted(PersistId id, const Status& status);

 private:
  struct PendingMessage {
    PersistId after;
    NodeId to;
    Message message;
  };
  void sendEncoded(const NodeId& to, Message message);

  CoreContext& context_;
  const bool waitForSync_;
  PersistId requested_ = 0;
  PersistId synced_ = 0;
  bool failed_ = false;
  std::deque<PendingMessage> pending_;
};

}  // namespace shedshed
