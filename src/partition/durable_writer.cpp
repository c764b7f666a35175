#include "partition/durable_writer.h"

#include <algorithm>
#include <utility>

namespace shedshed {

DurableWriter::DurableWriter(CoreContext& context, TimerId retryTimer)
    : context_(context), retryTimer_(retryTimer) {}

void DurableWriter::persist(std::vector<Mutation> mutations, std::function<void()> done) {
  requests_.push_back(Request{0, std::move(mutations), std::move(done)});
  submit(requests_.back());
}

void DurableWriter::persisted(PersistId id, const Status& status) {
  const auto found = std::find_if(requests_.begin(), requests_.end(),
                                  [id](const Request& request) { return request.id == id; });
  if (found == requests_.end()) {
    return;
  }
  if (!status) {
    context_.counters().add("partition_persist_failures_total");
    if (!rejected_) {
      rejected_ = true;
      context_.logEvent(
          TraceEvent("PersistRefused", Severity::Warning).field("error", status.error()));
    }
    context_.startTimer(retryTimer_, kRetryInterval);
    return;
  }
  found->synced = true;
  completeSynced();
}

void DurableWriter::retry() {
  for (Request& request : requests_) {
    request.synced = false;
    submit(request);
  }
}

void DurableWriter::submit(Request& request) {
  request.id = nextId_++;
  context_.persist(request.id, request.mutations);
}

void DurableWriter::completeSynced() {
  while (!requests_.empty() && requests_.front().synced) {
    const std::function<void()> done = std::move(requests_.front().done);
    requests_.pop_front();
    done();
  }
  if (rejected_ && requests_.empty()) {
    rejected_ = false;
    context_.logEvent(TraceEvent("PersistRecovered"));
  }
}

}  // namespace shedshed
