#include "operators/inspection_commands.h"

#include "operators/inspection_json.h"

namespace shedshed {

namespace {

Error notAStoreError() {
  return makeError(ErrorCode::NotFound, "this node is not a store; send the call to a store");
}

std::function<void(Result<BatchStatus>)> batchCallback(CommandDone done) {
  return [done = std::move(done)](const Result<BatchStatus>& batch) {
    done(batch ? jsonReply(batchJson(batch.value())) : errorReply(batch.error()));
  };
}

}  // namespace

void SlotsCommand::execute(OperatorServices& services, CommandDone done) {
  done(services.slots ? jsonReply(slotsJson(services.slots())) : errorReply(notAStoreError()));
}

void ListBatchesCommand::execute(OperatorServices& services, CommandDone done) {
  done(services.batches != nullptr ? jsonReply(batchesJson(services.batches->list()))
                                   : errorReply(notAStoreError()));
}

void ShowBatchCommand::execute(OperatorServices& services, CommandDone done) {
  if (services.batches == nullptr) {
    done(errorReply(notAStoreError()));
    return;
  }
  services.batches->status(batchId_, batchCallback(std::move(done)));
}

void CancelBatchCommand::execute(OperatorServices& services, CommandDone done) {
  if (services.batches == nullptr) {
    done(errorReply(notAStoreError()));
    return;
  }
  services.batches->cancel(batchId_, batchCallback(std::move(done)));
}

void ExplainCallCommand::execute(OperatorServices& services, CommandDone done) {
  const std::optional<std::string> text =
      services.explainCall ? services.explainCall(requestId_) : std::nullopt;
  done(text ? jsonReply(*text)
            : errorReply(
                  makeError(ErrorCode::NotFound, "this node has no record of call " + requestId_)));
}

}  // namespace shedshed
