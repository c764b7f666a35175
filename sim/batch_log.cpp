#include "sim/invariants.h"
#include "sim/sim_engine.h"

namespace shedshed::sim {
namespace {

bool sameResult(const ItemResult& left, const ItemResult& right) {
  return left.state == right.state && left.body == right.body && left.errorType == right.errorType;
}

std::string positionText(const std::string& clientKey, std::uint64_t position) {
  return clientKey + " position " + std::to_string(position);
}

}  // namespace

void BatchLog::accepted(const std::string& clientKey, const BatchSubmission& submission,
                        const BatchStatus& status) {
  Batch& batch = batches_[clientKey];
  if (!batch.id.empty() && batch.id != status.id) {
    world_.violation("a resend names the same batch", clientKey);
  }
  if (status.itemCount != submission.items.size()) {
    world_.violation("an accepted batch has all its items", clientKey);
  }
  if (batch.id.empty()) {
    batch.tenant = submission.tenant;
    batch.id = status.id;
    batch.repeatable = submission.idempotentItems;
    batch.bodies = submission.items;
    batch.acceptedAt = world_.now();
  }
}

void BatchLog::checkResult(const Batch& batch, const ItemResult& result) {
  const std::string& body = batch.bodies[result.position];
  if (result.state == ItemState::Done) {
    runs_.reportedRan(body);
    if (result.body.find(answerPrefix(body)) != 0) {
      world_.violation("a result belongs to its item", body);
    }
  }
  if (result.state == ItemState::Cancelled) {
    if (runs_.runs(body) > 0) {
      world_.violation("a cancelled item never ran", body);
    } else {
      runs_.reportedNotRun(body);
    }
    if (!batch.cancelSent) {
      world_.violation("only cancelled batches have cancelled items", body);
    }
  }
}

void BatchLog::readResults(const std::string& clientKey, std::uint64_t from,
                           const ResultPage& page) {
  Batch& batch = batches_[clientKey];
  batch.readOnce = true;
  std::uint64_t expected = from;
  for (const ItemResult& result : page.results) {
    if (result.position != expected || expected >= batch.bodies.size()) {
      world_.violation("positions are read in order, each once", positionText(clientKey, expected));
      return;
    }
    ++expected;
    const auto known = batch.results.find(result.position);
    if (known == batch.results.end()) {
      checkResult(batch, result);
      batch.results[result.position] = result;
    } else if (!sameResult(known->second, result)) {
      world_.violation("a result never changes", positionText(clientKey, result.position));
    }
  }
  if (page.complete && expected != batch.bodies.size()) {
    world_.violation("a complete page reaches the end", clientKey);
  }
}

void BatchLog::readUnfinished(const std::string& clientKey,
                              const std::vector<UnfinishedItem>& items) {
  const Batch& batch = batches_[clientKey];
  for (const UnfinishedItem& item : items) {
    const bool known = item.position < batch.bodies.size();
    if (!known || item.body != batch.bodies[item.position]) {
      world_.violation("an unfinished item has its body", positionText(clientKey, item.position));
    }
  }
}

void BatchLog::readFailed(const std::string& clientKey, const Error& error) {
  if (error.code == ErrorCode::NotFound) {
    world_.violation("an accepted batch is never lost", clientKey);
  }
}

void BatchLog::cancelSent(const std::string& clientKey) {
  batches_[clientKey].cancelSent = true;
}

void BatchLog::cancelAcknowledged(const std::string& clientKey) {
  for (const std::string& body : batches_[clientKey].bodies) {
    runs_.cancelled(body);
  }
}

bool BatchLog::allComplete() const {
  for (const auto& entry : batches_) {
    if (!entry.second.complete()) {
      return false;
    }
  }
  return true;
}

}  // namespace shedshed::sim
