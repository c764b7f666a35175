#include "batch/batch_settings.h"

#include <algorithm>
#include <utility>

namespace shedshed {

BatchSettings::BatchSettings(ConfigurationSource& configuration) {
  configuration.subscribe(kSettingsRegister, [this](const RegisterValue& value) {
    Result<SettingsTree> tree = SettingsTree::parse(value.value);
    if (tree) {
      tree_ = std::move(tree).value();
    }
  });
}

EffectiveSettings BatchSettings::effective(const std::string& tenant) const {
  return tree_.effective(tenant, kBatchRoute);
}

Duration BatchSettings::completionObjective(const std::string& route) const {
  const RouteSettings* found = tree_.routes().find(route);
  return found == nullptr ? Duration{0} : found->completionObjective;
}

std::uint64_t BatchSettings::queuedTokenLimit(const std::string& route) const {
  const RouteSettings* found = tree_.routes().find(route);
  return found == nullptr ? 0 : found->maxQueuedTokens;
}

bool BatchSettings::limitsQueuedTokens() const {
  const auto& routes = tree_.routes().routes();
  return std::any_of(routes.begin(), routes.end(),
                     [](const auto& entry) { return entry.second.maxQueuedTokens != 0; });
}

}  // namespace shedshed
