#include "engines/listing_reader.h"

#include "kernel/message.h"
#include "kernel/rendezvous.h"

#include <algorithm>
#include <utility>

namespace shedshed {

std::uint64_t listingDigest(const std::vector<EngineInfo>& engines) {
  return hash64(encodeRecord(engines)) | 1U;
}

void ListingReader::read(std::function<void()> done) {
  if (reading_) {
    return;
  }
  reading_ = true;
  const Time startedAt = context_.now();
  source_->read([this, startedAt, done](Result<std::vector<EngineInfo>> engines) {
    onRead(startedAt, std::move(engines));
    done();
  });
}

void ListingReader::onRead(Time startedAt, Result<std::vector<EngineInfo>> engines) {
  reading_ = false;
  if (!engines) {
    context_.counters().add("engine_list_read_failures_total");
    return;
  }
  cached_ = std::move(engines.value());
  std::sort(cached_.begin(), cached_.end(),
            [](const EngineInfo& left, const EngineInfo& right) { return left.id < right.id; });
  cachedDigest_ = listingDigest(cached_);
  cachedAt_ = startedAt;
  context_.counters().add("engine_list_reads_total");
}

}  // namespace shedshed
