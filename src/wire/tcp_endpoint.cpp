#include "wire/tcp_endpoint.h"

#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shedshed {
namespace {

void setOption(boost::asio::ip::tcp::socket& socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return makeError(ErrorCode::InvalidArgument, address + ": no port");
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return makeError(ErrorCode::InvalidArgument, address + ": not \"ip:port\"");
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

void setUnackedTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout) {
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

void setKeepAlive(boost::asio::ip::tcp::socket& socket, int seconds, int probes) {
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

}  // namespace shedshed
