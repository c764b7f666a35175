/// @file
/// Simulated callers: live calls and batches.
#pragma once

#include "sim/sim_fleet.h"

#include <memory>
#include <string>

namespace shedshed::sim {

/// Outcomes of live calls.
struct LiveCounts {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
};

/// Live callers; each call goes to a random front.
class LiveLoad {
 public:
  explicit LiveLoad(SimFleet& fleet) : fleet_(fleet), world_(fleet.world()) {}

  void start(double callsPerSecond);
  void stop() { stopped_ = true; }
  const LiveCounts& counts() const { return counts_; }
  /// Sends one call with a key that is never withdrawn; @p done gets true if it was answered.
  void callOnce(const NodeId& front, int tenant, std::function<void(bool)> done);

 private:
  void next();
  void send(const NodeId& front, LiveCall call, std::function<void(bool)> done);
  void checkAnswer(const LiveCall& call, const Result<EngineAnswer>& answer);
  std::string newBody();

  SimFleet& fleet_;
  World& world_;
  LiveCounts counts_;
  double callsPerSecond_ = 0;
  std::uint64_t lastBody_ = 0;
  bool stopped_ = false;
};

/// Behaviour of the batch callers.
struct BatchLoadOptions {
  Duration pause = std::chrono::seconds(4);
  std::size_t maxItems = 40;
  double cancels = 0.15;
  double repeatable = 0.3;
};

/// Callers that submit, read, re-read and cancel batches at random fronts.
class BatchLoad {
 public:
  explicit BatchLoad(SimFleet& fleet) : fleet_(fleet), world_(fleet.world()) {}

  BatchLoadOptions& options() { return options_; }
  void start();
  /// Stops submitting; continues to read.
  void stop() { stopped_ = true; }
  /// True if no submission is pending.
  bool submissionsDone() const { return open_ == 0; }

 private:
  struct Job {
    std::string clientKey;
    BatchSubmission submission;
    int sends = 0;
    bool settled = false;  ///< Accepted or abandoned.
    bool maybeAccepted = false;
    std::uint64_t readFrom = 0;
  };
  using JobPointer = std::shared_ptr<Job>;

  void next();
  JobPointer newJob();
  void submit(const JobPointer& job);
  void submitted(const JobPointer& job, int send, const Result<BatchStatus>& status);
  void resubmit(const JobPointer& job, int send);
  void giveUp(const JobPointer& job);
  void accepted(const JobPointer& job, const BatchStatus& status);
  void checkReadable(const JobPointer& job);
  void readLater(const JobPointer& job);
  void read(const JobPointer& job);
  void readUnfinished(const JobPointer& job);
  void cancel(const JobPointer& job);

  SimFleet& fleet_;
  World& world_;
  BatchLoadOptions options_;
  std::uint64_t lastJob_ = 0;
  int open_ = 0;
  bool stopped_ = false;
};

}  // namespace shedshed::sim
