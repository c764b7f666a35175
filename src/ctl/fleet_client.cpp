#include "ctl/fleet_client.h"

#include <array>
#include <sodium.h>

namespace shedshed::ctl {

namespace {

constexpr std::size_t kOrderIdBytes = 16;

/// True if every node would return the same error.
bool isFinal(ErrorCode code) {
  switch (code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::TooLarge:
  case ErrorCode::NotFound:
  case ErrorCode::VersionConflict:
  case ErrorCode::IdempotencyKeyReused:
  case ErrorCode::AlreadyExists:
    return true;
  default:
    return false;
  }
}

/// True if the node checked the committed changes before it returned the error, so that it also
/// resolves the outcome of earlier attempts with the same order id.
bool resolvesEarlierAttempts(ErrorCode code) {
  return code == ErrorCode::VersionConflict || code == ErrorCode::IdempotencyKeyReused ||
         code == ErrorCode::AlreadyExists;
}

}  // namespace

Result<FleetResponse> FleetClient::call(const FleetRequest& request) {
  Error lastError = makeError(ErrorCode::StoreUnavailable, "no node address was given; see --node");
  std::optional<Error> unknownOutcome;
  for (const std::string& node : nodes_) {
    Result<FleetResponse> response = transport_.exchange(node, request);
    if (response) {
      return response;
    }
    lastError = response.error();
    lastError.detail = node + ": " + lastError.detail;
    if (unknownOutcome ? resolvesEarlierAttempts(lastError.code) : isFinal(lastError.code)) {
      return lastError;
    }
    if (request.changesState && lastError.code == ErrorCode::OutcomeUnknown) {
      unknownOutcome = lastError;
    }
  }
  return unknownOutcome.value_or(lastError);
}

std::string newOrderId() {
  std::array<unsigned char, kOrderIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kOrderIdBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  return std::string(hex.data());
}

}  // namespace shedshed::ctl
