#include "ctl/http_transport.h"

#include "kernel/http_status.h"
#include "operators/http_errors.h"
#include "settings/json.h"

#include <cstdlib>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>

namespace shedshed::ctl {

namespace {

constexpr JsonBounds kBodyBounds{256U << 20U, 64};

cxxtools::Milliseconds toCxxtools(std::chrono::milliseconds duration) {
  return cxxtools::Milliseconds(static_cast<double>(duration.count()));
}

/// Returns the error for a response that says nothing about the request, as an intermediary or a
/// node in trouble may send.
Error untypedResponseError(const FleetRequest& request, const std::string& detail) {
  if (request.changesState) {
    return makeError(ErrorCode::OutcomeUnknown, detail, Ran::Unknown);
  }
  return makeError(ErrorCode::StoreUnavailable, detail);
}

/// Parses the typed error in a response body.
Error parseErrorResponse(const FleetRequest& request, unsigned status, const std::string& body) {
  const std::string untyped = "HTTP status " + std::to_string(status) + " without a typed error";
  if (!isFinalHttpStatus(status)) {
    return untypedResponseError(request, untyped);
  }
  const Result<JsonDocument> document = JsonDocument::parse(body);
  if (!document) {
    return untypedResponseError(request, untyped);
  }
  const cJSON* fields = jsonMember(document.value().root(), "error");
  const Result<std::string> type = jsonString(fields, "type", "/error");
  const Result<std::string> message = jsonString(fields, "message", "/error");
  const std::optional<ErrorCode> code =
      type ? errorCodeOfName(type.value()) : std::optional<ErrorCode>();
  if (!code || !message) {
    return untypedResponseError(request, untyped);
  }
  return makeError(*code, message.value(),
                   *code == ErrorCode::OutcomeUnknown ? Ran::Unknown : Ran::No);
}

cxxtools::http::Request toHttpRequest(const FleetRequest& request, const std::string& key) {
  cxxtools::http::Request httpRequest(request.url);
  httpRequest.method(request.method);
  httpRequest.setHeader("Authorization", ("Bearer " + key).c_str());
  httpRequest.setHeader("Content-Type", "application/json");
  if (request.baseVersion) {
    httpRequest.setHeader("If-Match", ("\"" + std::to_string(*request.baseVersion) + "\"").c_str());
  }
  if (!request.orderId.empty()) {
    httpRequest.setHeader("Order-Id", request.orderId.c_str());
  }
  httpRequest.body() << request.body;
  return httpRequest;
}

std::uint64_t parseEntityTag(const cxxtools::http::ReplyHeader& header) {
  const char* tag = header.getHeader("ETag");
  if (tag == nullptr || *tag != '"') {
    return 0;
  }
  return std::strtoull(tag + 1, nullptr, 10);
}

}  // namespace

Result<FleetResponse> HttpTransport::exchange(const std::string& node,
                                              const FleetRequest& request) {
  const std::size_t colon = node.rfind(':');
  const std::string host = node.substr(0, colon);
  const auto port =
      static_cast<unsigned short>(std::strtoul(node.c_str() + colon + 1, nullptr, 10));
  try {
    // The HTTP client reports a failed connect and a lost response alike. A separate connect tells
    // whether the request can have been sent.
    cxxtools::net::TcpSocket probe;
    probe.setTimeout(toCxxtools(connectTimeout_));
    probe.connect(cxxtools::net::AddrInfo(host, port));
  } catch (const std::exception& exception) {
    return makeError(ErrorCode::StoreUnavailable, exception.what());
  }
  try {
    cxxtools::http::Client client(host, port);
    const cxxtools::http::ReplyHeader& header = client.execute(
        toHttpRequest(request, key_), toCxxtools(responseTimeout_), toCxxtools(connectTimeout_));
    const unsigned status = header.httpReturnCode();
    client.readBody();
    const std::string body = client.body();
    if (!isHttpSuccess(status)) {
      return parseErrorResponse(request, status, body);
    }
    // The HTTP client takes a body that ends with its connection for an empty one, and a field name
    // with a blank for one without. Every success is JSON, which shows whether the body is whole.
    if (!JsonDocument::parse(body, kBodyBounds)) {
      return untypedResponseError(request, "the body of the response is not whole");
    }
    return FleetResponse{body, parseEntityTag(client.header())};
  } catch (const std::exception& exception) {
    if (request.changesState) {
      return makeError(ErrorCode::OutcomeUnknown, exception.what(), Ran::Unknown);
    }
    return makeError(ErrorCode::StoreUnavailable, exception.what());
  }
}

}  // namespace shedshed::ctl
