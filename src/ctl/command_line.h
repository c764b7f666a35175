/// @file
/// The command line of `shedctl`.
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shedshed::ctl {

struct CommandLine {
  std::vector<std::string> nodes;  ///< Operators' addresses, tried in this order.
  std::string keyFile;
  bool json = false;
  std::optional<std::uint64_t> baseVersion;
  std::string orderId;
  std::string effective;                     ///< "TENANT" or "TENANT/ROUTE".
  std::string registerName = "settings";     ///< For `wait`.
  std::optional<std::uint64_t> waitVersion;  ///< For `wait`.
  unsigned timeoutSeconds = 30;              ///< For `wait` and `stores`.
  std::vector<std::string> acceptors;        ///< For `init`.
  std::vector<std::string> stores;           ///< For `init`.
  std::optional<double> perSecond;           ///< For `tenants create`.
  std::optional<std::uint64_t> burst;        ///< For `tenants create`.
  std::string keyDigest;                     ///< For `tenants create`.
  std::vector<std::string> arguments;        ///< Positional: the command and its arguments.

  /// Text of `--help` or `--version`; if it is not empty, nothing else is filled in.
  std::string informationText;

  /// Returns positional argument @p index, or "" if there are fewer.
  std::string argument(std::size_t index) const {
    return index < arguments.size() ? arguments[index] : std::string();
  }
};

/// Parses the arguments. Fails with `InvalidArgument`; the detail names the flag, the value and the
/// allowed values.
Result<CommandLine> parseCommandLine(int argc, const char** argv);

}  // namespace shedshed::ctl
