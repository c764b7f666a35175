// shedctl against fake nodes: resending, exit codes, and the requests and output of the commands.
#include "ctl/ctl_command.h"

#include "settings/json.h"
#include "settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <sstream>

using namespace shedshed;
using namespace shedshed::ctl;

namespace {

/// Returns scripted responses for each node and method; the last one is repeated.
class ScriptedTransport : public Transport {
 public:
  Result<FleetResponse> exchange(const std::string& node, const FleetRequest& request) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests.push_back({node, request});
    std::deque<Result<FleetResponse>>& script = scripts[node + " " + request.method];
    if (script.empty()) {
      return makeError(ErrorCode::StoreUnavailable, "refused");
    }
    const Result<FleetResponse> response = script.front();
    if (script.size() > 1) {
      script.pop_front();
    }
    return response;
  }
  std::map<std::string, std::deque<Result<FleetResponse>>> scripts;
  std::vector<std::pair<std::string, FleetRequest>> requests;

 private:
  std::mutex mutex_;
};

struct CtlHarness {
  ExitCode run(std::vector<const char*> arguments, const std::string& input = "") {
    arguments.insert(arguments.begin(), {"shedctl", "--node", "127.0.0.1:1,127.0.0.2:1"});
    arguments.push_back(nullptr);
    const Result<CommandLine> line =
        parseCommandLine(static_cast<int>(arguments.size()) - 1, arguments.data());
    BOOST_REQUIRE(line.has_value());
    std::istringstream in(input);
    out.str("");
    errors.str("");
    Output output(out, errors, line.value().json);
    FleetClient fleet(transport, line.value().nodes);
    std::chrono::milliseconds time(0);
    CtlContext context{line.value(),
                       fleet,
                       output,
                       in,
                       [&time] { return time; },
                       [&time](std::chrono::milliseconds pause) { time += pause; }};
    return runCommand(context);
  }
  void addResponse(const std::string& node, const std::string& method,
                   Result<FleetResponse> response) {
    transport.scripts[node + " " + method].push_back(std::move(response));
  }

  ScriptedTransport transport;
  std::ostringstream out;
  std::ostringstream errors;
};

const std::string kFirstNode = "127.0.0.1:1";
const std::string kSecondNode = "127.0.0.2:1";

Error unknownOutcome() {
  return makeError(ErrorCode::OutcomeUnknown, "lost", Ran::Unknown);
}

std::string nodeStatus(int version) {
  return R"({"ready":true,"fresh_remaining_ms":3000,"versions":{"settings":)" +
         std::to_string(version) +
         R"(},"epochs":[{"owner":true},{"owner":false}],"nodes":[)"
         R"({"id":"b","state":"alive","role":"data","operators_address":"127.0.0.2:1"},)"
         R"({"id":"a","state":"alive","role":"store","operators_address":"127.0.0.1:1"},)"
         R"({"id":"c","state":"dead","role":"data","operators_address":"127.0.0.3:1"}]})";
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_change_is_resent_to_the_next_node_with_the_same_order_id) {
  CtlHarness harness;
  harness.addResponse(kFirstNode, "PUT", unknownOutcome());
  harness.addResponse(kSecondNode, "PUT", FleetResponse{R"({"version":4,"repeated":true})", 4});
  BOOST_TEST((harness.run({"settings", "set", "-", "-b", "3"}, "{}") == ExitCode::Ok));
  BOOST_TEST(harness.out.str() == "version 4 (had taken effect before)\n");
  const auto& requests = harness.transport.requests;
  BOOST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(!requests[0].second.orderId.empty());
  BOOST_TEST(requests[0].second.orderId == requests[1].second.orderId);
  BOOST_TEST(requests[1].second.baseVersion.value() == 3U);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_never_reported_as_refused) {
  for (const ErrorCode later : {ErrorCode::StoreUnavailable, ErrorCode::NoQuorum,
                                ErrorCode::Unauthenticated, ErrorCode::InvalidArgument}) {
    CtlHarness harness;
    harness.addResponse(kFirstNode, "PUT", unknownOutcome());
    harness.addResponse(kSecondNode, "PUT", makeError(later));
    BOOST_TEST((harness.run({"settings", "set", "-", "-b", "3", "-o", "order"}, "{}") ==
                ExitCode::Unknown));
    BOOST_TEST(harness.errors.str().find("--order-id order --base-version 3") != std::string::npos);
  }
  CtlHarness harness;
  harness.addResponse(kFirstNode, "PUT", unknownOutcome());
  harness.addResponse(kSecondNode, "PUT", makeError(ErrorCode::VersionConflict));
  BOOST_TEST((harness.run({"settings", "set", "-", "-b", "3"}, "{}") == ExitCode::Conflict));
}

BOOST_AUTO_TEST_CASE(errors_map_to_exit_codes) {
  const std::map<ErrorCode, ExitCode> expected = {
      {ErrorCode::InvalidArgument, ExitCode::Refused},
      {ErrorCode::IdempotencyKeyReused, ExitCode::Conflict},
      {ErrorCode::NoQuorum, ExitCode::Unavailable},
      {ErrorCode::Unauthenticated, ExitCode::Denied}};
  for (const auto& entry : expected) {
    CtlHarness harness;
    harness.addResponse(kFirstNode, "GET", makeError(entry.first, "why"));
    harness.addResponse(kSecondNode, "GET", makeError(entry.first, "why"));
    BOOST_TEST((harness.run({"settings", "get", "--json"}) == entry.second));
    BOOST_TEST(harness.out.str().find(std::string(errorTypeName(entry.first))) !=
               std::string::npos);
  }
  CtlHarness harness;
  BOOST_TEST((harness.run({"settings", "set", "-"}) == ExitCode::Usage));
  BOOST_TEST((harness.run({"settings", "patch", "-", "-o", "x"}) == ExitCode::Usage));
  BOOST_TEST((harness.run({"nothing"}) == ExitCode::Usage));
  BOOST_TEST(harness.transport.requests.empty());
}

BOOST_AUTO_TEST_CASE(withdrawing_a_key_retries_after_a_conflict_and_is_idempotent) {
  CtlHarness harness;
  const std::string before =
      R"({"tenants":{"acme":{"per_s":2,"keys":[{"digest":"d1"},{"digest":"d2"}]}}})";
  const std::string after =
      R"({"tenants":{"acme":{"keys":[{"digest":"d1"},{"digest":"d2","withdrawn":true}]}}})";
  harness.addResponse(kFirstNode, "GET", FleetResponse{before, 3});
  harness.addResponse(kFirstNode, "GET", FleetResponse{before, 4});
  harness.addResponse(kFirstNode, "GET", FleetResponse{after, 5});
  harness.addResponse(kFirstNode, "PATCH", makeError(ErrorCode::VersionConflict));
  harness.addResponse(kFirstNode, "PATCH", FleetResponse{R"({"version":5,"repeated":false})", 5});
  BOOST_TEST((harness.run({"keys", "withdraw", "acme", "d2"}) == ExitCode::Ok));
  const FleetRequest sent = harness.transport.requests.back().second;
  BOOST_TEST(sent.body == after);
  BOOST_TEST(sent.baseVersion.value() == 4U);
  BOOST_TEST(sent.orderId != harness.transport.requests[1].second.orderId);
  BOOST_TEST((harness.run({"keys", "withdraw", "acme", "d2"}) == ExitCode::Ok));
  BOOST_TEST(harness.transport.requests.back().second.method == "GET");
  BOOST_TEST((harness.run({"keys", "withdraw", "acme", "d9"}) == ExitCode::Refused));
}

BOOST_AUTO_TEST_CASE(wait_ends_when_all_live_nodes_have_the_version) {
  CtlHarness harness;
  harness.addResponse(kFirstNode, "GET", FleetResponse{nodeStatus(7), 0});
  harness.addResponse(kSecondNode, "GET", FleetResponse{nodeStatus(6), 0});
  harness.addResponse(kSecondNode, "GET", FleetResponse{nodeStatus(7), 0});
  BOOST_TEST((harness.run({"wait", "--version", "7"}) == ExitCode::Ok));
  BOOST_TEST(harness.out.str() == "settings version 7 is in force everywhere after 50 ms\n");
  BOOST_TEST(
      (harness.run({"wait", "--version", "8", "-t", "1", "--json"}) == ExitCode::NotInForceYet));
  BOOST_TEST(harness.out.str().find(R"("missing_on":["a","b"])") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(status_names_the_nodes_that_are_behind) {
  CtlHarness harness;
  harness.addResponse(kFirstNode, "GET", FleetResponse{nodeStatus(7), 0});
  harness.addResponse(kSecondNode, "GET", FleetResponse{nodeStatus(6), 0});
  BOOST_TEST((harness.run({"status"}) == ExitCode::Ok));
  BOOST_TEST(harness.out.str().find("behind in settings") != std::string::npos);
  BOOST_TEST((harness.run({"status", "--json"}) == ExitCode::Ok));
  BOOST_TEST(JsonDocument::parse(harness.out.str()).has_value());
}

BOOST_AUTO_TEST_CASE(a_tenant_is_created_once_and_listed) {
  CtlHarness harness;
  harness.addResponse(kFirstNode, "GET", FleetResponse{"{}", 0});
  harness.addResponse(kFirstNode, "GET",
                      FleetResponse{R"({"tenants":{"acme":{"per_s":2.5,"burst":3}}})", 1});
  harness.addResponse(kFirstNode, "PATCH", FleetResponse{R"({"version":1,"repeated":false})", 1});
  const std::vector<const char*> create = {"tenants", "create",  "acme", "--per-s",
                                           "2.5",     "--burst", "3"};
  BOOST_TEST((harness.run(create) == ExitCode::Ok));
  BOOST_TEST(harness.transport.requests.back().second.body ==
             R"({"tenants":{"acme":{"per_s":2.5,"burst":3}}})");
  BOOST_TEST((harness.run(create) == ExitCode::Ok));
  BOOST_TEST((harness.run({"tenants", "create", "acme", "--burst", "9"}) == ExitCode::Conflict));
  BOOST_TEST((harness.run({"tenants", "list"}) == ExitCode::Ok));
  BOOST_TEST(harness.out.str().find("acme    2.5    3") != std::string::npos);
}

namespace {

/// A status response with the progress of the node itself, and the list of two nodes, 10.0.0.1:1 at
/// 127.0.0.1:1 and 10.0.0.2:1 at 127.0.0.2:1.
FleetResponse storeStatus(bool member, int held, int settled, const char* role = "store") {
  return {std::string(R"({"ready":true,"store":{"member":)") + (member ? "true" : "false") +
              R"(,"held":)" + std::to_string(held) + R"(,"settled":)" + std::to_string(settled) +
              R"(,"total":64},"nodes":[)" + R"({"id":"10.0.0.1:1","state":"alive","role":")" +
              role + R"(","operators_address":"127.0.0.1:1"},)" +
              R"({"id":"10.0.0.2:1","state":"alive","role":")" + role +
              R"(","operators_address":"127.0.0.2:1"}]})",
          0};
}

const FleetResponse kStoreMembers{R"({"stores":[{"id":"10.0.0.1:1"},{"id":"10.0.0.9:1"}]})", 2};

/// Scripts the first node for @p polls polls, each a list and its own status, then the members.
void scriptPolls(CtlHarness& harness, int polls) {
  for (int i = 0; i < 2 * polls; ++i) {
    harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  }
  harness.addResponse(kFirstNode, "GET", kStoreMembers);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_store_is_admitted_when_complete_and_done_when_all_owners_acknowledge_it) {
  CtlHarness harness;
  scriptPolls(harness, 3);
  scriptPolls(harness, 1);
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kSecondNode, "GET", storeStatus(false, 0, 0));
  harness.addResponse(kSecondNode, "GET", storeStatus(false, 63, 0));
  harness.addResponse(kSecondNode, "GET", storeStatus(false, 64, 0));
  harness.addResponse(kSecondNode, "GET", storeStatus(true, 64, 12));
  harness.addResponse(kSecondNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kSecondNode, "POST",
                      makeError(ErrorCode::OutcomeUnknown, "lost", Ran::Unknown));
  harness.addResponse(kSecondNode, "POST", FleetResponse{"{}", 0});
  const std::vector<const char*> replace = {"stores", "replace", "10.0.0.9:1", "10.0.0.2:1"};
  BOOST_TEST((harness.run(replace) == ExitCode::Ok));
  BOOST_TEST(harness.errors.str().find("holds 63 of 64") != std::string::npos);
  std::size_t postCount = 0;
  std::size_t readsBeforePost = 0;
  for (const auto& request : harness.transport.requests) {
    const bool read = request.first == kSecondNode && request.second.method == "GET";
    readsBeforePost += read && postCount == 0 ? 1 : 0;
    if (request.second.method == "POST") {
      ++postCount;
      BOOST_TEST(request.first == kSecondNode);
      BOOST_TEST(request.second.body == R"({"old":"10.0.0.9:1","new":"10.0.0.2:1"})");
    }
  }
  BOOST_TEST(readsBeforePost == 3U);
  BOOST_TEST(postCount == 2U);
}

BOOST_AUTO_TEST_CASE(an_incomplete_or_rejected_replacement_returns_its_exit_code) {
  CtlHarness harness;
  scriptPolls(harness, 1);
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kSecondNode, "GET", storeStatus(true, 64, 63));
  harness.addResponse(kSecondNode, "POST", FleetResponse{"{}", 0});
  BOOST_TEST((harness.run({"stores", "replace", "10.0.0.9:1", "10.0.0.2:1", "-t", "1"}) ==
              ExitCode::NotInForceYet));
  BOOST_TEST(harness.errors.str().find("63 of 64") != std::string::npos);
  CtlHarness rejected;
  scriptPolls(rejected, 1);
  rejected.addResponse(kSecondNode, "GET", storeStatus(false, 64, 0));
  rejected.addResponse(kSecondNode, "POST", makeError(ErrorCode::AlreadyExists, "another disk"));
  BOOST_TEST(
      (rejected.run({"stores", "replace", "10.0.0.9:1", "10.0.0.2:1"}) == ExitCode::Conflict));
  CtlHarness nonMember;
  scriptPolls(nonMember, 1);
  nonMember.addResponse(kSecondNode, "GET", storeStatus(false, 64, 0));
  BOOST_TEST(
      (nonMember.run({"stores", "replace", "10.0.0.8:1", "10.0.0.2:1"}) == ExitCode::Refused));
  BOOST_TEST(nonMember.errors.str().find("10.0.0.8:1 is not a member") != std::string::npos);
  BOOST_TEST((rejected.run({"stores", "replace", "10.0.0.9:1"}) == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(slots_of_all_stores_are_merged_and_the_higher_epoch_counts) {
  CtlHarness harness;
  const std::string pool =
      R"({"limiter":"tenant","key":"acme","size":9,"per_s":4,"hold_ms":2000,"burst":1,)"
      R"("unscaled":9,"scale":1,"live":1,"batch_items":0,"epoch":)";
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kFirstNode, "GET", FleetResponse{R"({"pools":[)" + pool + "3}]}", 0});
  harness.addResponse(kSecondNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kSecondNode, "GET",
                      FleetResponse{R"({"pools":[)" + pool +
                                        R"(4,"slots":[{"number":2,"holder":"h:1","class":"live",)"
                                        R"("age_ms":70,"expires_in_ms":900}]}]})",
                                    0});
  BOOST_TEST((harness.run({"slots"}) == ExitCode::Ok));
  BOOST_TEST(harness.out.str().find("ceil(4/s x 2000 ms) + 1 = 9") != std::string::npos);
  BOOST_TEST(harness.out.str().find("h:1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_batch_is_cancelled_on_the_store_that_owns_it) {
  CtlHarness harness;
  const std::string batch =
      R"({"id":"b1","tenant":"acme","items":3,"pending":0,"started":0,"done":1,"cancelled":true})";
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kFirstNode, "GET", makeError(ErrorCode::NotOwner));
  harness.addResponse(kSecondNode, "GET", storeStatus(true, 64, 64));
  harness.addResponse(kSecondNode, "GET", FleetResponse{batch, 0});
  harness.addResponse(kSecondNode, "POST", FleetResponse{batch, 0});
  BOOST_TEST((harness.run({"batches", "cancel", "b1"}) == ExitCode::Ok));
  BOOST_TEST(harness.transport.requests.back().second.url == "/v1/batches/b1/cancel");
  BOOST_TEST(harness.out.str().find("cancelled") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(explain_shows_the_steps_or_reports_not_found) {
  CtlHarness harness;
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64, "data"));
  harness.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64, "data"));
  harness.addResponse(kFirstNode, "GET", makeError(ErrorCode::NotFound));
  harness.addResponse(kSecondNode, "GET", storeStatus(true, 64, 64, "data"));
  harness.addResponse(
      kSecondNode, "GET",
      FleetResponse{R"({"steps":[{"after_ms":3,"step":"slot","detail":"tenant acme: number 4"}]})",
                    0});
  BOOST_TEST((harness.run({"explain", "r1"}) == ExitCode::Ok));
  BOOST_TEST(harness.out.str().find("tenant acme: number 4") != std::string::npos);
  CtlHarness unknownCall;
  unknownCall.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64, "data"));
  unknownCall.addResponse(kFirstNode, "GET", storeStatus(true, 64, 64, "data"));
  unknownCall.addResponse(kFirstNode, "GET", makeError(ErrorCode::NotFound));
  unknownCall.addResponse(kSecondNode, "GET", storeStatus(true, 64, 64, "data"));
  unknownCall.addResponse(kSecondNode, "GET", makeError(ErrorCode::NotFound));
  BOOST_TEST((unknownCall.run({"explain", "r1"}) == ExitCode::Refused));
}

BOOST_AUTO_TEST_CASE(an_engine_is_drained_once_and_undrained) {
  CtlHarness harness;
  const std::string plain =
      R"({"engines":[{"id":"e1","address":"1.1.1.1:1","model":"m","max_running":8}]})";
  const std::string drained =
      R"({"engines":[{"id":"e1","address":"1.1.1.1:1","model":"m","max_running":8,"draining":true}]})";
  harness.addResponse(kFirstNode, "GET", FleetResponse{plain, 3});
  harness.addResponse(kFirstNode, "GET", FleetResponse{drained, 4});
  harness.addResponse(kFirstNode, "PUT", FleetResponse{R"({"version":4,"repeated":false})", 4});
  BOOST_TEST((harness.run({"engines", "drain", "e1"}) == ExitCode::Ok));
  BOOST_TEST(harness.transport.requests.back().second.body == drained);
  BOOST_TEST((harness.run({"engines", "drain", "e1"}) == ExitCode::Ok));
  BOOST_TEST(harness.transport.requests.back().second.method == "GET");
  BOOST_TEST((harness.run({"engines", "undrain", "e1"}) == ExitCode::Ok));
  BOOST_TEST(harness.transport.requests.back().second.body == plain);
  BOOST_TEST((harness.run({"engines", "drain", "e2"}) == ExitCode::Refused));
}
