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

/// Cuts a byte stream into events. Accepts any split of the bytes. Lines end with LF or CRLF;
/// comments and fields other than `data` are skipped; several data lines are joined with LF.
class SseParser {
 public:
  explicit SseParser(std::size_t maxEventBytes = kMaxEventBytes) : maxEventBytes_(maxEventBytes) {}

  /// Takes @p bytes and appends the data of each event that they complete to @p events. Fails with
  /// `TooLarge` once a line or an event passes the bound; the parser is unusable then.
  Status feed(std::string_view bytes, std::vector<std::string>& events);

  /// True if bytes of an unfinished event are held.
  bool hasPartialEvent() const { return !line_.empty() || hasData_; }

 private:
  void processLine(std::string_view line, std::vector<std::string>& events);

  std::size_t maxEventBytes_;
  std::string line_;
  std::string data_;
  bool hasData_ = false;
};

}  // namespace shedshed
