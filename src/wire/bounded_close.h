/// @file
/// Closes resources with a timeout.
#pragma once

#include <chrono>
#include <functional>

namespace shedshed {

/// Runs @p close on a separate thread and waits for it, at most for @p timeout.
///
/// Used for nng sockets: closing one can block forever on the library's own threads. Returns false
/// if @p close did not return in time; its thread then runs until the process ends, so @p close
/// must own what it uses.
bool closeWithin(std::chrono::milliseconds timeout, std::function<void()> close);

}  // namespace shedshed
