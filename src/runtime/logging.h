/// @file
/// Logging with log4cplus to standard error. Only state changes are logged; metrics cover the rest.
#pragma once

#include "kernel/error.h"
#include "kernel/trace_event.h"

#include <string>

namespace shedshed {

/// Sets up logging for the process. @p level is `error`, `warn`, `info` or `debug`.
void initializeLogging(const std::string& level);

/// Logs @p event at the level of its severity.
void logEvent(const std::string& component, const TraceEvent& event);

void logInfo(const std::string& component, const std::string& text);
void logWarning(const std::string& component, const std::string& text);
void logError(const std::string& component, const Error& error);

}  // namespace shedshed
