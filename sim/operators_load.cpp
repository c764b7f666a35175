#include "sim/operators_load.h"

namespace shedshed::sim {
namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(7);
constexpr Duration kReadTimeout = std::chrono::seconds(8);
constexpr Duration kConfigureTimeout = std::chrono::seconds(30);
constexpr Duration kMaxResendPause = std::chrono::seconds(3);
constexpr int kMaxSends = 6;
constexpr double kWithdrawalProbability = 0.3;
constexpr std::uint32_t kMinBurst = 8;
constexpr std::uint32_t kBurstRange = 12;

}  // namespace

NodeId OperatorsLoad::anyNode() {
  const std::vector<NodeId> nodes = fleet_.allNodes();
  return nodes[world_.pick(nodes.size())];
}

bool OperatorsLoad::configure() {
  bool listed = false;
  bool written = false;
  ChangeRequest engines;
  engines.registerName = kEnginesRegister;
  engines.idempotencyKey = "engines-1";
  engines.value = fleet_.engines().listing();
  const NodeId first = fleet_.stores()[0];
  fleet_.registerOf(first)->change(
      engines, [&listed](const Result<ChangeOutcome>& outcome) { listed = bool(outcome); });
  changeOnce(first, [&written](bool success) { written = success; });
  return world_.runUntil([&] { return listed && written; }, kConfigureTimeout);
}

void OperatorsLoad::start() {
  for (int operatorIndex = 0; operatorIndex < options_.operators; ++operatorIndex) {
    world_.schedule(world_.between(Duration{0}, options_.pause),
                    [this, operatorIndex] { next(operatorIndex); });
  }
}

void OperatorsLoad::next(int operatorIndex) {
  if (stopped_) {
    return;
  }
  const auto again = [this, operatorIndex](bool) {
    world_.schedule(world_.between(Duration{0}, 2 * options_.pause),
                    [this, operatorIndex] { next(operatorIndex); });
  };
  if (!applied_.empty() && world_.chance() < options_.oldResends) {
    const auto order = std::make_shared<Order>(applied_[world_.pick(applied_.size())]);
    order->done = again;
    order->answered = false;
    order->sends = 0;
    ++open_;
    send(order, anyNode());
    return;
  }
  propose(anyNode(), again);
}

void OperatorsLoad::changeOnce(const NodeId& node, std::function<void(bool)> done) {
  propose(node, done);
}

void OperatorsLoad::propose(const NodeId& node, const std::function<void(bool)>& done) {
  ++open_;
  const auto answered = std::make_shared<bool>(false);
  const std::uint64_t newest = fleet_.invariants().settings.newestAcknowledged();
  fleet_.node(node).post([this, node, done, answered, newest] {
    fleet_.registerOf(node)->read(
        kSettingsRegister, [this, node, done, answered, newest](const Result<RegisterValue>& read) {
          if (*answered) {
            return;
          }
          *answered = true;
          if (!read) {
            --open_;
            done(false);
            return;
          }
          fleet_.invariants().settings.readAnswered(newest, read.value());
          build(node, read.value(), done);
        });
  });
  world_.schedule(kReadTimeout, [this, done, answered] {
    if (!*answered) {
      *answered = true;
      --open_;
      done(false);
    }
  });
}

void OperatorsLoad::build(const NodeId& node, const RegisterValue& base,
                          const std::function<void(bool)>& done) {
  const SettingsModel* known = fleet_.invariants().history.find(base.value);
  SettingsModel model = known == nullptr ? SettingsModel{} : *known;
  model.orderId = "order-" + std::to_string(++lastOrder_);
  if (world_.chance() < kWithdrawalProbability) {
    // The last key of each tenant is never withdrawn.
    const int tenant = static_cast<int>(world_.pick(kTenants));
    const int index = static_cast<int>(world_.pick(kKeysPerTenant - 1));
    model.withdrawnKeys.insert(callerKey(tenant, index));
  } else {
    model.burst = kMinBurst + static_cast<std::uint32_t>(world_.pick(kBurstRange));
  }
  const auto order = std::make_shared<Order>();
  order->orderId = model.orderId;
  order->value = fleet_.invariants().history.propose(model);
  order->baseVersion = base.version;
  order->done = done;
  send(order, node);
}

void OperatorsLoad::send(const OrderPointer& order, const NodeId& node) {
  const int number = ++order->sends;
  ChangeRequest request;
  request.registerName = kSettingsRegister;
  request.baseVersion = order->baseVersion;
  request.idempotencyKey = order->orderId;
  request.value = order->value;
  fleet_.node(node).post([this, order, number, node, request] {
    fleet_.registerOf(node)->change(request,
                                    [this, order, number](const Result<ChangeOutcome>& outcome) {
                                      if (world_.chance() >= options_.lostAnswers) {
                                        answered(order, number, outcome);
                                      }
                                    });
  });
  world_.schedule(kAnswerTimeout, [this, order, number] {
    if (!order->answered && order->sends == number) {
      resend(order);
    }
  });
}

void OperatorsLoad::answered(const OrderPointer& order, int send,
                             const Result<ChangeOutcome>& outcome) {
  fleet_.invariants().settings.changeAnswered(order->orderId, order->value, outcome);
  if (order->answered || order->sends != send) {
    return;
  }
  if (outcome) {
    applied_.push_back(*order);
    world_.trace(order->orderId + " applied as version " + std::to_string(outcome.value().version));
    const std::uint64_t version = outcome.value().version;
    const Time acknowledged = world_.now();
    if (!outcome.value().repeated) {
      world_.schedule(kAdoptionBound, [this, version, acknowledged] {
        fleet_.checkAdoption(version, acknowledged);
      });
    }
    fleet_.acknowledged();
    finish(order, true);
    return;
  }
  const ErrorCode code = outcome.error().code;
  if (code == ErrorCode::VersionConflict || code == ErrorCode::IdempotencyKeyReused) {
    finish(order, false);
    return;
  }
  resend(order);
}

void OperatorsLoad::resend(const OrderPointer& order) {
  if (order->sends >= kMaxSends || stopped_) {
    finish(order, false);
    return;
  }
  const int number = order->sends;
  world_.schedule(world_.between(Duration{0}, kMaxResendPause), [this, order, number] {
    if (!order->answered && order->sends == number) {
      send(order, anyNode());
    }
  });
}

void OperatorsLoad::finish(const OrderPointer& order, bool success) {
  order->answered = true;
  --open_;
  if (order->done) {
    const auto done = std::move(order->done);
    order->done = nullptr;
    done(success);
  }
}

}  // namespace shedshed::sim
