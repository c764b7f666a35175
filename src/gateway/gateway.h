/// @file
/// The gateway: callers' HTTP for opaque calls and batches.
#pragma once

#include "gateway/batch_dialect.h"
#include "gateway/downstream_session.h"
#include "gateway/gateway_services.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace shedshed {

/// Accepts callers on one address. On the thread of the services' event loop, but for construction
/// and `start`, which come before it runs.
class Gateway {
 public:
  /// Keeps references; they must outlive it.
  Gateway(GatewayServices& services, const BatchDialect& dialect, std::string address);

  /// Fails with `InvalidArgument` when the address cannot be bound.
  Status start();

  /// Takes no new connection any more, and closes those between two calls: their callers go
  /// elsewhere. Calls under way are still served.
  void stopAccepting();

  /// Calls under way.
  std::size_t activeCalls() const { return shared_.activeCalls; }

 private:
  void accept();

  GatewayServices& services_;
  const std::string address_;
  GatewayShared shared_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace shedshed
