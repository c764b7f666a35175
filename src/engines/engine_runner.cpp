#include "engines/engine_runner.h"

#include <cjson/cJSON.h>
#include <memory>

namespace shedshed {

Result<ItemTarget> EngineRunner::targetOf(const std::string& body, Time) const {
  const std::unique_ptr<cJSON, decltype(&cJSON_Delete)> json(
      cJSON_ParseWithLength(body.data(), body.size()), &cJSON_Delete);
  const cJSON* model = cJSON_GetObjectItemCaseSensitive(json.get(), "model");
  return ItemTarget{cJSON_IsString(model) ? model->valuestring : ""};
}

}  // namespace shedshed
