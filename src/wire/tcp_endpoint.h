/// @file
/// Addresses and timeouts of TCP sockets.
#pragma once

#include "kernel/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

namespace shedshed {

/// Parses "a.b.c.d:port". Fails with `InvalidArgument`.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

/// Makes the kernel close @p socket when sent data stays unacknowledged for @p timeout, since a
/// peer that lost power sends no reset. A failure to set the option is ignored: the connection is
/// then closed later.
void setUnackedTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/// Enables TCP keepalive: the idle @p socket is probed every @p seconds and closed after @p probes
/// unanswered probes.
void setKeepAlive(boost::asio::ip::tcp::socket& socket, int seconds, int probes);

}  // namespace shedshed
