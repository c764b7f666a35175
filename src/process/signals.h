/// @file
/// Waiting for the platform's request to stop.
#pragma once

#include <chrono>

namespace shedshed {

/// Blocks the stop signals (SIGTERM, SIGINT) in the calling thread and all threads that it starts
/// later, and ignores SIGPIPE and SIGHUP. Called first in `main`.
void blockStopSignals();

/// Waits until a stop signal arrives.
void waitForStopSignal();

/// Waits for at most @p limit. Returns true if a stop signal has arrived.
bool waitForStopSignal(std::chrono::milliseconds limit);

}  // namespace shedshed
