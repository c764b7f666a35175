/// @file
/// One-way delivery of internal messages between nodes.
#pragma once

#include "kernel/message.h"
#include "kernel/node_id.h"

#include <functional>

namespace shedshed {

/// Sends and receives internal messages. Delivery is best effort: a message may be lost, late or
/// repeated; cores number their messages and retry those that matter.
class Transport {
 public:
  using Receiver = std::function<void(const NodeId& from, Message message)>;

  virtual ~Transport() = default;

  /// Starts receiving. @p receiver may be called from any thread of the transport.
  virtual Status start(Receiver receiver) = 0;

  /// Queues @p message for @p to without blocking; drops it when the queue to that node is full.
  /// Implementations may restrict the calling thread.
  virtual void send(const NodeId& to, const Message& message) = 0;

  /// Stops receiving; the receiver is not called after this returns.
  virtual void stop() = 0;
};

}  // namespace shedshed
