#include "serving/sse_parser.h"

namespace shedshed {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

Status SseParser::feed(std::string_view bytes, std::vector<std::string>& events) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() + data_.size() > maxEventBytes_) {
      return makeError(ErrorCode::TooLarge, "the event exceeds its size limit", Ran::Unknown);
    }
    if (end == std::string_view::npos) {
      return okStatus();
    }
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') {
      line_.pop_back();
    }
    processLine(line_, events);
    line_.clear();
  }
  return okStatus();
}

void SseParser::processLine(std::string_view line, std::vector<std::string>& events) {
  if (line.empty()) {
    if (hasData_) {
      events.push_back(std::move(data_));
    }
    data_.clear();
    hasData_ = false;
    return;
  }
  if (line.substr(0, kDataField.size()) != kDataField) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (hasData_) {
    data_.push_back('\n');
  }
  data_.append(line);
  hasData_ = true;
}

}  // namespace shedshed
