#include "wire/nng_transport.h"

#include "wire/bounded_close.h"

#include <atomic>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <utility>

namespace shedshed {
namespace {

std::string nodeUrl(const NodeId& node) {
  return "tcp://" + node.address;
}

/// Closing all sockets takes a few milliseconds, unless the library blocks forever.
constexpr std::chrono::milliseconds kCloseTimeout{1000};

}  // namespace

/// A PUSH socket that dials one peer and reconnects automatically.
class NngTransport::Peer {
 public:
  Peer(const NodeId& node, const NngTransportOptions& options) {
    if (nng_push0_open(&socket_) != 0) {
      return;
    }
    open_ = true;
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, options.sendQueueMessages);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT,
                      static_cast<nng_duration>(options.reconnectDelayMin.count()));
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT,
                      static_cast<nng_duration>(options.reconnectDelayMax.count()));
    nng_dial(socket_, nodeUrl(node).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  ~Peer() {
    if (open_) {
      nng_close(socket_);
    }
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  /// Returns false if the queue is full or the socket could not be opened.
  bool send(const std::string& bytes) {
    if (!open_) {
      return false;
    }
    // nng_send copies the bytes unless NNG_FLAG_ALLOC is given.
    return nng_send(socket_, const_cast<char*>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK) == 0;
  }

  std::chrono::steady_clock::time_point lastUse{};

 private:
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  bool open_ = false;
};

/// The PULL socket and its receive loop.
class NngTransport::Listener {
 public:
  explicit Listener(NngTransport& owner) : owner_(owner) {}
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  Status open() {
    if (nng_pull0_open(&socket_) != 0) {
      return makeError(ErrorCode::Internal, "cannot open a pull socket");
    }
    open_ = true;
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, owner_.options_.maxFrameBytes);
    const std::string url = nodeUrl(owner_.self_);
    const int error = nng_listen(socket_, url.c_str(), nullptr, 0);
    if (error != 0) {
      return makeError(ErrorCode::InvalidArgument, url + ": " + nng_strerror(error));
    }
    if (nng_aio_alloc(&aio_, &Listener::onReceive, this) != 0) {
      return makeError(ErrorCode::Internal, "cannot allocate a receive operation");
    }
    nng_recv_aio(socket_, aio_);
    return okStatus();
  }

  void close() {
    if (!open_) {
      return;
    }
    open_ = false;
    stopReceiving();
    nng_close(socket_);
    if (aio_ != nullptr) {
      nng_aio_free(aio_);
      aio_ = nullptr;
    }
  }

  /// The owner is not called after this returns.
  void stopReceiving() {
    closing_ = true;
    if (aio_ != nullptr) {
      nng_aio_stop(aio_);
    }
  }

 private:
  static void onReceive(void* argument) { static_cast<Listener*>(argument)->onReceiveComplete(); }

  void onReceiveComplete() {
    if (nng_aio_result(aio_) != 0) {
      if (!closing_) {
        nng_recv_aio(socket_, aio_);
      }
      return;
    }
    nng_msg* message = nng_aio_get_msg(aio_);
    owner_.handleFrame(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    nng_recv_aio(socket_, aio_);
  }

  NngTransport& owner_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
  bool open_ = false;
  std::atomic<bool> closing_{false};
};

NngTransport::NngTransport(NodeId self, const FleetKey& key, Counters& counters,
                           NngTransportOptions options)
    : self_(std::move(self)), key_(key), counters_(counters), options_(options) {}

NngTransport::~NngTransport() {
  stop();
}

Status NngTransport::start(Receiver receiver) {
  receiver_ = std::move(receiver);
  listener_ = std::make_unique<Listener>(*this);
  return listener_->open();
}

void NngTransport::stop() {
  if (listener_) {
    listener_->stopReceiving();
  }
  const std::shared_ptr<Listener> listener = std::move(listener_);
  std::map<NodeId, std::shared_ptr<Peer>> peers;
  {
    const std::lock_guard<std::mutex> lock(peersMutex_);
    peers.swap(peers_);
  }
  // Once one close blocks forever in the library, all others do too, so one timeout covers them
  // all.
  const auto sockets = std::make_shared<std::pair<std::shared_ptr<Listener>, decltype(peers)>>(
      listener, std::move(peers));
  const bool closed = closeWithin(kCloseTimeout, [sockets] {
    if (sockets->first) {
      sockets->first->close();
    }
    sockets->second.clear();
  });
  if (!closed) {
    counters_.add("wire_sockets_not_closed_total");
  }
}

void NngTransport::send(const NodeId& to, const Message& message) {
  if (to.empty()) {
    return;
  }
  const std::string bytes = encodeFrame(key_, Frame{self_, to, message});
  counters_.add("wire_sent_messages_total");
  counters_.add("wire_sent_bytes_total", static_cast<double>(bytes.size()));
  if (!peerFor(to)->send(bytes)) {
    counters_.add("wire_dropped_messages_total");
  }
}

std::shared_ptr<NngTransport::Peer> NngTransport::peerFor(const NodeId& to) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(peersMutex_);
  closeIdlePeers(now);
  std::shared_ptr<Peer>& peer = peers_[to];
  if (!peer) {
    peer = std::make_shared<Peer>(to, options_);
  }
  peer->lastUse = now;
  return peer;
}

void NngTransport::closeIdlePeers(std::chrono::steady_clock::time_point now) {
  if (now < nextIdleCheck_) {
    return;
  }
  nextIdleCheck_ = now + options_.idleTimeout / 4;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool idle = now - it->second->lastUse > options_.idleTimeout;
    it = idle ? peers_.erase(it) : std::next(it);
  }
}

void NngTransport::handleFrame(const char* bytes, std::size_t size) {
  Result<Frame> frame = decodeFrame(key_, std::string_view(bytes, size));
  if (!frame) {
    counters_.add("wire_refused_frames_total");
    return;
  }
  Frame& accepted = frame.value();
  if (accepted.to != self_) {
    counters_.add("wire_misdirected_frames_total");
    return;
  }
  counters_.add("wire_received_messages_total");
  counters_.add("wire_received_bytes_total", static_cast<double>(size));
  receiver_(accepted.from, std::move(accepted.message));
}

}  // namespace shedshed
