/// @file
/// Simulated operators: concurrent changes of registers, resent after lost answers.
#pragma once

#include "sim/sim_fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace shedshed::sim {

/// Behaviour of the operators.
struct OperatorLoadOptions {
  int operators = 2;
  Duration pause = std::chrono::seconds(2);  ///< Mean pause between two changes of one operator.
  double lostAnswers = 0.1;                  ///< Probability that an answer is lost.
  double oldResends = 0.1;  ///< Probability that an old order is sent again in place of a new one.
};

/// Operators that change the settings until `stop`.
class OperatorsLoad {
 public:
  explicit OperatorsLoad(SimFleet& fleet) : fleet_(fleet), world_(fleet.world()) {}

  OperatorLoadOptions& options() { return options_; }

  /// Writes the first settings and the engine listing.
  /// @return false if they are not written in time
  bool configure();
  void start();
  /// Stops all changes except those of `changeOnce`, and loses no more answers: the recovery checks
  /// need each change to be acknowledged.
  void stop() {
    stopped_ = true;
    options_.lostAnswers = 0;
  }
  bool idle() const { return open_ == 0; }
  /// Proposes one change at @p node; @p done gets true if it was applied.
  void changeOnce(const NodeId& node, std::function<void(bool)> done);

 private:
  /// One order, as sent and resent.
  struct Order {
    std::string orderId;
    std::string value;
    std::uint64_t baseVersion = 0;
    int sends = 0;
    bool answered = false;
    std::function<void(bool)> done;
  };
  using OrderPointer = std::shared_ptr<Order>;

  void next(int operatorIndex);
  void propose(const NodeId& node, const std::function<void(bool)>& done);
  void build(const NodeId& node, const RegisterValue& base, const std::function<void(bool)>& done);
  void send(const OrderPointer& order, const NodeId& node);
  void answered(const OrderPointer& order, int send, const Result<ChangeOutcome>& outcome);
  void resend(const OrderPointer& order);
  void finish(const OrderPointer& order, bool success);
  NodeId anyNode();

  SimFleet& fleet_;
  World& world_;
  OperatorLoadOptions options_;
  std::vector<Order> applied_;
  std::uint64_t lastOrder_ = 0;
  int open_ = 0;
  bool stopped_ = false;
};

}  // namespace shedshed::sim
