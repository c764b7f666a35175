#include "process/process_start.h"

#include "runtime/logging.h"
#include "settings/small_file.h"

#include <cstdio>
#include <cstdlib>

namespace shedshed {
namespace {

constexpr int kUsageExitCode = 2;
constexpr int kDiskFailureExitCode = 3;

const char* logLevelName(LogLevel level) {
  switch (level) {
  case LogLevel::Error:
    return "error";
  case LogLevel::Warn:
    return "warn";
  case LogLevel::Info:
    return "info";
  case LogLevel::Debug:
    return "debug";
  }
  return "info";
}

NodeRole roleOf(const ProcessSettings& settings) {
  if (settings.kind == ProcessKind::Data) {
    return NodeRole::Data;
  }
  return settings.role == ControlRole::Store ? NodeRole::Store : NodeRole::Register;
}

}  // namespace

Result<ProcessKeys> readProcessKeys(const ProcessSettings& settings) {
  if (settings.fleetKeyFile == kOpenFleet) {
    return ProcessKeys{};
  }
  Result<FleetKey> fleetKey = readFleetKeyFile(settings.fleetKeyFile);
  if (!fleetKey) {
    return fleetKey.error();
  }
  Result<std::string> operatorKey = readBearerKeyFile(settings.operatorKeyFile);
  if (!operatorKey) {
    return operatorKey.error();
  }
  return ProcessKeys{fleetKey.value(), std::move(operatorKey.value())};
}

NodeInfo describeSelf(const ProcessSettings& settings, const std::string& storeId) {
  NodeInfo self;
  self.id = settings.internalAddress;
  self.role = roleOf(settings);
  self.zone = settings.zone;
  self.name = settings.nodeName;
  self.storeId = storeId;
  self.operatorsAddress = settings.operatorsAddress;
  self.clientAddress = settings.clientAddress;
  return self;
}

ProcessStart::ProcessStart(int argc, char** argv, ProcessKind kind) {
  Result<ProcessSettings> parsed = parseProcessSettings(argc, const_cast<const char**>(argv), kind);
  if (!parsed) {
    std::fprintf(stderr, "%s: %s\n", argv[0], parsed.error().detail.c_str());
    exitCode_ = kUsageExitCode;
    return;
  }
  settings_ = std::move(parsed.value());
  if (!settings_.informationText.empty()) {
    std::printf("%s\n", settings_.informationText.c_str());
    return;
  }
  Result<ProcessKeys> keys = readProcessKeys(settings_);
  if (!keys) {
    std::fprintf(stderr, "%s: %s\n", argv[0], keys.error().detail.c_str());
    exitCode_ = kUsageExitCode;
    return;
  }
  keys_ = std::move(keys.value());
  initializeLogging(logLevelName(settings_.logLevel));
  usable_ = true;
}

void endProcess(int exitCode) {
  std::fflush(nullptr);
  std::_Exit(exitCode);
}

void failStop(const Error& error) {
  logError("process", error);
  std::_Exit(kDiskFailureExitCode);
}

}  // namespace shedshed
