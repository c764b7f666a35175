#include "process/settings_publisher.h"

#include "runtime/logging.h"

#include <memory>
#include <utility>

namespace shedshed {

void publishSettings(const RegisterValue& value, Snapshot<SettingsTree>& settings) {
  Result<SettingsTree> tree = SettingsTree::parse(value.value);
  if (!tree) {
    logError("settings", tree.error());
    return;
  }
  settings.publish(std::make_shared<const SettingsTree>(std::move(tree.value())));
}

}  // namespace shedshed
