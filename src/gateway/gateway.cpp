#include "gateway/gateway.h"

#include "gateway/batch_filter.h"
#include "gateway/call_filters.h"
#include "wire/listening.h"

#include <boost/asio/spawn.hpp>
#include <boost/coroutine/attributes.hpp>

namespace shedshed {
namespace {

namespace net = boost::asio;
using boost::system::error_code;

/// Stack size of a connection's coroutine, in bytes. Batch JSON is parsed on this stack.
constexpr std::size_t kStackBytes = 256U << 10U;

}  // namespace

Gateway::Gateway(GatewayServices& services, const BatchDialect& dialect, std::string address)
    : services_(services), address_(std::move(address)), shared_{services, {}},
      acceptor_(services.io) {
  shared_.filters.push_back(std::make_unique<SettingsInForceFilter>(services));
  shared_.filters.push_back(std::make_unique<BatchFilter>(services, dialect));
  shared_.filters.push_back(std::make_unique<RouteFilter>());
  shared_.filters.push_back(std::make_unique<TenantFilter>());
  shared_.filters.push_back(std::make_unique<TenantSlotFilter>(services));
  shared_.filters.push_back(std::make_unique<OpaqueForwardFilter>(services));
}

Status Gateway::start() {
  const Status listening = listenOn(acceptor_, address_);
  if (listening) {
    accept();
  }
  return listening;
}

void Gateway::stopAccepting() {
  error_code ignored;
  acceptor_.close(ignored);
  shared_.stopping = true;
  const std::set<DownstreamSession*> idleSessions = shared_.idleSessions;
  for (DownstreamSession* session : idleSessions) {
    session->closeIfIdle();
  }
}

void Gateway::accept() {
  // The socket's executor must be the strand on which its calls run.
  const ServingStrand strand(services_.io.get_executor());
  acceptor_.async_accept(strand, [this, strand](const error_code& failed, auto socket) {
    if (failed == net::error::operation_aborted) {
      return;
    }
    if (!failed) {
      auto session = std::make_shared<DownstreamSession>(
          shared_, net::ip::tcp::socket(std::move(socket)), strand);
      net::spawn(
          strand, [session](net::yield_context yield) { session->run(yield); },
          boost::coroutines::attributes(kStackBytes));
    }
    accept();
  });
}

}  // namespace shedshed
