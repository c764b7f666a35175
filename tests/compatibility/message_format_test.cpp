// The bytes of each internal message and each stored record. They never change: a fleet runs two
// versions side by side while it is updated, and a node reads what an earlier version stored. A
// type may be renamed; its label in the file stays.
#include "batch/batch_client.h"
#include "batch/batch_messages.h"
#include "batch/batch_records.h"
#include "batch/queued_token_messages.h"
#include "compatibility/format_file.h"
#include "compatibility/sample_value.h"
#include "engines/engine_health_report.h"
#include "engines/engine_list_core.h"
#include "engines/engine_table.h"
#include "gateway/batch_dialect.h"
#include "gateway/opaque_call.h"
#include "kernel/node_id.h"
#include "membership/directory.h"
#include "membership/gossip_topics.h"
#include "membership/membership_messages.h"
#include "partition/partition_messages.h"
#include "partition/partition_replica.h"
#include "partition/partition_store.h"
#include "partition/partition_types.h"
#include "register/applied_change_log.h"
#include "register/ballot.h"
#include "register/configuration_messages.h"
#include "register/configuration_register.h"
#include "register/quorum_reader.h"
#include "register/reachability_quorum.h"
#include "register/register_messages.h"
#include "register/retirements.h"
#include "register/value_history.h"
#include "slots/slot_messages.h"
#include "slots/slot_pool.h"
#include "wire/frame.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

const FormatFile& formats() {
  static const FormatFile file(SHEDSHED_SOURCE_DIR "/tests/compatibility/formats.txt");
  return file;
}

/// Requires that a sample `T` is written as @p label says, and that those bytes are read back.
template <class T>
void checkFormat(const std::string& label, std::set<std::string>& checked) {
  checked.insert(label);
  const std::string encoded = encodeRecord(sampleOf<T>());
  const auto entry = formats().entries().find(label);
  if (entry == formats().entries().end()) {
    BOOST_ERROR("no format for: " << label << " " << toHex(encoded));
    return;
  }
  BOOST_TEST(toHex(encoded) == entry->second, label);
  const Result<T> decoded = decodeRecord<T>(fromHex(entry->second));
  BOOST_REQUIRE_MESSAGE(static_cast<bool>(decoded), label);
  BOOST_TEST(toHex(encodeRecord(decoded.value())) == entry->second, label);
}

/// As `checkFormat`; the label is the number of the service and of the message in it.
template <class T>
void checkMessage(std::set<std::string>& checked) {
  const std::string label =
      "message." + std::to_string(static_cast<int>(T::kService)) + "." + std::to_string(T::kKind);
  BOOST_TEST(checked.count(label) == 0U, "two messages are " << label);
  checkFormat<T>(label, checked);
}

}  // namespace

BOOST_AUTO_TEST_CASE(messages_and_records_keep_their_bytes) {
  std::set<std::string> checked;
  checkMessage<SubmitChunk>(checked);
  checkMessage<BatchQuery>(checked);
  checkMessage<BatchReply>(checked);
  checkMessage<RunHeartbeat>(checked);
  checkMessage<FetchItems>(checked);
  checkMessage<StartItem>(checked);
  checkMessage<RevertStart>(checked);
  checkMessage<FinishItem>(checked);
  checkMessage<ReturnRun>(checked);
  checkMessage<AssignRun>(checked);
  checkMessage<RunHeartbeatReply>(checked);
  checkMessage<ItemsPage>(checked);
  checkMessage<StartReply>(checked);
  checkMessage<FinishReply>(checked);
  checkMessage<ReserveQueuedTokens>(checked);
  checkMessage<ReserveQueuedTokensReply>(checked);
  checkMessage<QueuedTokensReport>(checked);
  checkMessage<QueuedTokensRequest>(checked);
  checkMessage<ListingPull>(checked);
  checkMessage<ListingReply>(checked);
  checkMessage<DigestRequest>(checked);
  checkMessage<VersionVectorReply>(checked);
  checkMessage<DeltaBatch>(checked);
  checkMessage<DeltaRequest>(checked);
  checkMessage<Ping>(checked);
  checkMessage<Pong>(checked);
  checkMessage<DigestReply>(checked);
  checkMessage<PromiseRequest>(checked);
  checkMessage<PromiseReply>(checked);
  checkMessage<FetchRequest>(checked);
  checkMessage<FetchReply>(checked);
  checkMessage<InstallRequest>(checked);
  checkMessage<InstallReply>(checked);
  checkMessage<ReplicateRequest>(checked);
  checkMessage<ReplicateReply>(checked);
  checkMessage<HeartbeatRequest>(checked);
  checkMessage<HeartbeatReply>(checked);
  checkMessage<PullRequest>(checked);
  checkMessage<PullReply>(checked);
  checkMessage<ReachabilityRequest>(checked);
  checkMessage<ReachabilityReply>(checked);
  checkMessage<PrepareRequest>(checked);
  checkMessage<PrepareReply>(checked);
  checkMessage<AcceptRequest>(checked);
  checkMessage<AcceptReply>(checked);
  checkMessage<ChangeLogRequest>(checked);
  checkMessage<ChangeLogChunk>(checked);
  checkMessage<ReadRequest>(checked);
  checkMessage<ReadReply>(checked);
  checkMessage<IdentityRequest>(checked);
  checkMessage<IdentityReply>(checked);
  checkMessage<FormRequest>(checked);
  checkMessage<FormReply>(checked);
  checkMessage<MembersCommitted>(checked);
  checkMessage<MembersAcknowledged>(checked);
  checkMessage<AcquireSlot>(checked);
  checkMessage<AcquireSlotReply>(checked);
  checkMessage<ReleaseSlot>(checked);
  checkMessage<ReleaseSlotReply>(checked);
  checkMessage<RenewSlots>(checked);
  checkMessage<RenewSlotsReply>(checked);
  checkMessage<RecoveryNotice>(checked);
  checkMessage<GrantedSlotsQuery>(checked);
  checkMessage<HoldTimeReport>(checked);
  checkMessage<LendingLimit>(checked);
  checkMessage<SlotUsageReport>(checked);
  checkFormat<BatchStatus>("batch.batch_status", checked);
  checkFormat<ItemResult>("batch.item_result", checked);
  checkFormat<ResultPage>("batch.result_page", checked);
  checkFormat<UnfinishedItem>("batch.unfinished_item", checked);
  checkFormat<RunId>("batch.run_name", checked);
  checkFormat<AttemptInFlight>("batch.held_attempt", checked);
  checkFormat<RunReport>("batch.run_report", checked);
  checkFormat<RunHeartbeatResult>("batch.run_answer", checked);
  checkFormat<BatchMeta>("batch.batch_meta", checked);
  checkFormat<BodyChunk>("batch.body_chunk", checked);
  checkFormat<PendingDeletionRecord>("batch.garbage_record", checked);
  checkFormat<RunRecord>("batch.run_record", checked);
  checkFormat<ItemRecord>("batch.item_record", checked);
  checkFormat<TokenAccount>("batch.token_account", checked);
  checkFormat<QueuedBatch>("batch.waiting_batch", checked);
  checkFormat<PartitionTokens>("batch.partition_tokens", checked);
  checkFormat<EngineHealthCheckResult>("engines.engine_finding", checked);
  checkFormat<EngineHealthReport>("engines.engine_report", checked);
  checkFormat<EngineInfo>("engines.engine_info", checked);
  checkFormat<BatchItemCall>("gateway.batch_item_call", checked);
  checkFormat<HeaderField>("gateway.header_field", checked);
  checkFormat<NodeId>("kernel.node_id", checked);
  checkFormat<NodeInfo>("membership.node_info", checked);
  checkFormat<GossipVersion>("membership.gossip_version", checked);
  checkFormat<GossipRecord>("membership.gossip_record", checked);
  checkFormat<GossipDelta>("membership.gossip_delta", checked);
  checkFormat<VersionVectorEntry>("membership.vector_entry", checked);
  checkFormat<Suspicion>("membership.suspicion", checked);
  checkFormat<SuspicionList>("membership.suspicion_list", checked);
  checkFormat<PromiseItem>("partition.promise_item", checked);
  checkFormat<PromiseAnswer>("partition.promise_answer", checked);
  checkFormat<TablePage>("partition.table_page", checked);
  checkFormat<ReplicaPosition>("partition.replica_position", checked);
  checkFormat<HeartbeatItem>("partition.heartbeat_item", checked);
  checkFormat<ReplicaState>("partition.replica_state", checked);
  checkFormat<PartitionId>("partition.partition_id", checked);
  checkFormat<Version>("partition.version", checked);
  checkFormat<VersionedRow>("partition.versioned_row", checked);
  checkFormat<Ballot>("register.ballot", checked);
  checkFormat<NamedPatches>("register.named_patches", checked);
  checkFormat<MemberList::Member>("register.member_list_member", checked);
  checkFormat<MemberList>("register.member_list", checked);
  checkFormat<RegisterValue>("register.register_value", checked);
  checkFormat<Digest>("register.digest", checked);
  checkFormat<AppliedChange>("register.ledger_entry", checked);
  checkFormat<AppliedChangeBlock>("register.ledger_block", checked);
  checkFormat<NamedValue>("register.named_value", checked);
  checkFormat<AcceptedState>("register.accepted_state", checked);
  checkFormat<ReadRow>("register.read_row", checked);
  checkFormat<Retirement>("register.retirement", checked);
  checkFormat<RetirementList>("register.retirement_list", checked);
  checkFormat<ValuePatch>("register.value_patch", checked);
  checkFormat<OwnerToken>("slots.owner_token", checked);
  checkFormat<SlotClaim>("slots.slot_claim", checked);
  checkFormat<RenewedSlot>("slots.renewed_slot", checked);
  checkFormat<PoolHoldTime>("slots.pool_hold", checked);
  checkFormat<SlotRow>("slots.slot_row", checked);
  for (const auto& entry : formats().entries()) {
    BOOST_TEST(checked.count(entry.first) == 1U, "nothing reads " << entry.first);
  }
}

BOOST_AUTO_TEST_CASE(frames_keep_their_bytes) {
  FleetKey key{};
  key.fill(7);
  const Frame frame{{"10.0.0.1:7400"}, {"10.0.0.2:7400"}, {ServiceId::Partition, 9, "payload"}};
  BOOST_TEST(toHex(encodeFrame(key, frame)) ==
             "17e9205bfd30e24afe44e6bba63a592edee622802c088a1c39cac1fb2c2ab92c9591ad31302e302e302e3"
             "13a3734303091ad31302e302e302e323a373430300409a77061796c6f6164");
}

BOOST_AUTO_TEST_CASE(enumerations_keep_their_numbers) {
  const auto number = [](auto value) { return static_cast<int>(value); };
  BOOST_TEST(number(NodeRole::Data) == 1);
  BOOST_TEST(number(NodeRole::Register) == 2);
  BOOST_TEST(number(NodeRole::Store) == 3);
  BOOST_TEST(number(NodeState::Alive) == 1);
  BOOST_TEST(number(NodeState::Suspect) == 2);
  BOOST_TEST(number(NodeState::Draining) == 3);
  BOOST_TEST(number(NodeState::Dead) == 4);
  BOOST_TEST(number(EngineState::Unknown) == 0);
  BOOST_TEST(number(EngineState::Ready) == 1);
  BOOST_TEST(number(EngineState::Draining) == 2);
  BOOST_TEST(number(EngineState::Gone) == 3);
  BOOST_TEST(number(SlotClass::Live) == 1);
  BOOST_TEST(number(SlotClass::BatchItem) == 2);
  BOOST_TEST(number(SlotOutcome::Granted) == 1);
  BOOST_TEST(number(SlotOutcome::Full) == 2);
  BOOST_TEST(number(SlotOutcome::NotOwner) == 3);
  BOOST_TEST(number(SlotOutcome::NotReady) == 4);
  BOOST_TEST(number(SlotOutcome::Overcommitted) == 5);
  BOOST_TEST(number(SlotOutcome::Released) == 6);
  BOOST_TEST(number(AcceptorVerdict::Granted) == 1);
  BOOST_TEST(number(AcceptorVerdict::BallotTooLow) == 2);
  BOOST_TEST(number(AcceptorVerdict::StaleMembers) == 3);
  BOOST_TEST(number(AcceptorVerdict::ChangeLogMissing) == 4);
  BOOST_TEST(number(TableKind::Slots) == 1);
  BOOST_TEST(number(TableKind::Batches) == 2);
  BOOST_TEST(number(ItemState::Pending) == 1);
  BOOST_TEST(number(ItemState::Started) == 2);
  BOOST_TEST(number(ItemState::Done) == 3);
  BOOST_TEST(number(ItemState::Failed) == 4);
  BOOST_TEST(number(ItemState::Cancelled) == 5);
  BOOST_TEST(number(ItemState::Unknown) == 6);
  BOOST_TEST(number(BatchQueryKind::Status) == 1);
  BOOST_TEST(number(BatchQueryKind::Results) == 2);
  BOOST_TEST(number(BatchQueryKind::Unfinished) == 3);
  BOOST_TEST(number(BatchQueryKind::Cancel) == 4);
  BOOST_TEST(number(BatchQueryKind::ItemBody) == 5);
  BOOST_TEST(number(RunStatus::Active) == 1);
  BOOST_TEST(number(RunStatus::Ended) == 2);
  BOOST_TEST(number(RunStatus::NotOwner) == 3);
  BOOST_TEST(number(RunStatus::Stopped) == 4);
  BOOST_TEST(number(StartOutcome::Accepted) == 1);
  BOOST_TEST(number(StartOutcome::Rejected) == 2);
  BOOST_TEST(number(ReserveOutcome::Granted) == 1);
  BOOST_TEST(number(ReserveOutcome::Full) == 2);
  BOOST_TEST(number(ReserveOutcome::NotReady) == 3);
}

// Error types appear in JSON by name and in messages by number.
BOOST_AUTO_TEST_CASE(error_types_keep_their_names_and_numbers) {
  const std::vector<std::string> names{
      "internal",          "invalid_argument", "too_large",         "unauthenticated",
      "permission_denied", "not_found",        "version_conflict",  "order_id_reused",
      "outcome_unknown",   "not_owner",        "stale_epoch",       "no_quorum",
      "not_ready",         "draining",         "pool_full",         "store_unavailable",
      "no_engine",         "engine_failed",    "response_mismatch", "response_truncated",
      "deadline_exceeded", "cancelled",        "storage_full",      "storage_corrupt",
      "storage_failed",    "already_exists"};
  for (std::size_t code = 0; code < names.size(); ++code) {
    BOOST_TEST(errorTypeName(static_cast<ErrorCode>(code)) == names[code]);
  }
  BOOST_TEST(ranName(Ran::No) == "no");
  BOOST_TEST(ranName(Ran::Unknown) == "unknown");
  BOOST_TEST(ranName(Ran::Yes) == "yes");
}
