/// @file
/// In-memory services of a node, for tests of the operators' HTTP server.
#pragma once

#include "operators/operator_services.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sys/socket.h>
#include <unistd.h>

namespace shedshed::test {

/// Registers in memory with the rules of `ConfigurationRegister`.
class FakeRegister : public ConfigurationRegister {
 public:
  void change(ChangeRequest request, std::function<void(Result<ChangeOutcome>)> done) override {
    if (dropsChanges) {
      return;
    }
    RegisterValue& current = values[request.registerName];
    const std::string& content = request.content.empty() ? request.value : request.content;
    const auto applied = ledger.find(request.idempotencyKey);
    if (applied != ledger.end() && applied->second.first != content) {
      done(makeError(ErrorCode::IdempotencyKeyReused, "the order id was used for another change"));
    } else if (applied != ledger.end()) {
      done(ChangeOutcome{applied->second.second, true});
    } else if (request.baseVersion != current.version) {
      done(makeError(ErrorCode::VersionConflict, "the newest version is another"));
    } else {
      current = {current.version + 1, request.value};
      ledger[request.idempotencyKey] = {content, current.version};
      done(ChangeOutcome{current.version, false});
    }
  }
  void read(const std::string& registerName,
            std::function<void(Result<RegisterValue>)> done) override {
    done(values[registerName]);
  }

  bool dropsChanges = false;  ///< If set, changes are never answered.
  std::map<std::string, RegisterValue> values;
  std::map<std::string, std::pair<std::string, std::uint64_t>> ledger;
};

/// Forms a fleet once.
class FakeFleetForming : public FleetForming {
 public:
  void formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores,
                 std::function<void(Result<MemberList>)> done) override {
    if (formed) {
      done(makeError(ErrorCode::AlreadyExists, "the fleet was formed before"));
      return;
    }
    formed = true;
    MemberList members;
    for (const NodeId& id : acceptors) {
      members.acceptors.push_back({id, "store-" + id.address});
    }
    for (const NodeId& id : stores) {
      members.stores.push_back({id, "store-" + id.address});
    }
    done(members);
  }
  bool formed = false;
};

/// Runs tasks at once on the calling thread.
class ImmediateExecutor : public OperatorExecutor {
 public:
  void post(std::function<void()> task) override { task(); }
};

/// Returns a port of 127.0.0.1 that was free a moment ago.
inline std::uint16_t freePort() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  BOOST_REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
  BOOST_REQUIRE(::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  ::close(descriptor);
  return ntohs(address.sin_port);
}

/// A node with fake services.
struct FakeNode {
  FakeRegister registers;
  FakeFleetForming forming;
  ImmediateExecutor executor;
  Status ready = okStatus();
  OperatorServices services{registers, &forming,
                            [](std::string_view value) -> Status {
                              if (value == "bad") {
                                return makeError(ErrorCode::InvalidArgument, "/engines: found bad");
                              }
                              return okStatus();
                            },
                            [this] { return status(); },
                            [] { return std::string("calls_total 1\n"); }};

  NodeStatus status() const {
    NodeStatus status;
    status.self = NodeId{"127.0.0.1:7000"};
    status.role = NodeRole::Store;
    status.zone = "a";
    status.ready = ready;
    status.freshRemaining = std::chrono::milliseconds(3500);
    status.versionsInForce = {{"settings", 3}};
    auto nodes = std::make_shared<NodeTable>();
    nodes->nodes.push_back({NodeId{"127.0.0.1:7000"}, NodeRole::Store, NodeState::Alive, "a",
                            18446744073709551615U, "s", "127.0.0.1:7001", ""});
    status.nodes = nodes;
    status.epochs = {{"slots", 4, 9, true}};
    auto engines = std::make_shared<EngineTable>();
    engines->engines.push_back({"e1", "127.0.0.1:1", "m", 8, 0, EngineState::Ready});
    status.engines = engines;
    return status;
  }
};

}  // namespace shedshed::test
