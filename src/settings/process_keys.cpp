#include "settings/process_keys.h"

#include "settings/ip_port.h"

#include <algorithm>

namespace shedshed {

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
      {"role", false, true, true, "\"store\" or \"register\"", parseRole},
      {"zone", true, true, true, "1 to 64 characters", textParser(&P::zone, isShortName)},
      {"internal_address", true, true, true, kAddress, parseInternalAddress},
      {"operators_address", true, true, true, kAddress, textParser(&P::operatorsAddress, isIpPort)},
      {"callers_address", true, false, true, kAddress, textParser(&P::clientAddress, isIpPort)},
      {"seeds", true, true, true, "1 to 16 \"ip:port\"; as a flag separated by commas", parseSeeds},
      {"data_folder", false, true, false, kPath, textParser(&P::dataFolder, isNotEmpty)},
      {"fleet_key_file", true, true, true, kPath, textParser(&P::fleetKeyFile, isNotEmpty)},
      {"operator_key_file", true, true, true, kPath, textParser(&P::operatorKeyFile, isNotEmpty)},
      {"node_name", true, true, false, "1 to 64 characters", textParser(&P::nodeName, isShortName)},
      {"ready_address", true, false, false, kAddress, textParser(&P::readyAddress, isIpPort)},
      {"listing_address", true, true, false, kAddress, textParser(&P::listingAddress, isIpPort)},
      {"seed_port", true, true, false, "a port from 1 to 65535", parseSeedPort},
      {"disk_mb", false, true, false, "whole megabytes", parseDiskMegabytes},
      {"tolerated_losses", false, true, false, "0 to 4", parseToleratedLosses},
      {"first_start", false, true, false, "\"true\" or \"false\"", parseFirstStart},
      {"stop_warning_s", true, true, false, "seconds above 0",
       secondsParser(&P::shutdownGracePeriod)},
      {"log_level", true, true, false, "\"error\", \"warn\", \"info\" or \"debug\"", parseLogLevel},
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

}  // namespace shedshed
