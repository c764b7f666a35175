/// @file
/// Splitting of a `text/event-stream` into complete events.
#pragma once

#include <string>
#include <string_view>

namespace shedshed {

/// Splits a byte stream into complete events without changing them. An empty line ends an event.
class EventSplitter {
 public:
  /// Appends received bytes. Returns all events that are now complete, as one view that is valid
  /// until the next call.
  std::string_view add(std::string_view bytes);

  /// Returns the id of the last complete event that had one, or empty.
  const std::string& lastId() const { return lastId_; }

  /// Returns true if bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return returnedBytes_ < buffer_.size(); }

 private:
  void readIds(std::string_view events);

  std::string buffer_;
  std::size_t returnedBytes_ = 0;  ///< Length of the part of the buffer that `add` returned.
  std::string lastId_;
};

/// Collects the `data` fields of all events of a stream, separated by line feeds.
class EventDataCollector {
 public:
  /// Adds complete events.
  void add(std::string_view events);
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
  bool hasData_ = false;
};

}  // namespace shedshed
