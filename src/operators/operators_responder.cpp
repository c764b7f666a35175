#include "operators/operators_responder.h"

#include "operators/http_errors.h"
#include "settings/error_json.h"

#include <array>
#include <cstdlib>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/query_params.h>
#include <istream>
#include <ostream>
#include <sodium.h>
#include <stdexcept>

namespace shedshed {

namespace {

constexpr std::size_t kRequestIdBytes = 8;

std::string newRequestId() {
  std::array<unsigned char, kRequestIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kRequestIdBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  return std::string(hex.data());
}

std::optional<std::string> headerValue(const cxxtools::http::Request& request, const char* name) {
  const char* value = request.getHeader(name);
  if (value == nullptr) {
    return std::nullopt;
  }
  return std::string(value);
}

OperatorCall toOperatorCall(const cxxtools::http::Request& request, std::string body) {
  OperatorCall call;
  call.method = request.method();
  // The library leaves the query in the URL.
  call.path = request.url().substr(0, request.url().find('?'));
  const cxxtools::QueryParams parameters(request.qparams());
  for (const char* name : {"effective", "route"}) {
    if (parameters.has(name)) {
      call.query.emplace(name, parameters.param(name));
    }
  }
  call.authorization = headerValue(request, "Authorization");
  call.ifMatch = headerValue(request, "If-Match");
  call.orderId = headerValue(request, "Order-Id");
  call.body = std::move(body);
  return call;
}

void writeReply(const CommandReply& answer, std::ostream& out, cxxtools::http::Reply& reply) {
  const std::string requestId = newRequestId();
  reply.httpReturn(answer.status, httpReasonOf(answer.status));
  reply.setHeader("Content-Type", answer.contentType.c_str());
  reply.setHeader("X-Request-Id", requestId.c_str());
  if (answer.version) {
    reply.setHeader("ETag", ("\"" + std::to_string(*answer.version) + "\"").c_str());
  }
  if (!answer.error) {
    out << answer.body;
    return;
  }
  if (const auto seconds = retryAfterSecondsOf(answer.error->code)) {
    reply.setHeader("Retry-After", std::to_string(*seconds).c_str());
  }
  out << errorJson(*answer.error, requestId);
}

/// Returns the error if the body of @p request must be rejected; nullopt otherwise.
std::optional<Error> rejectionOf(const cxxtools::http::Request& request, std::size_t maxBodyBytes) {
  // The library does not decode chunked requests and would parse the chunks as another request.
  if (request.hasHeader("Transfer-Encoding")) {
    return makeError(ErrorCode::InvalidArgument,
                     "Transfer-Encoding: allowed: a body with Content-Length");
  }
  const std::string length = headerValue(request, "Content-Length").value_or("0");
  if (std::strtoull(length.c_str(), nullptr, 10) > maxBodyBytes) {
    return makeError(ErrorCode::TooLarge, "Content-Length: found " + length +
                                              "; allowed: at most " + std::to_string(maxBodyBytes) +
                                              " bytes");
  }
  return std::nullopt;
}

}  // namespace

void OperatorsResponder::beginRequest(cxxtools::net::TcpSocket&, std::istream&,
                                      cxxtools::http::Request& request) {
  body_.clear();
  rejection_ = rejectionOf(request, maxBodyBytes_);
  if (rejection_) {
    // Answered at once by `replyError`, without reading the body.
    throw std::runtime_error(rejection_->detail);
  }
}

std::size_t OperatorsResponder::readBody(std::istream& in) {
  std::size_t total = 0;
  std::array<char, 4096> buffer{};
  while (in.rdbuf()->in_avail() > 0) {
    const auto size = static_cast<std::streamsize>(buffer.size());
    const std::streamsize count = in.rdbuf()->sgetn(
        buffer.data(), std::min(size, static_cast<std::streamsize>(in.rdbuf()->in_avail())));
    body_.append(buffer.data(), static_cast<std::size_t>(count));
    total += static_cast<std::size_t>(count);
  }
  return total;
}

void OperatorsResponder::reply(std::ostream& out, cxxtools::http::Request& request,
                               cxxtools::http::Reply& reply) {
  writeReply(handler_.handle(toOperatorCall(request, std::move(body_))), out, reply);
}

void OperatorsResponder::replyError(std::ostream& out, cxxtools::http::Request&,
                                    cxxtools::http::Reply& reply, const std::exception& exception) {
  const Error error = rejection_.value_or(makeError(ErrorCode::Internal, exception.what()));
  reply.setHeader("Connection", "close");
  writeReply(errorReply(error), out, reply);
}

cxxtools::http::Responder* OperatorsHttpService::createResponder(const cxxtools::http::Request&) {
  return new OperatorsResponder(*this, handler_, maxBodyBytes_);
}

void OperatorsHttpService::releaseResponder(cxxtools::http::Responder* responder) {
  delete responder;
}

}  // namespace shedshed
