#include "ctl/output.h"

#include "operators/http_errors.h"
#include "settings/error_json.h"
#include "settings/json.h"

#include <algorithm>

namespace shedshed::ctl {

namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

void TextTable::print(std::ostream& stream) const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : rows_) {
    std::string text;
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      text.append(widths[column] - row[column].size() + kColumnGap, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    stream << text << "\n";
  }
}

void Output::jsonIndented(const std::string& text) {
  const Result<JsonDocument> document = JsonDocument::parse(text);
  line(document ? JsonDocument::printJson(document.value().root(), true) : text);
}

void Output::note(const std::string& text) {
  if (!json_) {
    errors_ << text << "\n";
  }
}

ExitCode Output::fail(const Error& error) {
  const std::string hint = recoveryHint(error);
  if (json_) {
    line(errorJson(error, ""));
    return exitCodeOf(error);
  }
  errors_ << "error: " << errorTypeName(error.code) << ": " << error.detail << "\n";
  if (!hint.empty()) {
    errors_ << "next: " << hint << "\n";
  }
  return exitCodeOf(error);
}

ExitCode Output::usage(const std::string& text) {
  if (json_) {
    line(errorJson(makeError(ErrorCode::InvalidArgument, text), ""));
  } else {
    errors_ << "error: " << text << "\n";
  }
  return ExitCode::Usage;
}

}  // namespace shedshed::ctl
