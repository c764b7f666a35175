/// @file
/// cxxtools responder of the operators' HTTP server: reads one request, writes one complete reply.
#pragma once

#include "operators/operator_call_handler.h"

#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>

#include <optional>
#include <string>

namespace shedshed {

/// Reads requests and writes the handler's replies.
class OperatorsResponder : public cxxtools::http::Responder {
 public:
  OperatorsResponder(cxxtools::http::Service& service, OperatorCallHandler& handler,
                     std::size_t maxBodyBytes)
      : Responder(service), handler_(handler), maxBodyBytes_(maxBodyBytes) {}

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                    cxxtools::http::Request& request) override;
  std::size_t readBody(std::istream& in) override;
  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override;
  void replyError(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply,
                  const std::exception& exception) override;

 private:
  OperatorCallHandler& handler_;
  std::size_t maxBodyBytes_;
  std::string body_;
  /// Set if the body is rejected; the connection is closed after the reply.
  std::optional<Error> rejection_;
};

/// Creates one responder for each request.
class OperatorsHttpService : public cxxtools::http::Service {
 public:
  OperatorsHttpService(OperatorCallHandler& handler, std::size_t maxBodyBytes)
      : handler_(handler), maxBodyBytes_(maxBodyBytes) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& request) override;
  void releaseResponder(cxxtools::http::Responder* responder) override;

 private:
  OperatorCallHandler& handler_;
  std::size_t maxBodyBytes_;
};

}  // namespace shedshed
