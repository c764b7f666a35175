#include "settings/process_values.h"

#include "settings/ip_port.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>
#include <optional>

namespace shedshed {

namespace {

constexpr std::size_t kMaxSeeds = 16;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kMaxPort = 65535;
constexpr std::uint32_t kMaxMegabytes = 1U << 30U;
/// A fleet is formed of at most 2 x 4 + 1 acceptors.
constexpr std::uint32_t kMaxToleratedLosses = 4;
constexpr double kMaxSeconds = 86400;

/// Reads a whole number from 0 to @p maximum.
std::optional<std::uint32_t> parseUnsigned(const std::string& text, std::uint32_t maximum) {
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number > maximum) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

bool parseRole(ProcessSettings& settings, const std::string& value) {
  settings.role = value == "store" ? ControlRole::Store : ControlRole::Register;
  return value == "store" || value == "register";
}

bool parseSeeds(ProcessSettings& settings, const std::string& value) {
  settings.seeds.clear();
  std::size_t begin = 0;
  while (begin <= value.size()) {
    const std::size_t end = std::min(value.find(',', begin), value.size());
    const std::string address = value.substr(begin, end - begin);
    if (!isIpPort(address)) {
      return false;
    }
    settings.seeds.push_back(NodeId{address});
    begin = end + 1;
  }
  return settings.seeds.size() <= kMaxSeeds;
}

bool parseLogLevel(ProcessSettings& settings, const std::string& value) {
  static const std::map<std::string, LogLevel> levels = {{"error", LogLevel::Error},
                                                         {"warn", LogLevel::Warn},
                                                         {"info", LogLevel::Info},
                                                         {"debug", LogLevel::Debug}};
  const auto found = levels.find(value);
  if (found == levels.end()) {
    return false;
  }
  settings.logLevel = found->second;
  return true;
}

ProcessValueParser textParser(std::string ProcessSettings::*member,
                              bool (*allowed)(const std::string&)) {
  return [member, allowed](ProcessSettings& settings, const std::string& value) {
    settings.*member = value;
    return allowed(value);
  };
}

bool parseInternalAddress(ProcessSettings& settings, const std::string& value) {
  settings.internalAddress.address = value;
  return isIpPort(value);
}

bool parseSeedPort(ProcessSettings& settings, const std::string& value) {
  const auto port = parseUnsigned(value, kMaxPort);
  settings.seedPort = static_cast<std::uint16_t>(port.value_or(0));
  return port.has_value() && *port > 0;
}

bool parseDiskMegabytes(ProcessSettings& settings, const std::string& value) {
  const auto megabytes = parseUnsigned(value, kMaxMegabytes);
  settings.diskMegabytes = megabytes.value_or(0);
  return megabytes.has_value();
}

bool parseToleratedLosses(ProcessSettings& settings, const std::string& value) {
  const auto losses = parseUnsigned(value, kMaxToleratedLosses);
  settings.toleratedLosses = losses.value_or(0);
  return losses.has_value();
}

bool parseFirstStart(ProcessSettings& settings, const std::string& value) {
  settings.firstStart = value == "true";
  return value == "true" || value == "false";
}

ProcessValueParser secondsParser(Duration ProcessSettings::*member) {
  return [member](ProcessSettings& settings, const std::string& value) {
    char* end = nullptr;
    const double seconds = std::strtod(value.c_str(), &end);
    const bool valid = !value.empty() && *end == '\0' && seconds > 0 && seconds <= kMaxSeconds;
    if (valid) {
      settings.*member =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    return valid;
  };
}

bool isShortName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

bool isNotEmpty(const std::string& text) {
  return !text.empty();
}

}  // namespace shedshed
