#include "ctl/keys_commands.h"

#include "ctl/register_change.h"
#include "settings/json.h"
#include "settings/settings.h"

namespace shedshed::ctl {

namespace {

constexpr const char* kWhiteSpace = " \t\r\n";

std::string trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) - begin + 1);
}

/// Returns the tenant's object in the settings, or `NotFound`.
Result<const cJSON*> findTenant(const JsonDocument& settings, const std::string& tenant) {
  const cJSON* tenants = jsonMember(settings.root(), "tenants");
  const cJSON* found = tenants == nullptr ? nullptr : jsonMember(tenants, tenant.c_str());
  if (found == nullptr) {
    return makeError(ErrorCode::NotFound,
                     "tenant \"" + tenant + "\" is not in the settings; see shedctl tenants list");
  }
  return found;
}

/// Returns the key with @p digest in the array @p keys, or nullptr.
cJSON* findKey(const cJSON* keys, const std::string& digest) {
  cJSON* item = nullptr;
  cJSON_ArrayForEach(item, keys) {
    const Result<std::string> found = jsonString(item, "digest", "");
    if (found && found.value() == digest) {
      return item;
    }
  }
  return nullptr;
}

/// Returns the patch that replaces the tenant's keys; a merge patch replaces an array as a whole.
std::string keysPatch(const std::string& tenant, JsonDocument keys) {
  const JsonDocument patch = JsonDocument::object();
  cJSON* tenants = cJSON_AddObjectToObject(patch.root(), "tenants");
  cJSON* object = cJSON_AddObjectToObject(tenants, tenant.c_str());
  cJSON_AddItemToObject(object, "keys", keys.release());
  return patch.print();
}

JsonDocument copyKeys(const cJSON* tenant) {
  const cJSON* keys = jsonMember(tenant, "keys");
  return keys == nullptr ? JsonDocument::array() : JsonDocument(cJSON_Duplicate(keys, 1));
}

Result<std::string> withdrawPatch(const std::string& settings, const std::string& tenant,
                                  const std::string& digest) {
  const Result<JsonDocument> document = JsonDocument::parse(settings);
  if (!document) {
    return document.error();
  }
  const Result<const cJSON*> found = findTenant(document.value(), tenant);
  if (!found) {
    return found.error();
  }
  JsonDocument keys = copyKeys(found.value());
  cJSON* key = findKey(keys.root(), digest);
  if (key == nullptr) {
    return makeError(ErrorCode::NotFound,
                     "tenant \"" + tenant + "\" has no key with digest " + digest);
  }
  if (cJSON_IsTrue(jsonMember(key, "withdrawn")) != 0) {
    return std::string();
  }
  cJSON_DeleteItemFromObjectCaseSensitive(key, "withdrawn");
  cJSON_AddTrueToObject(key, "withdrawn");
  return keysPatch(tenant, std::move(keys));
}

Result<std::string> addPatch(const std::string& settings, const std::string& tenant,
                             const std::string& digest) {
  const Result<JsonDocument> document = JsonDocument::parse(settings);
  if (!document) {
    return document.error();
  }
  const Result<const cJSON*> found = findTenant(document.value(), tenant);
  if (!found) {
    return found.error();
  }
  JsonDocument keys = copyKeys(found.value());
  if (const cJSON* key = findKey(keys.root(), digest); key != nullptr) {
    if (cJSON_IsTrue(jsonMember(key, "withdrawn")) != 0) {
      return makeError(ErrorCode::AlreadyExists, "the key was withdrawn; issue a new one");
    }
    return std::string();
  }
  cJSON* key = cJSON_CreateObject();
  cJSON_AddStringToObject(key, "digest", digest.c_str());
  cJSON_AddItemToArray(keys.root(), key);
  return keysPatch(tenant, std::move(keys));
}

}  // namespace

ExitCode KeysCommands::run(CtlContext& context) {
  const std::string action = context.line.argument(1);
  if (action == "digest") {
    return digest(context);
  }
  if (action != "add" && action != "withdraw") {
    return context.output.usage("keys: found \"" + action + "\"; allowed: digest, add, withdraw");
  }
  if (context.line.arguments.size() != 4) {
    return context.output.usage("keys " + action + " needs the tenant's name and the digest");
  }
  return action == "add" ? add(context) : withdraw(context);
}

ExitCode KeysCommands::digest(CtlContext& context) {
  const Result<std::string> content = readInput(context, context.line.argument(2));
  if (!content) {
    return context.output.usage(content.error().detail);
  }
  const std::string key = trimmed(content.value());
  if (key.empty()) {
    return context.output.usage("the key file is empty");
  }
  const std::string digest = SettingsTree::digestOfKey(key);
  context.output.line(context.output.isJson() ? "{\"digest\":\"" + digest + "\"}" : digest);
  return ExitCode::Ok;
}

ExitCode KeysCommands::add(CtlContext& context) {
  return patchSettings(context, [&context](const std::string& settings) {
    return addPatch(settings, context.line.argument(2), context.line.argument(3));
  });
}

ExitCode KeysCommands::withdraw(CtlContext& context) {
  return patchSettings(context, [&context](const std::string& settings) {
    return withdrawPatch(settings, context.line.argument(2), context.line.argument(3));
  });
}

}  // namespace shedshed::ctl
