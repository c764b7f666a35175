#include "operators/inspection_json.h"

#include "settings/json.h"

namespace shedshed {

namespace {

void addMilliseconds(cJSON* object, const char* name, Duration duration) {
  const std::int64_t milliseconds = toMilliseconds(duration);
  addUnsigned(object, name, milliseconds > 0 ? static_cast<std::uint64_t>(milliseconds) : 0);
}

void addGrantedSlot(cJSON* array, const GrantedSlotExplanation& slot) {
  cJSON* item = cJSON_CreateObject();
  addUnsigned(item, "number", slot.number);
  cJSON_AddStringToObject(item, "holder", slot.holder.address.c_str());
  cJSON_AddStringToObject(item, "class",
                          slot.serviceClass == SlotClass::Live ? "live" : "batch_item");
  if (slot.age) {
    addMilliseconds(item, "age_ms", *slot.age);
  }
  addMilliseconds(item, "expires_in_ms", slot.expiresIn);
  cJSON_AddItemToArray(array, item);
}

void addPool(cJSON* array, const PoolExplanation& pool) {
  cJSON* item = cJSON_CreateObject();
  cJSON_AddStringToObject(item, "limiter", pool.size.pool.limiter.c_str());
  cJSON_AddStringToObject(item, "key", pool.size.pool.key.c_str());
  addUnsigned(item, "size", pool.size.size);
  addUnsigned(item, "unscaled", pool.size.unscaled);
  cJSON_AddNumberToObject(item, "per_s", pool.size.rate.perSecond);
  addUnsigned(item, "burst", pool.size.rate.burst);
  addMilliseconds(item, "hold_ms", pool.size.holdTime);
  cJSON_AddNumberToObject(item, "scale", pool.size.scale);
  addUnsigned(item, "live", pool.liveSlots);
  addUnsigned(item, "batch_items", pool.batchSlots);
  cJSON_AddBoolToObject(item, "recovering", pool.recovering ? 1 : 0);
  addUnsigned(item, "epoch", pool.epoch);
  cJSON* slotArray = cJSON_AddArrayToObject(item, "slots");
  for (const GrantedSlotExplanation& slot : pool.grantedSlots) {
    addGrantedSlot(slotArray, slot);
  }
  cJSON_AddItemToArray(array, item);
}

void addLending(cJSON* array, const LendingExplanation& lending) {
  cJSON* item = cJSON_CreateObject();
  cJSON_AddStringToObject(item, "model", lending.model.c_str());
  addUnsigned(item, "lent", lending.lent);
  addUnsigned(item, "room", lending.engineCapacity);
  addUnsigned(item, "live", lending.liveSlots);
  addUnsigned(item, "reserve", lending.reserve);
  cJSON_AddItemToArray(array, item);
}

cJSON* batchObject(const BatchStatus& batch) {
  cJSON* item = cJSON_CreateObject();
  cJSON_AddStringToObject(item, "id", batch.id.c_str());
  cJSON_AddStringToObject(item, "tenant", batch.tenant.c_str());
  addUnsigned(item, "items", batch.itemCount);
  addUnsigned(item, "pending", batch.pending);
  addUnsigned(item, "started", batch.started);
  addUnsigned(item, "done", batch.done);
  addUnsigned(item, "failed", batch.failed);
  addUnsigned(item, "cancelled_items", batch.cancelledItems);
  addUnsigned(item, "unknown", batch.unknown);
  cJSON_AddBoolToObject(item, "cancelled", batch.cancelled ? 1 : 0);
  return item;
}

}  // namespace

std::string slotsJson(const SlotExplanation& slots) {
  const JsonDocument document = JsonDocument::object();
  cJSON* pools = cJSON_AddArrayToObject(document.root(), "pools");
  for (const PoolExplanation& pool : slots.pools) {
    addPool(pools, pool);
  }
  cJSON* lending = cJSON_AddArrayToObject(document.root(), "lending");
  for (const LendingExplanation& model : slots.lending) {
    addLending(lending, model);
  }
  return document.print();
}

std::string batchJson(const BatchStatus& batch) {
  return JsonDocument(batchObject(batch)).print();
}

std::string batchesJson(const std::vector<BatchStatus>& batches) {
  const JsonDocument document = JsonDocument::object();
  cJSON* array = cJSON_AddArrayToObject(document.root(), "batches");
  for (const BatchStatus& batch : batches) {
    cJSON_AddItemToArray(array, batchObject(batch));
  }
  return document.print();
}

}  // namespace shedshed
