#include "operators/operator_call_handler.h"

#include "operators/command_decoder.h"
#include "settings/settings.h"

#include <sodium.h>

namespace shedshed {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr const char* kHealthPath = "/healthz";
constexpr const char* kReadyPath = "/readyz";
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

bool isPublicPath(const OperatorCall& call) {
  return call.path == kHealthPath || call.path == kReadyPath;
}

}  // namespace

OperatorCallHandler::OperatorCallHandler(const std::string& key, OperatorServices& services,
                                         CommandRunner& runner)
    : keyDigest_(SettingsTree::digestOfKey(key)), services_(services), runner_(runner) {}

bool OperatorCallHandler::isAuthenticated(const OperatorCall& call) const {
  const std::string header = call.authorization.value_or("");
  if (header.compare(0, kBearerPrefix.size(), kBearerPrefix) != 0) {
    return false;
  }
  const std::string digest =
      SettingsTree::digestOfKey(std::string_view(header).substr(kBearerPrefix.size()));
  return sodium_memcmp(digest.data(), keyDigest_.data(), keyDigest_.size()) == 0;
}

CommandReply OperatorCallHandler::handle(const OperatorCall& call) {
  if (!isPublicPath(call) && !isAuthenticated(call)) {
    return errorReply(makeError(ErrorCode::Unauthenticated,
                                "Authorization: allowed: Bearer followed by the operator key"));
  }
  if (call.method == "GET" && call.path == kHealthPath) {
    return jsonReply(R"({"alive":true})");
  }
  if (call.method == "GET" && call.path == kMetricsPath) {
    CommandReply reply = jsonReply(services_.metrics());
    reply.contentType = kMetricsContentType;
    return reply;
  }
  Result<std::unique_ptr<OperatorCommand>> command = decodeCommand(call);
  if (!command) {
    return errorReply(command.error());
  }
  return runner_.run(std::move(command).value());
}

}  // namespace shedshed
