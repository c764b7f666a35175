/// @file
/// Addresses and time-outs of TCP sockets.
#pragma once

#include "kernel/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

namespace shedshed {

/// Parses "a.b.c.d:port". Fails with `InvalidArgument`.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

/// Lets the system close @p socket when sent bytes stay unacknowledged for @p limit: a peer without
/// power sends no reset. Failures to set it are ignored: the socket then waits longer.
void setUnackedTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/// Probes the idle @p socket every @p seconds and closes it after @p probes lost ones.
void setKeepAlive(boost::asio::ip::tcp::socket& socket, int seconds, int probes);

}  // namespace shedshed
