/// @file
/// A file of byte strings by label: what an earlier version wrote and this one must still read.
#pragma once

#include <fstream>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace shedshed::test {

/// Returns @p bytes as lower-case hexadecimal digits.
inline std::string toHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte / 16];
    text += kDigits[byte % 16];
  }
  return text;
}

/// Inverse of `toHex`. Throws std::invalid_argument for anything but hexadecimal digits.
inline std::string fromHex(std::string_view text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(std::string(text.substr(at, 2)), nullptr, 16));
  }
  return bytes;
}

/// Lines of "label hexadecimal-bytes"; lines that start with '#' are comments. A label has no
/// blanks.
class FormatFile {
 public:
  /// Reads @p path. Throws std::runtime_error if it cannot be read.
  explicit FormatFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
      throw std::runtime_error("cannot read " + path);
    }
    std::string line;
    while (std::getline(file, line)) {
      const std::size_t blank = line.find(' ');
      if (!line.empty() && line[0] != '#' && blank != std::string::npos) {
        entries_[line.substr(0, blank)] = line.substr(blank + 1);
      }
    }
  }

  /// The entries, by label: hexadecimal digits.
  const std::map<std::string, std::string>& entries() const { return entries_; }

 private:
  std::map<std::string, std::string> entries_;
};

}  // namespace shedshed::test
