/// @file
/// Random choice among nodes, drawn from a core's own random engine so that a seed replays it.
#pragma once

#include "kernel/core.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace shedshed {

/// Shuffles @p values.
template <class T>
void shuffle(std::vector<T>& values, RandomEngine& random) {
  for (std::size_t i = values.size(); i > 1; --i) {
    std::swap(values[i - 1], values[random() % i]);
  }
}

/// Reduces @p values to @p count random ones; draws nothing if there are no more than that.
template <class T>
void keepRandom(std::vector<T>& values, std::size_t count, RandomEngine& random) {
  if (values.size() <= count) {
    return;
  }
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(values[i], values[i + random() % (values.size() - i)]);
  }
  values.resize(count);
}

}  // namespace shedshed
