#include "sim/invariants.h"

namespace shedshed::sim {

void RunLog::expect(const std::string& body, bool repeatable) {
  requests_[body].repeatable = repeatable;
}

void RunLog::received(const std::string& engine, const std::string& body) {
  ++received_;
  world_.trace(engine + " receives " + body);
  Request& request = requests_[body];
  ++request.runs;
  if (request.runs > 1 && !request.repeatable) {
    world_.violation("runs at most once", body + " at " + engine);
  }
  if (request.reportedNotRun) {
    world_.violation("reported as not run, but runs later", body + " at " + engine);
  }
}

void RunLog::sent(const std::string& body) {
  const Request& request = requests_[body];
  if (request.cancelledAt && world_.now() - *request.cancelledAt > kStopBound) {
    world_.violation("a cancelled batch starts no item", body);
  }
}

void RunLog::reportedNotRun(const std::string& body) {
  Request& request = requests_[body];
  request.reportedNotRun = true;
  if (request.runs > 0) {
    world_.violation("reported as not run, but ran",
                     body + (request.repeatable ? " (repeatable)" : ""));
  }
}

void RunLog::reportedRan(const std::string& body) {
  if (runs(body) == 0) {
    world_.violation("a result without a run", body);
  }
}

void RunLog::cancelled(const std::string& body) {
  Request& request = requests_[body];
  if (!request.cancelledAt) {
    request.cancelledAt = world_.now();
  }
}

std::uint64_t RunLog::runs(const std::string& body) const {
  const auto found = requests_.find(body);
  return found == requests_.end() ? 0 : found->second.runs;
}

}  // namespace shedshed::sim
