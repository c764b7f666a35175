/// @file
/// Ballots: the proposal numbers that order the attempts of all proposers.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <tuple>

namespace shedshed {

/// Number of one attempt. Unique in the fleet: a proposer uses each round once, and the
/// incarnation is drawn at random at each start of a proposer. The zero ballot means "never".
struct Ballot {
  std::uint64_t round = 0;
  std::uint64_t incarnation = 0;

  bool isZero() const { return round == 0; }
  bool operator==(const Ballot& other) const {
    return round == other.round && incarnation == other.incarnation;
  }
  bool operator!=(const Ballot& other) const { return !(*this == other); }
  bool operator<(const Ballot& other) const {
    return std::tie(round, incarnation) < std::tie(other.round, other.incarnation);
  }

  MSGPACK_DEFINE(round, incarnation);
};

}  // namespace shedshed
