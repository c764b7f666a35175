/// @file
/// Client of the operators' HTTP of any node of the fleet.
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shedshed::ctl {

/// One call. A change carries a base version and an order id.
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
/// id, which the registers' ledger makes safe.
class FleetClient {
 public:
  FleetClient(Transport& transport, std::vector<std::string> nodes)
      : transport_(transport), nodes_(std::move(nodes)) {}

  /// Calls the first node that can answer. For a change of which one attempt may have taken
  /// effect, only a response that resolves that order id ends the search; else `OutcomeUnknown`.
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
