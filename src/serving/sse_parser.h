/// @file
/// Incremental parser of `text/event-stream` bodies.
#pragma once

#include "kernel/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Largest data of one event, in bytes.
inline constexpr std::size_t kMaxEventBytes = 1U << 20U;

/// Parses a byte stream, fed in chunks of any size, into events. Lines end with LF or CRLF.
/// Comments and fields other than `data` are ignored. The data lines of an event are joined with
/// LF.
class SseParser {
 public:
  explicit SseParser(std::size_t maxEventBytes = kMaxEventBytes) : maxEventBytes_(maxEventBytes) {}

  /// Parses @p bytes and appends the data of each completed event to @p events. Fails with
  /// `TooLarge` if a line or an event exceeds the size limit; the parser must not be used
  /// afterwards.
  Status feed(std::string_view bytes, std::vector<std::string>& events);

  /// Returns true if part of an incomplete event is buffered.
  bool hasPartialEvent() const { return !line_.empty() || hasData_; }

 private:
  void processLine(std::string_view line, std::vector<std::string>& events);

  std::size_t maxEventBytes_;
  std::string line_;
  std::string data_;
  bool hasData_ = false;
};

}  // namespace shedshed
