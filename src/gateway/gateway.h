/// @file
/// The gateway: HTTP front end for opaque calls and batches.
#pragma once

#include "gateway/batch_dialect.h"
#include "gateway/downstream_session.h"
#include "gateway/gateway_services.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace shedshed {

/// Accepts client connections on one address. Runs on the thread of the services' event loop,
/// except for construction and `start`, which must come before the loop runs.
class Gateway {
 public:
  /// Keeps references to @p services and @p dialect; they must outlive the gateway.
  Gateway(GatewayServices& services, const BatchDialect& dialect, std::string address);

  /// Fails with `InvalidArgument` when the address cannot be bound.
  Status start();

  /// Stops accepting connections and closes idle ones, so that their clients connect to another
  /// node. Calls in flight are still served.
  void stopAccepting();

  /// Number of calls in flight.
  std::size_t activeCalls() const { return shared_.activeCalls; }

 private:
  void accept();

  GatewayServices& services_;
  const std::string address_;
  GatewayShared shared_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace shedshed
