#include "serving/callers_server.h"

#include "serving/call_filters.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdlib>

namespace shedshed {
namespace {

namespace net = boost::asio;
using boost::system::error_code;

/// Delay before the next accept after a failed one, for example while no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

Result<net::ip::tcp::endpoint> parseListenAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  error_code failed = net::error::invalid_argument;
  net::ip::address ip;
  if (colon != std::string::npos) {
    ip = net::ip::make_address(address.substr(0, colon), failed);
  }
  if (failed) {
    return makeError(ErrorCode::InvalidArgument, "callers_address: not ip:port: " + address);
  }
  const int port = std::atoi(address.c_str() + colon + 1);
  return net::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace

CallersServer::CallersServer(ServingServices& services, std::string address, CallerLimits limits)
    : services_(services), address_(std::move(address)),
      shared_(new CallersServerState{services, limits, makeChatChain(services),
                                     makeBatchChain(services)}),
      strand_(services.threads.makeStrand()), acceptor_(strand_) {
  shared_->callEnded = [this]() { checkIdle(); };
}

Status CallersServer::start() {
  const auto endpoint = parseListenAddress(address_);
  if (!endpoint) {
    return endpoint.error();
  }
  error_code failed;
  acceptor_.open(endpoint.value().protocol(), failed);
  if (!failed) {
    acceptor_.set_option(net::socket_base::reuse_address(true), failed);
  }
  if (!failed) {
    acceptor_.bind(endpoint.value(), failed);
  }
  if (!failed) {
    acceptor_.listen(net::socket_base::max_listen_connections, failed);
  }
  if (failed) {
    return makeError(ErrorCode::InvalidArgument,
                     "callers_address " + address_ + ": " + failed.message());
  }
  services_.threads.spawn(strand_, [this](net::yield_context yield) { acceptLoop(yield); });
  return okStatus();
}

std::uint16_t CallersServer::port() const {
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void CallersServer::setDraining(bool draining) {
  services_.draining.store(draining);
}

void CallersServer::stopAccepting() {
  net::post(strand_, [this]() {
    error_code ignored;
    acceptor_.close(ignored);
  });
}

void CallersServer::notifyWhenIdle(std::function<void()> callback) {
  {
    const std::lock_guard<std::mutex> lock(idleMutex_);
    idleCallback_ = std::move(callback);
  }
  checkIdle();
}

void CallersServer::checkIdle() {
  if (shared_->activeCalls > 0) {
    return;
  }
  const std::lock_guard<std::mutex> lock(idleMutex_);
  if (idleCallback_) {
    services_.core.post(std::exchange(idleCallback_, nullptr));
  }
}

void CallersServer::acceptLoop(net::yield_context yield) {
  while (acceptor_.is_open()) {
    const ServingStrand strand = services_.threads.makeStrand();
    net::ip::tcp::socket socket(strand);
    error_code failed;
    acceptor_.async_accept(socket, yield[failed]);
    if (!failed) {
      serve(std::move(socket), strand);
    } else if (acceptor_.is_open()) {
      net::steady_timer retryTimer(strand_, kAcceptRetryDelay);
      retryTimer.async_wait(yield[failed]);
    }
  }
}

void CallersServer::serve(net::ip::tcp::socket socket, const ServingStrand& strand) {
  if (shared_->connections >= shared_->limits.maxConnections) {
    services_.counters.add("serving_connections_refused_total", 1);
    return;
  }
  auto connection = std::make_shared<CallerConnection>(*shared_, std::move(socket), strand);
  services_.threads.spawn(strand,
                          [connection](net::yield_context yield) { connection->run(yield); });
}

}  // namespace shedshed
