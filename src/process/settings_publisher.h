/// @file
/// Publishes the settings of the register to the threads of a data process.
#pragma once

#include "kernel/snapshot.h"
#include "register/configuration_register.h"
#include "settings/settings.h"

namespace shedshed {

/// Parses @p value and publishes the tree to @p settings. If it cannot be parsed, this process is
/// older than the value, since the registers accept only checked values: the error is logged and
/// the last tree stays published. Core thread only.
void publishSettings(const RegisterValue& value, Snapshot<SettingsTree>& settings);

}  // namespace shedshed
