#include "operators/settings_versions.h"

#include "kernel/rendezvous.h"
#include "settings/item_change.h"
#include "settings/settings.h"

#include <limits>

namespace shedshed {
namespace {

/// Maximum proposals of one update. It is proposed again if the register changed but the named
/// version did not, or if the proposal lost a race with the repair of an unfinished change.
constexpr std::uint32_t kMaxAttempts = 8;

/// A register version that is never reached: a proposal on it takes no effect, but is answered from
/// the ledger if its update took effect before.
constexpr std::uint64_t kUnreachableVersion = std::numeric_limits<std::uint64_t>::max() / 2;

std::string idempotencyKeyOf(const SettingsUpdate& update) {
  const char* kind = update.kind == SettingsUpdate::Kind::Replace ? "replace" : "items";
  return "named " + std::string(kind) + " " + std::to_string(update.baseVersion) + " " +
         hash128Hex(update.body);
}

/// Returns the named version of a value that was validated when it was accepted.
std::uint64_t namedVersionOf(const std::string& settings) {
  if (settings.empty()) {
    return 0;
  }
  const Result<SettingsTree> tree = SettingsTree::parse(settings);
  return tree ? tree.value().namedVersion() : 0;
}

/// Builds the new settings. Fails if they would not be valid on @p current.
Result<std::string> updatedSettings(const SettingsUpdate& update, const std::string& current) {
  Result<std::string> text = update.kind == SettingsUpdate::Kind::Replace
                                 ? Result<std::string>(update.body)
                                 : applyItemChange(current, update.body);
  if (!text) {
    return text.error();
  }
  const Result<SettingsTree> tree = SettingsTree::parse(text.value());
  if (!tree) {
    return tree.error();
  }
  if (tree.value().namedVersion() <= update.baseVersion) {
    return makeError(ErrorCode::InvalidArgument,
                     "/version: must be above " + std::to_string(update.baseVersion));
  }
  return text;
}

}  // namespace

void SettingsVersions::read(std::function<void(Result<std::string>)> done) {
  configuration_.read(kSettingsRegister, [done = std::move(done)](Result<RegisterValue> read) {
    if (!read) {
      done(read.error());
      return;
    }
    done(std::move(read.value().value));
  });
}

void SettingsVersions::submit(SettingsUpdate update, Done done) {
  propose(std::make_shared<Attempt>(Attempt{std::move(update), std::move(done)}));
}

void SettingsVersions::propose(const std::shared_ptr<Attempt>& attempt) {
  ++attempt->attemptCount;
  configuration_.read(kSettingsRegister, [this, attempt](const Result<RegisterValue>& read) {
    if (!read) {
      attempt->done(read.error());
      return;
    }
    proposeOn(attempt, read.value());
  });
}

void SettingsVersions::proposeOn(const std::shared_ptr<Attempt>& attempt,
                                 const RegisterValue& current) {
  const SettingsUpdate& update = attempt->update;
  ChangeRequest request;
  request.registerName = kSettingsRegister;
  request.idempotencyKey = idempotencyKeyOf(update);
  request.content = request.idempotencyKey;
  request.baseVersion = kUnreachableVersion;
  const std::uint64_t named = namedVersionOf(current.value);
  if (named != update.baseVersion) {
    change(
        attempt, std::move(request), false,
        makeError(ErrorCode::VersionConflict, "version " + std::to_string(named) + " is in force"));
    return;
  }
  Result<std::string> settings = updatedSettings(update, current.value);
  if (!settings) {
    // Not proposed: an update that is invalid on its base cannot have taken effect on it.
    attempt->done(settings.error());
    return;
  }
  request.baseVersion = current.version;
  request.value = std::move(settings.value());
  change(attempt, std::move(request), true, makeError(ErrorCode::VersionConflict));
}

void SettingsVersions::change(const std::shared_ptr<Attempt>& attempt, ChangeRequest request,
                              bool onBase, Error refusal) {
  const auto answer = [this, attempt, onBase,
                       refusal = std::move(refusal)](const Result<ChangeOutcome>& outcome) {
    if (outcome) {
      attempt->done(SettingsUpdateOutcome{0, outcome.value().repeated});
      return;
    }
    switch (outcome.error().code) {
    case ErrorCode::IdempotencyKeyReused:
      // The key is made of the hash of the update: the same update took effect on another register
      // version.
      attempt->done(SettingsUpdateOutcome{0, true});
      return;
    case ErrorCode::VersionConflict:
      if (onBase && attempt->attemptCount < kMaxAttempts) {
        propose(attempt);  // The register changed; the named version may have, too.
        return;
      }
      attempt->done(refusal);
      return;
    default:
      attempt->done(outcome.error());
      return;
    }
  };
  configuration_.change(std::move(request), answer);
}

}  // namespace shedshed
