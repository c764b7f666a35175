#include "settings/process_keys.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdlib>
#include <map>
#include <optional>

namespace shedshed {

namespace {

constexpr std::size_t kMaxSeeds = 16;
constexpr std::size_t kMaxZoneBytes = 64;
constexpr std::uint32_t kMaxPort = 65535;
constexpr std::uint32_t kMostMegabytes = 1U << 30U;
/// 2 x 4 + 1 acceptors are the most that a fleet is formed of.
constexpr std::uint32_t kMostToleratedLosses = 4;
constexpr double kMostSeconds = 86400;

bool storeRole(ProcessSettings& settings, const std::string& value) {
  settings.role = value == "store" ? ControlRole::Store : ControlRole::Register;
  return value == "store" || value == "register";
}

bool storeSeeds(ProcessSettings& settings, const std::string& value) {
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

bool storeLogLevel(ProcessSettings& settings, const std::string& value) {
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

std::function<bool(ProcessSettings&, const std::string&)>
storeText(std::string ProcessSettings::*member, bool (*allowed)(const std::string&)) {
  return [member, allowed](ProcessSettings& settings, const std::string& value) {
    settings.*member = value;
    return allowed(value);
  };
}

/// Reads a whole number from 0 to @p most.
std::optional<std::uint32_t> wholeNumber(const std::string& text, std::uint32_t most) {
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number > most) {
    return std::nullopt;
  }
  return number;
}

bool storeSeedPort(ProcessSettings& settings, const std::string& value) {
  const auto port = wholeNumber(value, kMaxPort);
  settings.seedPort = static_cast<std::uint16_t>(port.value_or(0));
  return port.has_value() && *port > 0;
}

bool storeDisk(ProcessSettings& settings, const std::string& value) {
  const auto megabytes = wholeNumber(value, kMostMegabytes);
  settings.diskMegabytes = megabytes.value_or(0);
  return megabytes.has_value();
}

bool storeToleratedLosses(ProcessSettings& settings, const std::string& value) {
  const auto losses = wholeNumber(value, kMostToleratedLosses);
  settings.toleratedLosses = losses.value_or(0);
  return losses.has_value();
}

bool storeFirstStart(ProcessSettings& settings, const std::string& value) {
  settings.firstStart = value == "true";
  return value == "true" || value == "false";
}

/// Reads seconds, with fractions, above 0.
std::function<bool(ProcessSettings&, const std::string&)>
storeSeconds(Duration ProcessSettings::*member) {
  return [member](ProcessSettings& settings, const std::string& value) {
    char* end = nullptr;
    const double seconds = std::strtod(value.c_str(), &end);
    const bool valid = !value.empty() && *end == '\0' && seconds > 0 && seconds <= kMostSeconds;
    if (valid) {
      settings.*member =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    return valid;
  };
}

bool isZone(const std::string& text) {
  return !text.empty() && text.size() <= kMaxZoneBytes;
}

bool isPath(const std::string& text) {
  return !text.empty();
}

}  // namespace

std::string ProcessKey::flag() const {
  std::string text = name;
  std::replace(text.begin(), text.end(), '_', '-');
  return text;
}

const std::vector<ProcessKey>& processKeys() {
  constexpr const char* kAddress = "\"ip:port\" with an IPv4 address in numbers";
  constexpr const char* kPath = "a path";
  using P = ProcessSettings;
  static const std::vector<ProcessKey> table = {
      {"role", false, true, true, "\"store\" or \"register\"", storeRole},
      {"zone", true, true, true, "1 to 64 characters", storeText(&P::zone, isZone)},
      {"internal_address", true, true, true, kAddress,
       [](P& settings, const std::string& value) {
         settings.internalAddress.address = value;
         return isIpPort(value);
       }},
      {"operators_address", true, true, true, kAddress, storeText(&P::operatorsAddress, isIpPort)},
      {"callers_address", true, false, true, kAddress, storeText(&P::clientAddress, isIpPort)},
      {"seeds", true, true, true, "1 to 16 \"ip:port\"; as a flag separated by commas", storeSeeds},
      {"data_folder", false, true, false, kPath, storeText(&P::dataFolder, isPath)},
      {"fleet_key_file", true, true, true, kPath, storeText(&P::fleetKeyFile, isPath)},
      {"operator_key_file", true, true, true, kPath, storeText(&P::operatorKeyFile, isPath)},
      {"node_name", true, true, false, "1 to 64 characters", storeText(&P::nodeName, isZone)},
      {"ready_address", true, false, false, kAddress, storeText(&P::readyAddress, isIpPort)},
      {"listing_address", true, true, false, kAddress, storeText(&P::listingAddress, isIpPort)},
      {"seed_port", true, true, false, "a port from 1 to 65535", storeSeedPort},
      {"disk_mb", false, true, false, "whole megabytes", storeDisk},
      {"tolerated_losses", false, true, false, "0 to 4", storeToleratedLosses},
      {"first_start", false, true, false, "\"true\" or \"false\"", storeFirstStart},
      {"stop_warning_s", true, true, false, "seconds above 0", storeSeconds(&P::stopWarning)},
      {"log_level", true, true, false, "\"error\", \"warn\", \"info\" or \"debug\"", storeLogLevel},
  };
  return table;
}

const ProcessKey* findProcessKey(const std::string& name, ProcessKind kind) {
  for (const ProcessKey& key : processKeys()) {
    if (key.name == name && key.appliesTo(kind)) {
      return &key;
    }
  }
  return nullptr;
}

std::string processKeyNames(ProcessKind kind) {
  std::string names;
  for (const ProcessKey& key : processKeys()) {
    if (key.appliesTo(kind)) {
      names += (names.empty() ? "" : ", ") + std::string(key.name);
    }
  }
  return names;
}

bool isIpPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) {
    return false;
  }
  const std::string port = text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  if (!digits) {
    return false;
  }
  const unsigned long number = std::stoul(port);
  return number >= 1 && number <= kMaxPort;
}

}  // namespace shedshed
