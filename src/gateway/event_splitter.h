/// @file
/// Finds the whole events of a `text/event-stream`.
#pragma once

#include <string>
#include <string_view>

namespace shedshed {

/// Cuts bytes into whole events without changing them. An event ends with an empty line.
class EventSplitter {
 public:
  /// Adds bytes as they arrived. Returns the whole events that they complete, in one piece; valid
  /// until the next call.
  std::string_view add(std::string_view bytes);

  /// Id of the last whole event that had one; empty if none had.
  const std::string& lastId() const { return lastId_; }

  /// True if bytes of an unfinished event wait.
  bool hasPartialEvent() const { return returnedBytes_ < buffer_.size(); }

 private:
  void readIds(std::string_view events);

  std::string buffer_;
  std::size_t returnedBytes_ = 0;  ///< Bytes of the buffer that were returned.
  std::string lastId_;
};

/// Collects the data of all events of a stream, separated by line feeds.
class EventDataCollector {
 public:
  /// Adds whole events.
  void add(std::string_view events);
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
  bool hasData_ = false;
};

}  // namespace shedshed
