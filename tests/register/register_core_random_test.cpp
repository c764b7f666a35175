/// @file
/// Randomized runs: concurrent changes and reads from all nodes under message loss, duplication,
/// reordering and power loss, checked against the semantics of a compare-and-swap register.
#include "register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

struct Attempt {
  std::string via;
  std::string idempotencyKey;
  std::uint64_t base = 0;
  std::optional<Result<ChangeOutcome>> outcome;
  bool nodeCrashed = false;  ///< Its node crashed before it reported the outcome.
};

struct Read {
  std::string via;
  std::uint64_t acknowledgedBefore = 0;
  std::optional<Result<RegisterValue>> value;
  bool nodeCrashed = false;
};

class RandomRun {
 public:
  RandomRun(std::uint64_t seed, RegisterSafeguards safeguards) : fleet_(6, 2, safeguards) {
    (void)fleet_.form();
    fleet_.harness.random.seed(seed);
    fleet_.syncRate = seed % 2 == 0 ? 0.3 : 0.05;
  }

  /// Returns the first violation, or an empty string.
  std::string run() {
    for (int step = 0; step < 9000; ++step) {
      fleet_.randomStep();
      const std::uint64_t draw = fleet_.harness.random() % 1000;
      if (draw < 8 && attempts_.size() < 40) {
        startChange();
      } else if (draw < 12) {
        startRead();
      } else if (draw < 14) {
        crashOrRestart(fleet_.harness.random() % 8 == 0);
      }
    }
    return check();
  }

 private:
  std::string randomNode() {
    auto it = fleet_.nodes.begin();
    std::advance(it, fleet_.harness.random() % fleet_.nodes.size());
    return it->first;
  }

  std::uint64_t newestAcknowledged() const {
    std::uint64_t newest = 0;
    for (const auto& attempt : attempts_) {
      if (attempt->outcome && *attempt->outcome) {
        newest = std::max(newest, attempt->outcome->value().version);
      }
    }
    return newest;
  }

  void startChange() {
    const std::string via = randomNode();
    if (!fleet_.isUp(via)) {
      return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->via = via;
    attempt->idempotencyKey = "order-" + std::to_string(attempts_.size());
    attempt->base = std::max(newestAcknowledged(), newestRead_);
    attempts_.push_back(attempt);
    fleet_.registers(via).change(
        {kSettingsRegister, attempt->base, attempt->idempotencyKey, attempt->idempotencyKey, {}},
        [attempt](Result<ChangeOutcome> outcome) { attempt->outcome = std::move(outcome); });
  }

  void startRead() {
    const std::string via = randomNode();
    if (!fleet_.isUp(via)) {
      return;
    }
    auto read = std::make_shared<Read>();
    read->via = via;
    read->acknowledgedBefore = std::max(newestAcknowledged(), newestRead_);
    reads_.push_back(read);
    fleet_.registers(via).read(kSettingsRegister, [this, read](Result<RegisterValue> value) {
      if (value) {
        newestRead_ = std::max(newestRead_, value.value().version);
      }
      read->value = std::move(value);
    });
  }

  void crashOrRestart(bool everyNode) {
    for (const auto& node : fleet_.nodes) {
      if (!fleet_.isUp(node.first)) {
        fleet_.start(node.first);
      } else if (everyNode) {
        crash(node.first);
      }
    }
    if (!everyNode) {
      crash(randomNode());
    }
  }

  void crash(const std::string& name) {
    for (auto& attempt : attempts_) {
      attempt->nodeCrashed = attempt->nodeCrashed || (attempt->via == name && !attempt->outcome);
    }
    for (auto& read : reads_) {
      read->nodeCrashed = read->nodeCrashed || (read->via == name && !read->value);
    }
    fleet_.crash(name);
  }

  std::string check() {
    for (const auto& node : fleet_.nodes) {
      if (!fleet_.isUp(node.first)) {
        fleet_.start(node.first);
      }
    }
    for (auto& attempt : attempts_) {
      if (!attempt->nodeCrashed) {
        (void)fleet_.await(attempt->outcome);
      }
    }
    for (auto& read : reads_) {
      if (!read->nodeCrashed) {
        (void)fleet_.await(read->value);
      }
    }
    const Result<RegisterValue> final = fleet_.read("d1");
    if (!final) {
      return "no final read";
    }
    if (final.value().version < std::max(newestAcknowledged(), newestRead_)) {
      return "an acknowledged version is lost";
    }
    std::map<std::uint64_t, std::string> history;
    for (const auto& attempt : attempts_) {
      const std::string violation = resend(*attempt, history);
      if (!violation.empty()) {
        return attempt->idempotencyKey + ": " + violation;
      }
    }
    if (history.size() != final.value().version) {
      return "a version has no change";
    }
    return checkReads(history);
  }

  std::string resend(const Attempt& attempt, std::map<std::uint64_t, std::string>& history) {
    const Result<ChangeOutcome> again =
        fleet_.change("d2", attempt.base, attempt.idempotencyKey, attempt.idempotencyKey);
    const bool tookEffect = again && again.value().repeated;
    if (tookEffect && !history.emplace(again.value().version, attempt.idempotencyKey).second) {
      return "two changes produced one version";
    }
    if (attempt.nodeCrashed) {
      return {};
    }
    if (*attempt.outcome) {
      const bool same = tookEffect && again.value().version == attempt.outcome->value().version;
      return same ? "" : "an acknowledged change is lost";
    }
    const ErrorCode code = attempt.outcome->error().code;
    if (code == ErrorCode::OutcomeUnknown) {
      return {};
    }
    return tookEffect ? "a rejected change took effect" : "";
  }

  std::string checkReads(const std::map<std::uint64_t, std::string>& history) {
    for (const auto& read : reads_) {
      if (read->nodeCrashed || !read->value || !*read->value) {
        continue;
      }
      const RegisterValue& value = read->value->value();
      if (value.version < read->acknowledgedBefore) {
        return "a read returned an old version";
      }
      const auto written = history.find(value.version);
      if (value.version > 0 && (written == history.end() || written->second != value.value)) {
        return "a read returned a value that was never committed";
      }
    }
    return {};
  }

  RegisterFleet fleet_;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  std::vector<std::shared_ptr<Read>> reads_;
  std::uint64_t newestRead_ = 0;
};

/// Returns how many of @p seeds runs find a violation.
int countViolations(int seeds, RegisterSafeguards safeguards) {
  int violations = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const std::string violation = RandomRun(static_cast<std::uint64_t>(seed), safeguards).run();
    if (!violation.empty()) {
      ++violations;
      BOOST_TEST_MESSAGE("seed " << seed << ": " << violation);
    }
  }
  return violations;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(register_random_runs)

BOOST_AUTO_TEST_CASE(random_runs_preserve_register_semantics) {
  BOOST_TEST(countViolations(120, {}) == 0);
}

BOOST_AUTO_TEST_CASE(random_runs_detect_verdicts_on_uncommitted_states) {
  RegisterSafeguards safeguards;
  safeguards.finishBeforeAnswer = false;
  BOOST_TEST(countViolations(60, safeguards) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
