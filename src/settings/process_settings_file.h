/// @file
/// The settings file of a process.
#pragma once

#include "settings/process_settings.h"

#include <set>
#include <string>

namespace shedshed {

/// Stores the values of the JSON file at @p path in @p settings and adds their keys to @p given.
/// Fails with `InvalidArgument` or `TooLarge`; the detail names the file, the path of the member,
/// its value and what is allowed.
Status applyProcessSettingsFile(const std::string& path, ProcessSettings& settings,
                                std::set<std::string>& given);

}  // namespace shedshed
