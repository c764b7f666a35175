/// @file
/// Adapts the callback interfaces of the cores to stackful coroutines.
#pragma once

#include "serving/core_executor.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

namespace shedshed {

/// Runs @p start on the core thread, hands it a callback of type `void(T)` and suspends the
/// coroutine until that callback is called. The coroutine resumes on its own strand.
///
/// The callback must be called exactly once. Example:
/// `awaitCore<Result<SlotGrant>>(core, yield, [&](auto done) { slots.acquire(request, done); })`
template <class T, class Start>
T awaitCore(CoreExecutor& core, boost::asio::yield_context yield, Start start) {
  auto value = std::make_shared<std::optional<T>>();
  const auto initiate = [&core, &start, value](auto&& handler) {
    using Handler = std::decay_t<decltype(handler)>;
    const auto executor = boost::asio::get_associated_executor(handler);
    auto resume = std::make_shared<Handler>(std::forward<decltype(handler)>(handler));
    auto done = [value, resume, executor](T result) {
      value->emplace(std::move(result));
      boost::asio::post(executor, [resume]() { (*resume)(); });
    };
    core.post([start = std::move(start), done = std::move(done)]() mutable { start(done); });
  };
  boost::asio::async_initiate<boost::asio::yield_context, void()>(initiate, yield);
  return std::move(**value);
}

}  // namespace shedshed
