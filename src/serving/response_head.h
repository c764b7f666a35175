/// @file
/// Reads the head of an engine's response and refuses one that is not valid HTTP/1.1.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>

namespace shedshed {

/// Parser of one response whose body is read piece by piece.
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Size limits of a response, in bytes.
struct ResponseLimits {
  std::uint32_t headBytes = 0;
  std::uint64_t bodyBytes = 0;
};

/// Reads the head of the next response from @p socket into a new parser in @p parser, which can
/// then read the body. Bytes after the head stay in @p buffer.
///
/// Beast's parser accepts heads that RFC 9112 does not allow. Passed on, such a head would give the
/// client a response that the engine never made. The errors beside those of the socket and of the
/// parser, all of `boost::beast::http::error`, are:
/// - `bad_status`: the status is not one of a response, 200 to 599, after interim responses. 101 is
///   not one of those, since no request asks for another protocol, and their number is limited.
/// - `bad_obs_fold`: a line begins with a blank. By RFC 9112, 5.2 it would continue the field
///   before it; another reader takes it for a field, perhaps one that frames the body.
/// - `bad_transfer_encoding`: the body is coded otherwise than in chunks. Requests allow no other
///   coding, and its field is not passed on, so that the coded bytes would look like the body.
///
/// The connection must not be used any more after an error.
boost::system::error_code readResponseHead(boost::asio::ip::tcp::socket& socket,
                                           boost::beast::flat_buffer& buffer,
                                           std::optional<ResponseParser>& parser,
                                           const ResponseLimits& limits,
                                           boost::asio::yield_context yield);

}  // namespace shedshed
