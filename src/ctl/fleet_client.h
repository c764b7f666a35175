/// @file
/// Client of the operators' HTTP interface, which every node of the fleet serves.
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shedshed::ctl {

/// One request. A change carries a base version and an order id, its idempotency key.
struct FleetRequest {
  std::string method = "GET";
  std::string url;
  std::string body;
  std::optional<std::uint64_t> baseVersion;
  std::string orderId;
  bool changesState = false;
};

/// A successful response.
struct FleetResponse {
  std::string body;
  std::uint64_t version = 0;  ///< From `ETag`; 0 if absent.
};

/// Exchanges one request with one node.
class Transport {
 public:
  virtual ~Transport() = default;

  /// Returns the response, or the error that the node sent. If no complete response arrived, the
  /// error is `StoreUnavailable` when nothing was sent, else `OutcomeUnknown`.
  virtual Result<FleetResponse> exchange(const std::string& node, const FleetRequest& request) = 0;
};

/// Sends requests to the given nodes in turn. A change is sent to the next node with the same order
/// id, by which the registers apply it at most once.
class FleetClient {
 public:
  FleetClient(Transport& transport, std::vector<std::string> nodes)
      : transport_(transport), nodes_(std::move(nodes)) {}

  /// Calls the nodes in order until one returns success or an error that every node would return.
  /// For a change of which one attempt may have taken effect, only a response that resolves that
  /// order id ends the search; else the result is `OutcomeUnknown`.
  Result<FleetResponse> call(const FleetRequest& request);

  /// Calls one node.
  Result<FleetResponse> callNode(const std::string& node, const FleetRequest& request) {
    return transport_.exchange(node, request);
  }

 private:
  Transport& transport_;
  std::vector<std::string> nodes_;
};

/// Returns a random order id.
std::string newOrderId();

}  // namespace shedshed::ctl
