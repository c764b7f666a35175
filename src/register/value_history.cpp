#include "register/value_history.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Estimated encoded size of a patch without its replacement, in bytes.
constexpr std::size_t kPatchOverheadBytes = 40;

}  // namespace

ValuePatch makePatch(const RegisterValue& base, const RegisterValue& next) {
  const std::string& from = base.value;
  const std::string& to = next.value;
  const std::size_t shorter = std::min(from.size(), to.size());
  const auto prefixEnd = std::mismatch(from.begin(), from.begin() + shorter, to.begin()).first;
  const std::size_t prefixBytes = static_cast<std::size_t>(prefixEnd - from.begin());
  const auto maxSuffix = static_cast<std::ptrdiff_t>(shorter - prefixBytes);
  const auto suffixEnd = std::mismatch(from.rbegin(), from.rbegin() + maxSuffix, to.rbegin()).first;
  const std::size_t suffixBytes = static_cast<std::size_t>(suffixEnd - from.rbegin());
  return {base.version,
          next.version,
          prefixBytes,
          suffixBytes,
          to.substr(prefixBytes, to.size() - prefixBytes - suffixBytes),
          hash64(to)};
}

std::optional<RegisterValue> applyPatch(const RegisterValue& base, const ValuePatch& patch) {
  const std::size_t size = base.value.size();
  const bool fits = patch.baseVersion == base.version && patch.prefixBytes <= size &&
                    patch.suffixBytes <= size - patch.prefixBytes;
  if (!fits) {
    return std::nullopt;
  }
  RegisterValue next;
  next.version = patch.version;
  next.value = base.value.substr(0, patch.prefixBytes) + patch.replacement +
               base.value.substr(size - patch.suffixBytes);
  if (hash64(next.value) != patch.resultHash) {
    return std::nullopt;
  }
  return next;
}

void ValueHistory::add(const RegisterValue& base, const RegisterValue& next) {
  if (!patches_.empty() && patches_.back().version != base.version) {
    patches_.clear();
  }
  patches_.push_back(makePatch(base, next));
  if (patches_.size() > kMaxPatches) {
    patches_.pop_front();
  }
}

std::optional<std::vector<ValuePatch>> ValueHistory::since(std::uint64_t version,
                                                           std::size_t fullValueBytes) const {
  const auto first =
      std::find_if(patches_.begin(), patches_.end(),
                   [version](const ValuePatch& patch) { return patch.baseVersion == version; });
  if (first == patches_.end()) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  for (auto patch = first; patch != patches_.end(); ++patch) {
    bytes += patch->replacement.size() + kPatchOverheadBytes;
  }
  if (bytes >= fullValueBytes) {
    return std::nullopt;
  }
  return std::vector<ValuePatch>(first, patches_.end());
}

}  // namespace shedshed
