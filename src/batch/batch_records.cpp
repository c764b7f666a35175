#include "batch/batch_records.h"

#include "kernel/rendezvous.h"

#include <charconv>
#include <cstdio>

namespace shedshed {
namespace {

/// Numbers in keys are zero-padded to this width, so that keys sort in numeric order.
constexpr int kNumberDigits = 10;

std::string zeroPadded(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%0*llu", kNumberDigits,
                static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

std::string metaKey(const std::string& batchId) {
  return kMetaPrefix + batchId;
}

std::string runKey(const std::string& batchId) {
  return kRunPrefix + batchId;
}

std::string cancelKey(const std::string& batchId) {
  return kCancelPrefix + batchId;
}

std::string finalKey(const std::string& batchId) {
  return kFinalPrefix + batchId;
}

std::string uploadKey(const std::string& batchId) {
  return kUploadPrefix + batchId;
}

std::string expiredKey(const std::string& batchId) {
  return kExpiredPrefix + batchId;
}

std::string bodyKey(const std::string& batchId, std::uint64_t chunk) {
  return "batch/body/" + batchId + "/" + zeroPadded(chunk);
}

std::string itemPrefix(const std::string& batchId) {
  return "batch/item/" + batchId + "/";
}

std::string itemKey(const std::string& batchId, std::uint64_t position) {
  return itemPrefix(batchId) + zeroPadded(position);
}

PartitionId partitionOfBatch(const std::string& batchId) {
  return partitionOf(TableKind::Batches, batchId);
}

std::string batchIdOfKey(std::string_view key) {
  return std::string(key.substr(key.rfind('/') + 1));
}

std::uint64_t positionOfItemKey(std::string_view key) {
  std::uint64_t position = 0;
  const std::string_view digits = key.substr(key.rfind('/') + 1);
  std::from_chars(digits.data(), digits.data() + digits.size(), position);
  return position;
}

std::string batchIdOfClientKey(const std::string& tenant, const std::string& clientKey) {
  return hash128Hex(std::to_string(tenant.size()) + ":" + tenant + clientKey);
}

void appendItemHashes(std::string& hashes, const std::vector<std::string>& items) {
  for (const std::string& item : items) {
    const std::uint64_t hash = hash64(item);
    for (int shift = 0; shift < 64; shift += 8) {
      hashes.push_back(static_cast<char>(hash >> shift));
    }
  }
}

std::string itemsDigest(const std::string& hashes) {
  return hash128Hex(hashes);
}

bool isFinal(ItemState state) {
  return state != ItemState::Pending && state != ItemState::Started;
}

}  // namespace shedshed
