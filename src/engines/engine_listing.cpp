#include "engines/engine_listing.h"

#include <algorithm>
#include <cjson/cJSON.h>
#include <cmath>
#include <memory>
#include <optional>
#include <set>

namespace shedshed {

namespace {

/// Object, array, object: nothing in a listing nests deeper.
constexpr int kMaxDepth = 3;
constexpr long kMaxPort = 65535;
constexpr int kMaxOctet = 255;
constexpr int kOctets = 4;

using Json = std::unique_ptr<cJSON, decltype(&cJSON_Delete)>;

Error invalid(const std::string& path, const std::string& allowed) {
  return makeError(ErrorCode::InvalidArgument, path + ": " + allowed);
}

/// cJSON parses recursively, so the depth is checked before it parses the text.
Status checkDepth(std::string_view json) {
  int depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (inString) {
      i += c == '\\' ? 1 : 0;
      inString = c != '"';
      continue;
    }
    inString = c == '"';
    depth += (c == '{' || c == '[') ? 1 : 0;
    depth -= (c == '}' || c == ']') ? 1 : 0;
    if (depth > kMaxDepth) {
      return invalid("$", "nested deeper than " + std::to_string(kMaxDepth) + " levels");
    }
  }
  return okStatus();
}

Status checkKeys(const cJSON* object, const std::string& path,
                 const std::set<std::string>& required,
                 const std::set<std::string>& optional = {}) {
  std::set<std::string> seen;
  for (const cJSON* child = object->child; child != nullptr; child = child->next) {
    const std::string key = child->string;
    const std::string childPath = path.empty() ? key : path + "." + key;
    if (required.count(key) == 0 && optional.count(key) == 0) {
      return invalid(childPath, "unknown key");
    }
    if (!seen.insert(key).second) {
      return invalid(childPath, "duplicate key");
    }
  }
  for (const std::string& key : required) {
    if (seen.count(key) == 0) {
      return invalid(path.empty() ? key : path + "." + key, "missing");
    }
  }
  return okStatus();
}

/// Reads a decimal number without sign or leading zeros.
std::optional<long> readDecimal(const std::string& text, long maximum) {
  constexpr std::size_t kMaxDigits = 5;
  const bool digits =
      !text.empty() && text.size() <= kMaxDigits &&
      std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!digits || (text.size() > 1 && text[0] == '0')) {
    return std::nullopt;
  }
  const long value = std::stol(text);
  return value <= maximum ? std::optional<long>(value) : std::nullopt;
}

bool isAddress(const std::string& text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string rest = text.substr(0, colon) + ".";
  int octets = 0;
  while (!rest.empty()) {
    const std::size_t dot = rest.find('.');
    if (!readDecimal(rest.substr(0, dot), kMaxOctet)) {
      return false;
    }
    rest.erase(0, dot + 1);
    ++octets;
  }
  const std::optional<long> port = readDecimal(text.substr(colon + 1), kMaxPort);
  return octets == kOctets && port && *port > 0;
}

/// Visible ASCII only: ids and models are used in headers, logs and gossip.
Result<std::string> readName(const cJSON* object, const char* key, const std::string& path,
                             std::size_t maxLength) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(object, key);
  const std::string text = cJSON_IsString(item) ? item->valuestring : "";
  const bool visible =
      std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (text.empty() || text.size() > maxLength || !visible) {
    return invalid(path + "." + key,
                   "must be a string of 1 to " + std::to_string(maxLength) + " visible characters");
  }
  return text;
}

Result<std::uint32_t> readMaxRunning(const cJSON* object, const std::string& path) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(object, "max_running");
  const double value = cJSON_IsNumber(item) ? item->valuedouble : 0;
  if (!(value >= 1 && value <= kMaxRunningBound) || value != std::floor(value)) {
    return invalid(path + ".max_running",
                   "must be a whole number from 1 to " + std::to_string(kMaxRunningBound));
  }
  return static_cast<std::uint32_t>(value);
}

Result<ListedEngine> readEngine(const cJSON* item, const std::string& path) {
  if (!cJSON_IsObject(item)) {
    return invalid(path, "must be an object");
  }
  BOOST_OUTCOME_TRYV(
      checkKeys(item, path, {"id", "address", "model", "max_running"}, {"draining"}));
  ListedEngine engine;
  BOOST_OUTCOME_TRY(id, readName(item, "id", path, kMaxEngineNameBytes));
  BOOST_OUTCOME_TRY(model, readName(item, "model", path, 2 * kMaxEngineNameBytes));
  BOOST_OUTCOME_TRY(maxRunning, readMaxRunning(item, path));
  const cJSON* draining = cJSON_GetObjectItemCaseSensitive(item, "draining");
  if (draining != nullptr && !cJSON_IsBool(draining)) {
    return invalid(path + ".draining", "must be true or false");
  }
  engine.draining = cJSON_IsTrue(draining) != 0;
  const cJSON* address = cJSON_GetObjectItemCaseSensitive(item, "address");
  if (!cJSON_IsString(address) || !isAddress(address->valuestring)) {
    return invalid(path + ".address", "must be \"a.b.c.d:port\"");
  }
  engine.id = std::move(id);
  engine.model = std::move(model);
  engine.maxRunning = maxRunning;
  engine.address = address->valuestring;
  return engine;
}

Result<EngineListing> readEngines(const cJSON* list) {
  if (!cJSON_IsArray(list)) {
    return invalid("engines", "must be an array");
  }
  if (static_cast<std::size_t>(cJSON_GetArraySize(list)) > kMaxListedEngines) {
    return makeError(ErrorCode::TooLarge, "engines: at most " + std::to_string(kMaxListedEngines));
  }
  EngineListing listing;
  std::set<std::string> ids;
  std::set<std::string> addresses;
  for (const cJSON* item = list->child; item != nullptr; item = item->next) {
    const std::string path = "engines[" + std::to_string(listing.engines.size()) + "]";
    BOOST_OUTCOME_TRY(engine, readEngine(item, path));
    if (!ids.insert(engine.id).second) {
      return invalid(path + ".id", "listed twice");
    }
    if (!addresses.insert(engine.address).second) {
      return invalid(path + ".address", "listed twice");
    }
    listing.engines.push_back(std::move(engine));
  }
  std::sort(listing.engines.begin(), listing.engines.end(),
            [](const ListedEngine& left, const ListedEngine& right) { return left.id < right.id; });
  return listing;
}

}  // namespace

Result<EngineListing> parseEngineListing(std::string_view json) {
  if (json.size() > kMaxListingBytes) {
    return makeError(ErrorCode::TooLarge,
                     "$: at most " + std::to_string(kMaxListingBytes) + " bytes");
  }
  if (json.find('\0') != std::string_view::npos) {
    return invalid("$", "must not contain a NUL byte");
  }
  BOOST_OUTCOME_TRYV(checkDepth(json));
  const std::string text(json);
  // With a required terminator cJSON rejects anything after the value.
  const Json root(cJSON_ParseWithOpts(text.c_str(), nullptr, 1), &cJSON_Delete);
  if (root == nullptr) {
    return invalid("$", "not valid JSON");
  }
  if (!cJSON_IsObject(root.get())) {
    return invalid("$", "must be an object");
  }
  BOOST_OUTCOME_TRYV(checkKeys(root.get(), "", {"engines"}));
  return readEngines(cJSON_GetObjectItemCaseSensitive(root.get(), "engines"));
}

}  // namespace shedshed
