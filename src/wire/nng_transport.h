/// @file
/// Internal messages over nng: one PULL listener per node, one PUSH dialer per peer in use.
#pragma once

#include "kernel/core.h"
#include "wire/frame.h"
#include "wire/transport.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>

namespace shedshed {

/// Options of `NngTransport`.
struct NngTransportOptions {
  int sendQueueMessages = 256;                        ///< Per peer; further messages are dropped.
  std::size_t maxFrameBytes = 16U << 20U;             ///< Larger frames close the connection.
  std::chrono::milliseconds reconnectDelayMin{50};    ///< First delay after a lost connection.
  std::chrono::milliseconds reconnectDelayMax{1000};  ///< Longest delay between attempts.
  std::chrono::seconds idleTimeout{120};              ///< Dialers unused for longer are closed.
};

/// Uses PUSH/PULL for one-way messages; REQ/REP would resend on its own, but the cores must control
/// retries.
class NngTransport : public Transport {
 public:
  /// Does not own @p counters, which must be thread-safe.
  NngTransport(NodeId self, const FleetKey& key, Counters& counters,
               NngTransportOptions options = {});
  ~NngTransport() override;

  /// Fails with `InvalidArgument` when the address cannot be bound.
  Status start(Receiver receiver) override;
  void send(const NodeId& to, const Message& message) override;
  void stop() override;

 private:
  class Listener;
  class Peer;

  std::shared_ptr<Peer> peerFor(const NodeId& to);
  void closeIdlePeers(std::chrono::steady_clock::time_point now);
  void handleFrame(const char* bytes, std::size_t size);

  const NodeId self_;
  const FleetKey key_;
  Counters& counters_;
  const NngTransportOptions options_;
  Receiver receiver_;
  std::unique_ptr<Listener> listener_;
  std::mutex peersMutex_;
  std::map<NodeId, std::shared_ptr<Peer>> peers_;
  std::chrono::steady_clock::time_point nextIdleCheck_{};
};

}  // namespace shedshed
