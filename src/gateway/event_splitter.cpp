#include "gateway/event_splitter.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";

/// Removes the first line from @p text and returns it without its line ending.
std::string_view takeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

/// Sets @p value and returns true if @p line is a field of the name @p field.
bool fieldValue(std::string_view line, std::string_view field, std::string_view& value) {
  if (line.substr(0, field.size()) != field) {
    return false;
  }
  value = line.substr(field.size());
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return true;
}

/// Returns the position after the last empty line of @p text; 0 if there is none.
std::size_t endOfEvents(std::string_view text) {
  const std::size_t lf = text.rfind("\n\n");
  const std::size_t crlf = text.rfind("\r\n\r\n");
  const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
  const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 4;
  return std::max(lfEnd, crlfEnd);
}

}  // namespace

std::string_view EventSplitter::add(std::string_view bytes) {
  buffer_.erase(0, returnedBytes_);
  returnedBytes_ = 0;
  buffer_.append(bytes);
  returnedBytes_ = endOfEvents(buffer_);
  const std::string_view events = std::string_view(buffer_).substr(0, returnedBytes_);
  readIds(events);
  return events;
}

void EventSplitter::readIds(std::string_view events) {
  while (!events.empty()) {
    std::string_view id;
    if (fieldValue(takeLine(events), kIdField, id)) {
      lastId_ = std::string(id);
    }
  }
}

void EventDataCollector::add(std::string_view events) {
  while (!events.empty()) {
    std::string_view data;
    if (!fieldValue(takeLine(events), kDataField, data)) {
      continue;
    }
    if (hasData_) {
      text_ += '\n';
    }
    hasData_ = true;
    text_ += data;
  }
}

}  // namespace shedshed
