/// @file
/// `Transport` over cxxtools HTTP.
#pragma once

#include "ctl/fleet_client.h"

#include <chrono>

namespace shedshed::ctl {

/// One connection per exchange. Thread-safe.
class HttpTransport : public Transport {
 public:
  /// @p key is the operators' bearer key. @p answerTimeout must be longer than the server's
  /// deadline for commands.
  explicit HttpTransport(std::string key,
                         std::chrono::milliseconds responseTimeout = std::chrono::seconds(15),
                         std::chrono::milliseconds connectTimeout = std::chrono::seconds(2))
      : key_(std::move(key)), responseTimeout_(responseTimeout), connectTimeout_(connectTimeout) {}

  Result<FleetResponse> exchange(const std::string& node, const FleetRequest& request) override;

 private:
  std::string key_;
  std::chrono::milliseconds responseTimeout_;
  std::chrono::milliseconds connectTimeout_;
};

}  // namespace shedshed::ctl
