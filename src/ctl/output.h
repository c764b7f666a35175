/// @file
/// Output of `shedctl`: text tables or JSON.
#pragma once

#include "ctl/exit_code.h"

#include <ostream>
#include <string>
#include <vector>

namespace shedshed::ctl {

/// A table with a heading; columns are as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> heading) : rows_{std::move(heading)} {}
  void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  void print(std::ostream& stream) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// Prints the results and errors of commands.
class Output {
 public:
  Output(std::ostream& results, std::ostream& errors, bool json)
      : results_(results), errors_(errors), json_(json) {}

  /// True if `--json` was given.
  bool isJson() const { return json_; }

  /// Prints a line of text, or a JSON text.
  void line(const std::string& text) { results_ << text << "\n"; }

  /// Prints a JSON text indented; unchanged if it is not JSON.
  void jsonIndented(const std::string& text);

  void table(const TextTable& table) { table.print(results_); }

  /// Prints a note to the error stream; nothing with `--json`.
  void note(const std::string& text);

  /// Prints the error with its recovery hint, and returns its exit code. With `--json` the error is
  /// printed to the result stream, in the form of docs/API.md.
  ExitCode fail(const Error& error);

  /// Prints a command-line error, and returns `ExitCode::Usage`.
  ExitCode usage(const std::string& text);

 private:
  std::ostream& results_;
  std::ostream& errors_;
  bool json_;
};

}  // namespace shedshed::ctl
