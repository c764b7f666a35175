/// @file
/// Ends something that may never return.
#pragma once

#include <chrono>
#include <functional>

namespace shedshed {

/// Runs @p close on a thread of its own and waits for it, at most for @p limit.
///
/// For sockets of nng: closing one can wait for ever for the library's own threads. False if
/// @p close had not returned; its thread then stays until the process ends, so @p close must own
/// what it uses.
bool closeWithin(std::chrono::milliseconds timeout, std::function<void()> close);

}  // namespace shedshed
