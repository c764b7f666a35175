#include "settings/process_settings.h"

#include "settings/process_flags.h"
#include "settings/process_keys.h"
#include "settings/process_settings_file.h"

#include <optional>
#include <set>

namespace shedshed {

namespace {

constexpr const char* kVersion = "0.1.0";

Status checkRequired(const ProcessSettings& settings, const std::set<std::string>& given) {
  for (const ProcessKey& key : processKeys()) {
    if (key.appliesTo(settings.kind) && key.required && given.count(key.name) == 0) {
      return makeError(ErrorCode::InvalidArgument,
                       "/" + std::string(key.name) + ": found nothing; allowed: " + key.allowed +
                           " (in the settings file or as --" + key.flag() + ")");
    }
  }
  const bool isStore = settings.kind == ProcessKind::Control && settings.role == ControlRole::Store;
  if (isStore && settings.dataFolder.empty()) {
    return makeError(ErrorCode::InvalidArgument,
                     "/data_folder: found nothing; required with the role \"store\" (in the "
                     "settings file or as --data-folder)");
  }
  return okStatus();
}

}  // namespace

std::string versionText(const std::string& programName) {
  return programName + " " + kVersion + "\n";
}

Result<ProcessSettings> parseProcessSettings(int argc, const char** argv, ProcessKind kind) {
  ProcessSettings settings;
  settings.kind = kind;
  ProcessFlags flags(kind);
  if (Status status = flags.read(argc, argv); !status) {
    return status.error();
  }
  if (flags.helpRequested()) {
    settings.informationText = flags.helpText();
    return settings;
  }
  if (flags.versionRequested()) {
    settings.informationText =
        versionText(kind == ProcessKind::Data ? "shedshed-data" : "shedshed-control");
    return settings;
  }
  std::set<std::string> given;
  if (const std::optional<std::string> file = flags.file()) {
    if (Status status = applyProcessSettingsFile(*file, settings, given); !status) {
      return status.error();
    }
  }
  if (Status status = flags.apply(settings, given); !status) {
    return status.error();
  }
  if (Status status = checkRequired(settings, given); !status) {
    return status.error();
  }
  return settings;
}

}  // namespace shedshed
