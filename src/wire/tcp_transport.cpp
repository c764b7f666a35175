#include "wire/tcp_transport.h"

#include "wire/listening.h"
#include "wire/tcp_endpoint.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

namespace shedshed {
namespace {

namespace net = boost::asio;
using boost::system::error_code;

constexpr std::size_t kFrameLengthBytes = 4;
/// Maximum size of one read from an incoming connection.
constexpr std::size_t kReadBufferBytes = 64U << 10U;

void appendFrame(std::string& buffer, const std::string& frame) {
  const auto length = static_cast<std::uint32_t>(frame.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    buffer.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU));
  }
  buffer += frame;
}

std::uint32_t decodeFrameLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t index = 0; index < kFrameLengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

}  // namespace

/// A connection that a peer opened; reads frames until it is closed.
class TcpTransport::IncomingConnection
    : public std::enable_shared_from_this<TcpTransport::IncomingConnection> {
 public:
  IncomingConnection(TcpTransport& owner, net::ip::tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)) {}

  void start() {
    setKeepAlive(socket_, owner_.options_.keepAliveSeconds, owner_.options_.keepAliveProbes);
    error_code error;
    socket_.non_blocking(true, error);
    if (!error) {
      waitForBytes();
    }
  }

 private:
  void waitForBytes() {
    socket_.async_wait(net::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         if (!error && !self->owner_.stopped_ && self->read()) {
                           self->waitForBytes();
                         }
                       });
  }

  /// Reads once and handles all complete frames. Returns false if the connection must be closed.
  bool read() {
    error_code error;
    const std::size_t size = socket_.read_some(net::buffer(owner_.readBuffer_), error);
    if (error) {
      return error == net::error::would_block || error == net::error::try_again;
    }
    const std::string_view bytes(owner_.readBuffer_.data(), size);
    if (partialFrame_.empty()) {
      return handleFrames(bytes);
    }
    std::string joined;
    joined.swap(partialFrame_);
    joined += bytes;
    return handleFrames(joined);
  }

  /// Handles all complete frames and keeps the rest. Returns false if a frame is too long.
  bool handleFrames(std::string_view rest) {
    while (rest.size() >= kFrameLengthBytes) {
      const std::uint32_t length = decodeFrameLength(rest);
      if (length > owner_.options_.maxFrameBytes) {
        owner_.counters_.add("wire_refused_frames_total");
        return false;
      }
      if (rest.size() < kFrameLengthBytes + length) {
        break;
      }
      owner_.handleFrame(rest.substr(kFrameLengthBytes, length));
      rest.remove_prefix(kFrameLengthBytes + length);
    }
    partialFrame_ = rest;
    return true;
  }

  TcpTransport& owner_;
  net::ip::tcp::socket socket_;
  std::string partialFrame_;  ///< The start of a frame whose end has not arrived.
};

/// The connection to one peer, opened when there is something to send.
class TcpTransport::OutgoingConnection
    : public std::enable_shared_from_this<TcpTransport::OutgoingConnection> {
 public:
  OutgoingConnection(TcpTransport& owner, const NodeId& peer)
      : owner_(owner), socket_(owner.loop_), timer_(owner.loop_),
        endpoint_(parseEndpoint(peer.address)) {}

  /// Returns false if the message was dropped.
  bool send(const std::string& frame) {
    if (!endpoint_ || queuedBytes_.size() + frame.size() > owner_.options_.sendQueueBytes) {
      return false;
    }
    appendFrame(queuedBytes_, frame);
    if (state_ == State::Closed) {
      connect();
    } else if (state_ == State::Open && !writeScheduled_) {
      scheduleWrite();
    }
    return true;
  }

  void close() {
    state_ = State::Stopped;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  enum class State { Closed, Connecting, Open, Backoff, Stopped };

  void connect() {
    state_ = State::Connecting;
    const std::uint64_t attempt = ++attempt_;
    socket_ = net::ip::tcp::socket(owner_.loop_);
    socket_.async_connect(endpoint_.value(),
                          [self = shared_from_this(), attempt](const error_code& error) {
                            self->onConnected(attempt, error);
                          });
    timer_.expires_after(owner_.options_.connectTimeout);
    timer_.async_wait([self = shared_from_this(), attempt](const error_code& cancelled) {
      if (!cancelled && self->attempt_ == attempt && self->state_ == State::Connecting) {
        self->disconnect();
      }
    });
  }

  void onConnected(std::uint64_t attempt, const error_code& error) {
    if (attempt != attempt_ || state_ != State::Connecting) {
      return;
    }
    timer_.cancel();
    if (error) {
      disconnect();
      return;
    }
    error_code ignored;
    socket_.set_option(net::ip::tcp::no_delay(true), ignored);
    setUnackedTimeout(socket_, owner_.options_.unackedTimeout);
    setKeepAlive(socket_, owner_.options_.keepAliveSeconds, owner_.options_.keepAliveProbes);
    state_ = State::Open;
    waitForDisconnect(attempt);
    write();
  }

  /// A peer never writes on this connection: readable means closed.
  void waitForDisconnect(std::uint64_t attempt) {
    socket_.async_wait(net::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), attempt](const error_code&) {
                         if (self->attempt_ == attempt && self->state_ == State::Open) {
                           self->disconnect();
                         }
                       });
  }

  /// Sends all messages that one iteration of the event loop queues for this peer in one write.
  void scheduleWrite() {
    writeScheduled_ = true;
    net::post(owner_.loop_, [self = shared_from_this()] {
      self->writeScheduled_ = false;
      if (self->state_ == State::Open) {
        self->write();
      }
    });
  }

  void write() {
    if (!bytesInFlight_.empty() || queuedBytes_.empty()) {
      return;
    }
    bytesInFlight_.swap(queuedBytes_);
    const std::uint64_t attempt = attempt_;
    net::async_write(socket_, net::buffer(bytesInFlight_),
                     [self = shared_from_this(), attempt](const error_code& error, std::size_t) {
                       self->onWritten(attempt, error);
                     });
  }

  void onWritten(std::uint64_t attempt, const error_code& error) {
    if (attempt != attempt_ || state_ != State::Open) {
      return;
    }
    if (error) {
      disconnect();
      return;
    }
    bytesInFlight_.clear();
    write();
  }

  /// Drops queued messages too: stale messages would only delay newer ones on the next connection.
  void disconnect() {
    owner_.counters_.add("wire_broken_links_total");
    ++attempt_;
    error_code ignored;
    socket_.close(ignored);
    queuedBytes_.clear();
    bytesInFlight_.clear();
    state_ = State::Backoff;
    timer_.expires_after(owner_.options_.reconnectDelay);
    timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
      if (cancelled || self->state_ != State::Backoff) {
        return;
      }
      self->state_ = State::Closed;
      if (!self->queuedBytes_.empty()) {
        self->connect();
      }
    });
  }

  TcpTransport& owner_;
  net::ip::tcp::socket socket_;
  net::steady_timer timer_;
  const Result<net::ip::tcp::endpoint> endpoint_;
  State state_ = State::Closed;
  std::uint64_t attempt_ = 0;
  bool writeScheduled_ = false;
  std::string queuedBytes_;
  std::string bytesInFlight_;
};

TcpTransport::TcpTransport(net::io_context& loop, NodeId self, const FleetKey& key,
                           Counters& counters, TcpTransportOptions options)
    : loop_(loop), self_(std::move(self)), key_(key), counters_(counters), options_(options),
      readBuffer_(kReadBufferBytes) {}

TcpTransport::~TcpTransport() {
  stop();
}

Status TcpTransport::start(Receiver receiver) {
  receiver_ = std::move(receiver);
  acceptor_ = std::make_unique<net::ip::tcp::acceptor>(loop_);
  const Status listening = listenOn(*acceptor_, self_.address);
  if (!listening) {
    return listening;
  }
  accept();
  return okStatus();
}

void TcpTransport::accept() {
  acceptor_->async_accept([this](const error_code& error, net::ip::tcp::socket socket) {
    if (stopped_ || error == net::error::operation_aborted) {
      return;
    }
    if (!error) {
      std::make_shared<IncomingConnection>(*this, std::move(socket))->start();
    }
    accept();
  });
}

void TcpTransport::stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  error_code ignored;
  if (acceptor_) {
    acceptor_->close(ignored);
  }
  for (const auto& entry : outgoingConnections_) {
    entry.second->close();
  }
}

void TcpTransport::send(const NodeId& to, const Message& message) {
  if (to.empty() || stopped_) {
    return;
  }
  const std::string frame = encodeFrame(key_, Frame{self_, to, message});
  counters_.add("wire_sent_messages_total");
  counters_.add("wire_sent_bytes_total", static_cast<double>(frame.size()));
  std::shared_ptr<OutgoingConnection>& connection = outgoingConnections_[to];
  if (!connection) {
    connection = std::make_shared<OutgoingConnection>(*this, to);
  }
  if (!connection->send(frame)) {
    counters_.add("wire_dropped_messages_total");
  }
}

void TcpTransport::handleFrame(std::string_view bytes) {
  Result<Frame> frame = decodeFrame(key_, bytes);
  if (!frame) {
    counters_.add("wire_refused_frames_total");
    return;
  }
  if (frame.value().to != self_) {
    counters_.add("wire_misdirected_frames_total");
    return;
  }
  counters_.add("wire_received_messages_total");
  counters_.add("wire_received_bytes_total", static_cast<double>(bytes.size()));
  receiver_(frame.value().from, std::move(frame.value().message));
}

}  // namespace shedshed
