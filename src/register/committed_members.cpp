#include "register/committed_members.h"

namespace shedshed {

namespace {

constexpr const char* kKnownMembersKey = "register/known_members";

}  // namespace

void CommittedMembers::load() {
  Result<std::optional<std::string>> bytes = context_.records().read(kKnownMembersKey);
  if (!bytes || !bytes.value()) {
    return;
  }
  Result<RegisterValue> value = decodeRecord<RegisterValue>(*bytes.value());
  if (!value) {
    return;
  }
  Result<MemberList> list = decodeRecord<MemberList>(value.value().value);
  if (list) {
    known_ = {value.value().version, list.value()};
  }
}

void CommittedMembers::learn(const RegisterValue& value) {
  if (value.version <= known_.version) {
    return;
  }
  Result<MemberList> list = decodeRecord<MemberList>(value.value);
  if (!list) {
    return;
  }
  known_ = {value.version, std::move(list).value()};
  if (isDurable_) {
    outbox_.persist({{kKnownMembersKey, encodeRecord(value)}});
  }
}

}  // namespace shedshed
