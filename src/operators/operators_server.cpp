#include "operators/operators_server.h"

#include "operators/operators_responder.h"
#include "settings/ip_port.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>
#include <sodium.h>
#include <thread>

namespace shedshed {

namespace {

constexpr unsigned kMinThreads = 2;
/// Time-out for reading the rest of a request and for writing the reply.
constexpr int kTransferTimeoutMs = 10000;
constexpr int kKeepAliveTimeoutMs = 30000;

}  // namespace

/// Owns the event loop and the library's server.
class OperatorsServer::Impl {
 public:
  Impl(std::string address, const std::string& key, OperatorServices& services,
       OperatorExecutor& executor, OperatorsServerLimits limits)
      : address_(std::move(address)), limits_(limits),
        runner_(services, executor, limits.commandDeadline), handler_(key, services, runner_),
        service_(handler_, limits.maxBodyBytes) {}

  ~Impl() { stop(); }

  Status start() {
    if (sodium_init() < 0) {
      return makeError(ErrorCode::Internal, "libsodium cannot be initialised");
    }
    if (!isIpPort(address_)) {
      return makeError(ErrorCode::InvalidArgument, address_ + ": allowed: \"ip:port\"");
    }
    const std::size_t colon = address_.rfind(':');
    const auto port = static_cast<unsigned short>(std::stoul(address_.substr(colon + 1)));
    try {
      server_ = std::make_unique<cxxtools::http::Server>(loop_, address_.substr(0, colon), port);
      configure(*server_);
    } catch (const std::exception& exception) {
      server_.reset();
      return makeError(ErrorCode::InvalidArgument, address_ + ": " + exception.what());
    }
    thread_ = std::thread([this] { loop_.run(); });
    return okStatus();
  }

  void stop() {
    runner_.stop();
    if (!thread_.joinable()) {
      return;
    }
    loop_.exit();
    thread_.join();
    server_.reset();
  }

 private:
  void configure(cxxtools::http::Server& server) {
    server.minThreads(kMinThreads);
    server.maxThreads(limits_.maxThreads);
    server.readTimeout(cxxtools::Milliseconds(kTransferTimeoutMs));
    server.writeTimeout(cxxtools::Milliseconds(kTransferTimeoutMs));
    server.keepAliveTimeout(cxxtools::Milliseconds(kKeepAliveTimeoutMs));
    server.addService(cxxtools::Regex("^/"), service_);
  }

  std::string address_;
  OperatorsServerLimits limits_;
  CommandRunner runner_;
  OperatorCallHandler handler_;
  OperatorsHttpService service_;
  cxxtools::EventLoop loop_;
  std::unique_ptr<cxxtools::http::Server> server_;
  std::thread thread_;
};

OperatorsServer::OperatorsServer(std::string address, std::string key, OperatorServices& services,
                                 OperatorExecutor& executor, OperatorsServerLimits limits) {
  impl_ = std::make_unique<Impl>(std::move(address), key, services, executor, limits);
}

OperatorsServer::~OperatorsServer() = default;

Status OperatorsServer::start() {
  return impl_->start();
}

void OperatorsServer::stop() {
  impl_->stop();
}

}  // namespace shedshed
