#include "ctl/tenants_commands.h"

#include "ctl/register_change.h"
#include "settings/json.h"
#include "settings/settings.h"

namespace shedshed::ctl {

namespace {

/// Returns the object of the new tenant.
JsonDocument newTenant(const CommandLine& line) {
  JsonDocument tenant = JsonDocument::object();
  if (line.perSecond) {
    cJSON_AddNumberToObject(tenant.root(), "per_s", *line.perSecond);
  }
  if (line.burst) {
    addUnsigned(tenant.root(), "burst", *line.burst);
  }
  if (!line.keyDigest.empty()) {
    cJSON* keys = cJSON_AddArrayToObject(tenant.root(), "keys");
    cJSON* key = cJSON_CreateObject();
    cJSON_AddStringToObject(key, "digest", line.keyDigest.c_str());
    cJSON_AddItemToArray(keys, key);
  }
  // `addUnsigned` adds raw JSON; parsing the printed text makes it comparable as a number.
  return JsonDocument(cJSON_Parse(tenant.print().c_str()));
}

Result<std::string> createPatch(const std::string& settings, const CommandLine& line) {
  const Result<JsonDocument> document = JsonDocument::parse(settings);
  if (!document) {
    return document.error();
  }
  const std::string name = line.argument(2);
  JsonDocument tenant = newTenant(line);
  const cJSON* tenants = jsonMember(document.value().root(), "tenants");
  const cJSON* existing = tenants == nullptr ? nullptr : jsonMember(tenants, name.c_str());
  if (existing != nullptr && cJSON_Compare(existing, tenant.root(), 1)) {
    return std::string();
  }
  if (existing != nullptr) {
    return makeError(ErrorCode::AlreadyExists, "tenant \"" + name +
                                                   "\" exists with other settings; change it with "
                                                   "shedctl settings patch");
  }
  const JsonDocument patch = JsonDocument::object();
  cJSON* added = cJSON_AddObjectToObject(patch.root(), "tenants");
  cJSON_AddItemToObject(added, name.c_str(), tenant.release());
  return patch.print();
}

struct KeyCounts {
  std::size_t inUse = 0;
  std::size_t withdrawn = 0;
};

KeyCounts countKeys(const cJSON* tenant) {
  KeyCounts counts;
  const cJSON* key = nullptr;
  cJSON_ArrayForEach(key, jsonMember(tenant, "keys")) {
    if (cJSON_IsTrue(jsonMember(key, "withdrawn")) != 0) {
      ++counts.withdrawn;
    } else {
      ++counts.inUse;
    }
  }
  return counts;
}

/// One row of the list of tenants.
struct TenantRow {
  std::string name;
  EffectiveSettings values;
  KeyCounts keys;
};

Result<std::vector<TenantRow>> tenantRows(const std::string& settings) {
  const Result<SettingsTree> tree = SettingsTree::parse(settings);
  if (!tree) {
    return tree.error();
  }
  const Result<JsonDocument> document = JsonDocument::parse(settings);
  if (!document) {
    return document.error();
  }
  const cJSON* tenants = jsonMember(document.value().root(), "tenants");
  std::vector<TenantRow> rows;
  for (const std::string& name : tree.value().tenants()) {
    rows.push_back(
        {name, tree.value().effective(name, ""), countKeys(jsonMember(tenants, name.c_str()))});
  }
  return rows;
}

std::string numberText(double number) {
  return JsonDocument(cJSON_CreateNumber(number)).print();
}

void printTable(CtlContext& context, const std::vector<TenantRow>& rows) {
  TextTable table({"TENANT", "PER_S", "BURST", "KEYS", "WITHDRAWN"});
  for (const TenantRow& row : rows) {
    table.add({row.name, numberText(row.values.perSecond), std::to_string(row.values.burst),
               std::to_string(row.keys.inUse), std::to_string(row.keys.withdrawn)});
  }
  context.output.table(table);
}

void printJson(CtlContext& context, const std::vector<TenantRow>& rows, std::uint64_t version) {
  const JsonDocument document = JsonDocument::object();
  addUnsigned(document.root(), "version", version);
  cJSON* array = cJSON_AddArrayToObject(document.root(), "tenants");
  for (const TenantRow& row : rows) {
    cJSON* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "name", row.name.c_str());
    cJSON_AddNumberToObject(item, "per_s", row.values.perSecond);
    addUnsigned(item, "burst", row.values.burst);
    addUnsigned(item, "keys", row.keys.inUse);
    addUnsigned(item, "keys_withdrawn", row.keys.withdrawn);
    cJSON_AddItemToArray(array, item);
  }
  context.output.line(document.print());
}

}  // namespace

ExitCode TenantsCommands::run(CtlContext& context) {
  const std::string action = context.line.argument(1);
  if (action == "list") {
    return list(context);
  }
  if (action == "create" && context.line.arguments.size() == 3) {
    return create(context);
  }
  if (action == "create") {
    return context.output.usage("tenants create needs the tenant's name");
  }
  return context.output.usage("tenants: found \"" + action + "\"; allowed: create, list");
}

ExitCode TenantsCommands::create(CtlContext& context) {
  return patchSettings(context, [&context](const std::string& settings) {
    return createPatch(settings, context.line);
  });
}

ExitCode TenantsCommands::list(CtlContext& context) {
  FleetRequest read;
  read.url = "/v1/settings";
  const Result<FleetResponse> response = context.fleet.call(read);
  if (!response) {
    return context.output.fail(response.error());
  }
  const Result<std::vector<TenantRow>> rows = tenantRows(response.value().body);
  if (!rows) {
    return context.output.fail(rows.error());
  }
  if (context.output.isJson()) {
    printJson(context, rows.value(), response.value().version);
  } else {
    printTable(context, rows.value());
  }
  return ExitCode::Ok;
}

}  // namespace shedshed::ctl
