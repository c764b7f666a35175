#include "settings/small_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace shedshed {

namespace {

constexpr std::size_t kMaxKeyFileBytes = 4096;
constexpr std::size_t kMinBearerKeyBytes = 8;
constexpr std::size_t kMaxBearerKeyBytes = 256;
constexpr const char* kWhiteSpace = " \t\r\n";

std::string trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) - begin + 1);
}

}  // namespace

Result<std::string> readSmallFile(const std::string& path, std::size_t maxBytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return makeError(ErrorCode::InvalidArgument, path + ": " + std::strerror(errno));
  }
  std::string content(maxBytes + 1, '\0');
  file.read(content.data(), static_cast<std::streamsize>(content.size()));
  if (file.bad()) {
    return makeError(ErrorCode::InvalidArgument, path + ": cannot be read");
  }
  content.resize(static_cast<std::size_t>(file.gcount()));
  if (content.size() > maxBytes) {
    return makeError(ErrorCode::TooLarge,
                     path + ": at most " + std::to_string(maxBytes) + " bytes are allowed");
  }
  return content;
}

Result<std::string> readBearerKeyFile(const std::string& path) {
  Result<std::string> content = readSmallFile(path, kMaxKeyFileBytes);
  if (!content) {
    return content;
  }
  std::string key = trimmed(content.value());
  const bool valid = key.size() >= kMinBearerKeyBytes && key.size() <= kMaxBearerKeyBytes &&
                     key.find_first_of(kWhiteSpace) == std::string::npos;
  if (!valid) {
    return makeError(ErrorCode::InvalidArgument,
                     path + ": allowed: a key of 8 to 256 bytes without white space");
  }
  return key;
}

Result<FleetKey> readFleetKeyFile(const std::string& path) {
  Result<std::string> content = readSmallFile(path, kMaxKeyFileBytes);
  if (!content) {
    return content.error();
  }
  Result<FleetKey> key = parseFleetKey(content.value());
  if (!key) {
    return makeError(ErrorCode::InvalidArgument, path + ": " + key.error().detail);
  }
  return key;
}

}  // namespace shedshed
