#include "operators/operator_command.h"

#include "operators/http_errors.h"

namespace shedshed {

CommandReply jsonReply(std::string body, std::optional<std::uint64_t> version) {
  CommandReply reply;
  reply.body = std::move(body);
  reply.version = version;
  return reply;
}

CommandReply errorReply(Error error) {
  CommandReply reply;
  reply.status = httpStatusOf(error.code);
  reply.error = std::move(error);
  return reply;
}

}  // namespace shedshed
