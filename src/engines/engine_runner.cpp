#include "engines/engine_runner.h"

#include <cjson/cJSON.h>
#include <memory>

namespace shedshed {

Result<std::string> EngineRunner::modelOf(const std::string& body, Time) const {
  const std::unique_ptr<cJSON, decltype(&cJSON_Delete)> json(
      cJSON_ParseWithLength(body.data(), body.size()), &cJSON_Delete);
  const cJSON* model = cJSON_GetObjectItemCaseSensitive(json.get(), "model");
  return cJSON_IsString(model) ? std::string(model->valuestring) : std::string();
}

}  // namespace shedshed
