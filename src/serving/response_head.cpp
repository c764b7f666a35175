#include "serving/response_head.h"

#include "kernel/http_status.h"
#include "serving/message_framing.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <string_view>

namespace shedshed {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kEndOfInterimStatuses = 200;

/// Limit on the bytes read at once.
constexpr std::size_t kMaxReadBytes = 64U << 10U;

/// Limit on the interim responses before one response, in case they never end.
constexpr int kMaxInterimResponses = 16;

bool isInterim(unsigned status) {
  return status >= kFirstInterimStatus && status < kEndOfInterimStatuses &&
         status != kSwitchingProtocols;
}

/// Returns true if a line of @p head begins with a blank.
bool hasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// Parses bytes of @p buffer up to the end of the head and removes them. Fails with `need_more` if
/// the end is not among them.
error_code parseHead(boost::beast::flat_buffer& buffer, ResponseParser& parser) {
  error_code failed;
  const auto bytes = buffer.data();
  const std::size_t parsed = parser.put(bytes, failed);
  // The parser joins folded lines to one value, so that only its input shows them. It takes a field
  // only whole, together with all lines that continue it.
  if (hasFoldedLine({static_cast<const char*>(bytes.data()), parsed})) {
    return http::error::bad_obs_fold;
  }
  buffer.consume(parsed);
  return failed;
}

/// Reads one head.
error_code readHead(net::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                    ResponseParser& parser, net::yield_context yield) {
  while (true) {
    error_code failed = buffer.size() > 0 ? parseHead(buffer, parser) : error_code();
    if (failed && failed != http::error::need_more) {
      return failed;
    }
    if (parser.is_header_done()) {
      return {};
    }
    const std::size_t size = boost::beast::read_size(buffer, kMaxReadBytes);
    buffer.commit(socket.async_read_some(buffer.prepare(size), yield[failed]));
    if (failed == net::error::eof) {
      return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (failed) {
      return failed;
    }
  }
}

/// Checks a head that the parser has accepted.
error_code checkHead(const ResponseParser& parser) {
  if (!isFinalHttpStatus(parser.get().result_int())) {
    return http::error::bad_status;
  }
  if (!hasReadableTransferEncoding(parser.get().base())) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

}  // namespace

error_code readResponseHead(net::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                            std::optional<ResponseParser>& parser, const ResponseLimits& limits,
                            net::yield_context yield) {
  int interimResponses = 0;
  do {
    parser.emplace();
    parser->header_limit(limits.headBytes);
    parser->body_limit(limits.bodyBytes);
    if (const error_code failed = readHead(socket, buffer, *parser, yield); failed) {
      return failed;
    }
  } while (isInterim(parser->get().result_int()) && ++interimResponses <= kMaxInterimResponses);
  return checkHead(*parser);
}

}  // namespace shedshed
