/// @file
/// Opens listening sockets.
#pragma once

#include "kernel/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace shedshed {

/// Opens @p acceptor, binds it to "a.b.c.d:port" and listens. Fails with `InvalidArgument`; the
/// detail names the address.
Status listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

}  // namespace shedshed
