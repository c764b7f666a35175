/// @file
/// A directory whose nodes are set by the test.
#pragma once

#include "membership/directory.h"

#include <algorithm>

namespace shedshed::test {

class FixedDirectory : public Directory {
 public:
  std::shared_ptr<const NodeTable> table() const override { return nodes; }
  void addListener(std::function<void(const NodeTable&)>) override {}
  void announceDraining(bool) override {}
  void add(const std::string& id, NodeRole role) { set(id, role, NodeState::Alive); }
  void set(const std::string& id, NodeRole role, NodeState state) {
    auto next = std::make_shared<NodeTable>(*nodes);
    NodeInfo info;
    info.id = NodeId{id};
    info.role = role;
    info.state = state;
    info.name = "machine-" + id;
    if (role != NodeRole::Data) {
      info.storeId = "disk-" + id;
    }
    next->nodes.erase(std::remove_if(next->nodes.begin(), next->nodes.end(),
                                     [&](const NodeInfo& node) { return node.id == info.id; }),
                      next->nodes.end());
    next->nodes.push_back(info);
    std::sort(next->nodes.begin(), next->nodes.end(),
              [](const NodeInfo& left, const NodeInfo& right) { return left.id < right.id; });
    nodes = next;
  }
  void setZone(const std::string& id, const std::string& zone) {
    edit(id, [&](NodeInfo& info) { info.zone = zone; });
  }
  void setStoreId(const std::string& id, const std::string& storeId) {
    edit(id, [&](NodeInfo& info) { info.storeId = storeId; });
  }
  std::shared_ptr<const NodeTable> nodes = std::make_shared<NodeTable>();

 private:
  template <class Edit>
  void edit(const std::string& id, Edit change) {
    auto next = std::make_shared<NodeTable>(*nodes);
    for (NodeInfo& info : next->nodes) {
      if (info.id.address == id) {
        change(info);
      }
    }
    nodes = next;
  }
};

}  // namespace shedshed::test
