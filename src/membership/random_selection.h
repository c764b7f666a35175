/// @file
/// Random selection with a core's own random engine, so that a run is reproducible from its seed.
#pragma once

#include "kernel/core.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace shedshed {

template <class T>
void shuffle(std::vector<T>& values, RandomEngine& random) {
  for (std::size_t i = values.size(); i > 1; --i) {
    std::swap(values[i - 1], values[random() % i]);
  }
}

/// Reduces @p values to @p count random ones; draws no random number if there are no more.
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
