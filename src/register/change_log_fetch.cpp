#include "register/change_log_fetch.h"

#include <algorithm>

namespace shedshed {

ChangeLogFetch::ChangeLogFetch(const AppliedChangeLog& local, std::uint64_t upToVersion)
    : upToVersion_(upToVersion), log_(local) {
  // The newest local entry may belong to a state that was never committed, so fetch it again.
  const std::uint64_t commonVersion = std::min(local.version(), upToVersion);
  log_.truncate(commonVersion == 0 ? 0 : commonVersion - 1);
}

ChangeLogRequest ChangeLogFetch::nextRequest(const std::string& registerName) const {
  return ChangeLogRequest{registerName, log_.version() + 1, upToVersion_};
}

bool ChangeLogFetch::add(const ChangeLogChunk& chunk) {
  const bool skipsEvicted =
      chunk.fromVersion > log_.version() + 1 && chunk.fromVersion == chunk.firstVersion;
  if (skipsEvicted) {
    log_.resetTo(chunk.fromVersion - 1, chunk.chainBefore);
  }
  if (chunk.fromVersion != log_.version() + 1) {
    return false;
  }
  if (chunk.chainBefore != log_.chain()) {
    log_.resetTo(0, Digest{});
  } else {
    for (const AppliedChange& entry : chunk.entries) {
      log_.append(entry);
    }
  }
  const bool progressed = chunk.chainBefore != log_.chain();
  return progressed && log_.version() < upToVersion_;
}

AppliedChangeLog ChangeLogFetch::takeReplacing(const AppliedChangeLog& replaced) {
  log_.markBlocksChanged(replaced);
  return std::move(log_);
}

}  // namespace shedshed
