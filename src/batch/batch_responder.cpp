#include "batch/batch_responder.h"

#include "batch/batch_records.h"

namespace shedshed {
namespace {

BatchReply failure(RequestId request, ErrorCode code) {
  BatchReply reply;
  reply.request = request.number;
  reply.transmission = request.transmission;
  reply.code = wireCode(code);
  return reply;
}

}  // namespace

void BatchResponder::reply(const NodeId& to, const BatchReply& reply) {
  context_.send(to, reply);
}

void BatchResponder::reject(const NodeId& to, RequestId request, ErrorCode code,
                            std::string detail) {
  BatchReply answer = failure(request, code);
  answer.detail = std::move(detail);
  reply(to, answer);
}

void BatchResponder::redirect(const NodeId& to, RequestId request, const std::string& batchId) {
  BatchReply answer = failure(request, ErrorCode::NotOwner);
  answer.owner = store_.ownerHint(partitionOfBatch(batchId));
  reply(to, answer);
}

}  // namespace shedshed
