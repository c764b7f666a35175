/// @file
/// A change of state as an event with typed fields, for the log of a process and the trace of a
/// simulation.
#pragma once

#include "kernel/error.h"
#include "kernel/node_id.h"
#include "kernel/time.h"

#include <string>
#include <string_view>
#include <type_traits>

namespace shedshed {

/// How urgent an event is for an operator.
enum class Severity : std::uint8_t {
  Info,     ///< Expected in operation.
  Warning,  ///< The node continues, with less than it should have.
  Error,    ///< The node has stopped doing part of its work until an operator acts.
};

/// One event: a name in UpperCamel and fields in snake_case, in the order in which they were added.
/// Log searches rely on the names; docs/OPERATIONS.md lists them.
///
///     context.logEvent(TraceEvent("TakeoverSlow", Severity::Warning)
///                          .field("partition", partition).field("epoch", epoch));
class TraceEvent {
 public:
  explicit TraceEvent(std::string_view name, Severity severity = Severity::Info)
      : severity_(severity), text_(name) {}

  TraceEvent& field(std::string_view name, std::string_view value);
  TraceEvent& field(std::string_view name, const char* value) {
    return field(name, std::string_view(value));
  }
  TraceEvent& field(std::string_view name, const NodeId& node) {
    return field(name, std::string_view(node.address));
  }
  /// Adds the type and the detail of @p error.
  TraceEvent& field(std::string_view name, const Error& error);
  /// Adds whole milliseconds; the name says so: "…_ms".
  TraceEvent& field(std::string_view name, Duration duration) {
    return field(name, toMilliseconds(duration));
  }
  template <class Number, class = std::enable_if_t<std::is_arithmetic_v<Number>>>
  TraceEvent& field(std::string_view name, Number value) {
    return field(name, std::string_view(std::to_string(value)));
  }

  Severity severity() const { return severity_; }

  /// The event on one line: `Name field=value field="value with blanks"`.
  const std::string& text() const { return text_; }

 private:
  Severity severity_;
  std::string text_;
};

}  // namespace shedshed
