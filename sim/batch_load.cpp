#include "sim/callers_load.h"

namespace shedshed::sim {
namespace {

/// Longer than the front's own deadline, so that a missing answer means a failed front.
constexpr Duration kAnswerTimeout = std::chrono::seconds(15);
constexpr Duration kResendPause = std::chrono::seconds(2);
constexpr Duration kReadPause = std::chrono::seconds(3);
constexpr Duration kMaxCancelDelay = std::chrono::seconds(6);
constexpr int kMaxSends = 12;
constexpr double kRereadProbability = 0.3;
constexpr double kUnfinishedReadProbability = 0.2;
constexpr std::uint32_t kPageLimit = 25;

}  // namespace

void BatchLoad::start() {
  next();
}

void BatchLoad::next() {
  if (stopped_) {
    return;
  }
  const JobPointer job = newJob();
  ++open_;
  submit(job);
  world_.schedule(world_.between(Duration{0}, 2 * options_.pause), [this] { next(); });
}

BatchLoad::JobPointer BatchLoad::newJob() {
  const auto job = std::make_shared<Job>();
  job->clientKey = "batch-" + std::to_string(++lastJob_);
  job->submission.tenant = tenantName(static_cast<int>(world_.pick(kTenants)));
  job->submission.clientKey = job->clientKey;
  job->submission.idempotentItems = world_.chance() < options_.repeatable;
  const std::size_t items = 1 + world_.pick(options_.maxItems);
  for (std::size_t i = 0; i < items; ++i) {
    const std::string name = job->clientKey + "-" + std::to_string(i);
    const std::string body =
        R"({"model":")" + std::string(kModel) + R"(","prompt":")" + name + "\"}";
    fleet_.invariants().runs.expect(body, job->submission.idempotentItems);
    job->submission.items.push_back(body);
  }
  return job;
}

void BatchLoad::submit(const JobPointer& job) {
  const int number = ++job->sends;
  const NodeId front = fleet_.anyFront();
  fleet_.node(front).post([this, job, number, front] {
    fleet_.front(front)->cores.batches.submit(
        job->submission,
        [this, job, number](const Result<BatchStatus>& status) { submitted(job, number, status); });
  });
  world_.schedule(kAnswerTimeout, [this, job, number] {
    if (!job->settled && job->sends == number) {
      job->maybeAccepted = true;
      resubmit(job, number);
    }
  });
}

void BatchLoad::submitted(const JobPointer& job, int send, const Result<BatchStatus>& status) {
  if (status) {
    fleet_.invariants().batches.accepted(job->clientKey, job->submission, status.value());
    if (!job->settled) {
      accepted(job, status.value());
    }
    return;
  }
  job->maybeAccepted = job->maybeAccepted || status.error().ran != Ran::No;
  if (!job->settled && job->sends == send) {
    resubmit(job, send);
  }
}

void BatchLoad::resubmit(const JobPointer& job, int send) {
  if (job->sends >= kMaxSends || stopped_) {
    giveUp(job);
    return;
  }
  world_.schedule(world_.between(Duration{0}, kResendPause), [this, job, send] {
    if (!job->settled && job->sends == send) {
      submit(job);
    }
  });
}

void BatchLoad::giveUp(const JobPointer& job) {
  job->settled = true;
  --open_;
  if (job->maybeAccepted) {
    return;
  }
  for (const std::string& body : job->submission.items) {
    fleet_.invariants().runs.reportedNotRun(body);
  }
}

void BatchLoad::accepted(const JobPointer& job, const BatchStatus& status) {
  job->settled = true;
  --open_;
  world_.trace(job->clientKey + " accepted as " + status.id + " with " +
               std::to_string(job->submission.items.size()) + " items");
  fleet_.acknowledged();
  checkReadable(job);
  readLater(job);
  if (world_.chance() < options_.cancels) {
    world_.schedule(world_.between(Duration{0}, kMaxCancelDelay), [this, job] { cancel(job); });
  }
}

void BatchLoad::checkReadable(const JobPointer& job) {
  const Time acceptedAt = world_.now();
  read(job);
  world_.schedule(kReadableBound, [this, job, acceptedAt] {
    const BatchLog::Batch& batch = fleet_.invariants().batches.batches().at(job->clientKey);
    if (!batch.readOnce && fleet_.healthySince(acceptedAt)) {
      world_.violation("readable about a second after acceptance", job->clientKey);
    }
  });
}

void BatchLoad::readLater(const JobPointer& job) {
  world_.schedule(world_.between(Duration{0}, 2 * kReadPause), [this, job] {
    const BatchLog::Batch& batch = fleet_.invariants().batches.batches().at(job->clientKey);
    if (!batch.complete()) {
      read(job);
      readLater(job);
    } else if (!stopped_ && world_.chance() < kRereadProbability) {
      job->readFrom = world_.pick(batch.bodies.size());
      read(job);
      readLater(job);
    }
    if (world_.chance() < kUnfinishedReadProbability) {
      readUnfinished(job);
    }
  });
}

void BatchLoad::read(const JobPointer& job) {
  const BatchLog::Batch& batch = fleet_.invariants().batches.batches().at(job->clientKey);
  const std::uint64_t known = batch.results.size();
  const bool reread = world_.chance() < kRereadProbability;
  const std::uint64_t from = reread && known > 0 ? world_.pick(known) : known;
  const NodeId front = fleet_.anyFront();
  fleet_.node(front).post([this, job, front, from, tenant = batch.tenant, id = batch.id] {
    fleet_.front(front)->cores.batches.results(
        tenant, id, from, kPageLimit, [this, job, from](const Result<ResultPage>& page) {
          if (page) {
            fleet_.invariants().batches.readResults(job->clientKey, from, page.value());
          } else {
            fleet_.invariants().batches.readFailed(job->clientKey, page.error());
          }
        });
  });
}

void BatchLoad::readUnfinished(const JobPointer& job) {
  const BatchLog::Batch& batch = fleet_.invariants().batches.batches().at(job->clientKey);
  const NodeId front = fleet_.anyFront();
  fleet_.node(front).post([this, job, front, tenant = batch.tenant, id = batch.id] {
    fleet_.front(front)->cores.batches.unfinished(
        tenant, id, 0, kPageLimit, [this, job](const Result<std::vector<UnfinishedItem>>& items) {
          if (items) {
            fleet_.invariants().batches.readUnfinished(job->clientKey, items.value());
          } else {
            fleet_.invariants().batches.readFailed(job->clientKey, items.error());
          }
        });
  });
}

void BatchLoad::cancel(const JobPointer& job) {
  const BatchLog::Batch& batch = fleet_.invariants().batches.batches().at(job->clientKey);
  fleet_.invariants().batches.cancelSent(job->clientKey);
  const NodeId front = fleet_.anyFront();
  fleet_.node(front).post([this, job, front, tenant = batch.tenant, id = batch.id] {
    fleet_.front(front)->cores.batches.cancel(
        tenant, id, [this, job](const Result<BatchStatus>& status) {
          if (status) {
            world_.trace(job->clientKey + " cancelled");
            fleet_.invariants().batches.cancelAcknowledged(job->clientKey);
          } else {
            fleet_.invariants().batches.readFailed(job->clientKey, status.error());
          }
        });
  });
}

}  // namespace shedshed::sim
