/// @file
/// Identity of a node of the fleet.
#pragma once

#include <functional>
#include <msgpack.hpp>
#include <string>

namespace shedshed {

/// A node is named by its internal address, "a.b.c.d:port", which is unique in the fleet.
/// An emptied machine that returns at the same address is told apart by its store id and
/// incarnation, not by this value.
struct NodeId {
  std::string address;

  bool operator==(const NodeId& other) const { return address == other.address; }
  bool operator!=(const NodeId& other) const { return address != other.address; }
  bool operator<(const NodeId& other) const { return address < other.address; }
  bool empty() const { return address.empty(); }

  MSGPACK_DEFINE(address);
};

}  // namespace shedshed

template <>
struct std::hash<shedshed::NodeId> {
  std::size_t operator()(const shedshed::NodeId& id) const {
    return std::hash<std::string>()(id.address);
  }
};
