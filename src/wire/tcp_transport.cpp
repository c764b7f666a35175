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

constexpr std::size_t kLengthBytes = 4;
/// Bytes asked of an incoming link at once.
constexpr std::size_t kReadBytes = 64U << 10U;

void appendFrame(std::string& buffer, const std::string& frame) {
  const auto length = static_cast<std::uint32_t>(frame.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    buffer.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU));
  }
  buffer += frame;
}

std::uint32_t frameLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  return length;
}

}  // namespace

/// A link that a peer opened; reads frames until it breaks.
class TcpTransport::Incoming : public std::enable_shared_from_this<TcpTransport::Incoming> {
 public:
  Incoming(TcpTransport& owner, net::ip::tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)) {}

  void start() {
    setKeepAlive(socket_, owner_.knobs_.keepAliveSeconds, owner_.knobs_.keepAliveProbes);
    error_code failed;
    socket_.non_blocking(true, failed);
    if (!failed) {
      waitForBytes();
    }
  }

 private:
  void waitForBytes() {
    socket_.async_wait(net::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& failed) {
                         if (!failed && !self->owner_.stopped_ && self->read()) {
                           self->waitForBytes();
                         }
                       });
  }

  /// Reads once and hands all whole frames on. False if the link must be closed.
  bool read() {
    error_code failed;
    const std::size_t size = socket_.read_some(net::buffer(owner_.readBuffer_), failed);
    if (failed) {
      return failed == net::error::would_block || failed == net::error::try_again;
    }
    const std::string_view bytes(owner_.readBuffer_.data(), size);
    if (partial_.empty()) {
      return takeFrames(bytes);
    }
    std::string joined;
    joined.swap(partial_);
    joined += bytes;
    return takeFrames(joined);
  }

  /// Hands all whole frames on and keeps the rest. False if a frame is too long.
  bool takeFrames(std::string_view rest) {
    while (rest.size() >= kLengthBytes) {
      const std::uint32_t length = frameLength(rest);
      if (length > owner_.knobs_.maxFrameBytes) {
        owner_.counters_.add("wire_refused_frames_total");
        return false;
      }
      if (rest.size() < kLengthBytes + length) {
        break;
      }
      owner_.received(rest.substr(kLengthBytes, length));
      rest.remove_prefix(kLengthBytes + length);
    }
    partial_ = rest;
    return true;
  }

  TcpTransport& owner_;
  net::ip::tcp::socket socket_;
  std::string partial_;  ///< The beginning of a frame whose end has not arrived.
};

/// The link to one peer: connects when there is something to send.
class TcpTransport::Outgoing : public std::enable_shared_from_this<TcpTransport::Outgoing> {
 public:
  Outgoing(TcpTransport& owner, const NodeId& peer)
      : owner_(owner), socket_(owner.loop_), timer_(owner.loop_),
        endpoint_(parseEndpoint(peer.address)) {}

  /// False if the message was dropped.
  bool send(const std::string& frame) {
    if (!endpoint_ || waiting_.size() + frame.size() > owner_.knobs_.sendQueueBytes) {
      return false;
    }
    appendFrame(waiting_, frame);
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
  enum class State { Closed, Connecting, Open, Pausing, Stopped };

  void connect() {
    state_ = State::Connecting;
    const std::uint64_t round = ++round_;
    socket_ = net::ip::tcp::socket(owner_.loop_);
    socket_.async_connect(endpoint_.value(),
                          [self = shared_from_this(), round](const error_code& failed) {
                            self->connected(round, failed);
                          });
    timer_.expires_after(owner_.knobs_.connectTimeout);
    timer_.async_wait([self = shared_from_this(), round](const error_code& cancelled) {
      if (!cancelled && self->round_ == round && self->state_ == State::Connecting) {
        self->fail();
      }
    });
  }

  void connected(std::uint64_t round, const error_code& failed) {
    if (round != round_ || state_ != State::Connecting) {
      return;
    }
    timer_.cancel();
    if (failed) {
      fail();
      return;
    }
    error_code ignored;
    socket_.set_option(net::ip::tcp::no_delay(true), ignored);
    setUnackedTimeout(socket_, owner_.knobs_.unackedTimeout);
    setKeepAlive(socket_, owner_.knobs_.keepAliveSeconds, owner_.knobs_.keepAliveProbes);
    state_ = State::Open;
    watch(round);
    write();
  }

  /// A peer never writes on this link: readable means closed.
  void watch(std::uint64_t round) {
    socket_.async_wait(net::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), round](const error_code&) {
                         if (self->round_ == round && self->state_ == State::Open) {
                           self->fail();
                         }
                       });
  }

  /// One write carries all that one turn of the event loop sends to this peer.
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
    if (!writing_.empty() || waiting_.empty()) {
      return;
    }
    writing_.swap(waiting_);
    const std::uint64_t round = round_;
    net::async_write(socket_, net::buffer(writing_),
                     [self = shared_from_this(), round](const error_code& failed, std::size_t) {
                       self->written(round, failed);
                     });
  }

  void written(std::uint64_t round, const error_code& failed) {
    if (round != round_ || state_ != State::Open) {
      return;
    }
    if (failed) {
      fail();
      return;
    }
    writing_.clear();
    write();
  }

  /// Drops what waits: an old message is worth less than a free link.
  void fail() {
    owner_.counters_.add("wire_broken_links_total");
    ++round_;
    error_code ignored;
    socket_.close(ignored);
    waiting_.clear();
    writing_.clear();
    state_ = State::Pausing;
    timer_.expires_after(owner_.knobs_.reconnectPause);
    timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
      if (cancelled || self->state_ != State::Pausing) {
        return;
      }
      self->state_ = State::Closed;
      if (!self->waiting_.empty()) {
        self->connect();
      }
    });
  }

  TcpTransport& owner_;
  net::ip::tcp::socket socket_;
  net::steady_timer timer_;
  const Result<net::ip::tcp::endpoint> endpoint_;
  State state_ = State::Closed;
  std::uint64_t round_ = 0;
  bool writeScheduled_ = false;
  std::string waiting_;
  std::string writing_;
};

TcpTransport::TcpTransport(net::io_context& loop, NodeId self, const FleetKey& key,
                           Counters& counters, TcpTransportKnobs knobs)
    : loop_(loop), self_(std::move(self)), key_(key), counters_(counters), knobs_(knobs),
      readBuffer_(kReadBytes) {}

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
  acceptor_->async_accept([this](const error_code& failed, net::ip::tcp::socket socket) {
    if (stopped_ || failed == net::error::operation_aborted) {
      return;
    }
    if (!failed) {
      std::make_shared<Incoming>(*this, std::move(socket))->start();
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
  for (const auto& entry : outgoing_) {
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
  std::shared_ptr<Outgoing>& link = outgoing_[to];
  if (!link) {
    link = std::make_shared<Outgoing>(*this, to);
  }
  if (!link->send(frame)) {
    counters_.add("wire_dropped_messages_total");
  }
}

void TcpTransport::received(std::string_view bytes) {
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
