#include "gateway/buffered_request_server.h"

#include "serving/await_core.h"
#include "serving/message_framing.h"
#include "serving/socket_deadline.h"
#include "wire/listening.h"

#include <array>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/coroutine/attributes.hpp>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kStackBytes = 256U << 10U;
constexpr std::uint32_t kMaxHeaderBytes = 16U << 10U;
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kReadTimeout = std::chrono::seconds(10);
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);

std::string toText(boost::beast::string_view text) {
  return std::string(text.data(), text.size());
}

BufferedRequest requestOf(http::request<http::string_body>& message) {
  BufferedRequest request;
  request.method = toText(message.method_string());
  request.target = toText(message.target());
  for (const auto& field : message.base()) {
    request.headers.push_back({toText(field.name_string()), toText(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> responseOf(const GatewayAnswer& answer, bool keepAlive) {
  http::response<http::string_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(answer.status));
  for (const HeaderField& field : answer.headers) {
    response.set(field.name, field.value);
  }
  response.keep_alive(keepAlive);
  response.body() = answer.body;
  response.prepare_payload();
  return response;
}

/// Runs tasks immediately, because server and handler share one thread.
class InlineExecutor : public CoreExecutor {
 public:
  void post(std::function<void()> task) override { task(); }
  Time now() const override { return {}; }
};

/// Discards unread input before the close; otherwise a reset could destroy the response in transit.
void linger(net::ip::tcp::socket& socket, const ServingStrand& strand, net::yield_context yield) {
  error_code failed;
  socket.shutdown(net::ip::tcp::socket::shutdown_send, failed);
  SocketDeadline deadline(strand, socket);
  deadline.arm(kLingerTimeout);
  std::array<char, 4096> discarded{};
  while (!failed) {
    socket.async_read_some(net::buffer(discarded), yield[failed]);
  }
}

}  // namespace

std::string_view BufferedRequest::header(std::string_view name) const {
  for (const HeaderField& field : headers) {
    if (sameHeaderName(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

BufferedRequestServer::BufferedRequestServer(net::io_context& io, std::string address,
                                             std::size_t maxBodyBytes, Handler handler)
    : io_(io), address_(std::move(address)), maxBodyBytes_(maxBodyBytes),
      handler_(std::move(handler)), acceptor_(io) {}

Status BufferedRequestServer::start() {
  const Status listening = listenOn(acceptor_, address_);
  if (listening) {
    accept();
  }
  return listening;
}

void BufferedRequestServer::accept() {
  const ServingStrand strand(io_.get_executor());
  acceptor_.async_accept(strand, [this, strand](const error_code& failed, auto accepted) {
    if (failed == net::error::operation_aborted) {
      return;
    }
    if (!failed) {
      auto socket = std::make_shared<net::ip::tcp::socket>(std::move(accepted));
      net::spawn(
          strand,
          [this, socket, strand](net::yield_context yield) { serve(*socket, strand, yield); },
          boost::coroutines::attributes(kStackBytes));
    }
    accept();
  });
}

void BufferedRequestServer::serve(net::ip::tcp::socket& socket, const ServingStrand& strand,
                                  net::yield_context yield) {
  boost::beast::flat_buffer buffer;
  InlineExecutor inlineExecutor;
  bool open = true;
  while (open) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(maxBodyBytes_);
    error_code failed;
    SocketDeadline deadline(strand, socket);
    deadline.arm(buffer.size() > 0 ? kReadTimeout : kIdleTimeout);
    http::async_read(socket, buffer, parser, yield[failed]);
    deadline.disarm();
    GatewayAnswer answer;
    if (failed == http::error::body_limit || failed == http::error::header_limit) {
      answer = gatewayErrorAnswer(
          makeError(ErrorCode::TooLarge, "the request exceeds its size limit"), {});
      open = false;
    } else if (failed) {
      return;
    } else if (const Status framing = checkRequestFraming(parser.get().base()); !framing) {
      answer = gatewayErrorAnswer(framing.error(), {});
      open = false;
    } else {
      const BufferedRequest request = requestOf(parser.get());
      answer = awaitCore<GatewayAnswer>(inlineExecutor, yield,
                                        [this, &request](Done done) { handler_(request, done); });
      open = parser.keep_alive();
    }
    auto response = responseOf(answer, open);
    deadline.arm(kReadTimeout);
    http::async_write(socket, response, yield[failed]);
    if (failed) {
      return;
    }
    if (!open) {
      linger(socket, strand, yield);
    }
  }
}

}  // namespace shedshed
