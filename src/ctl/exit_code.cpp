#include "ctl/exit_code.h"

namespace shedshed::ctl {

ExitCode exitCodeOf(const Error& error) {
  switch (error.code) {
  case ErrorCode::VersionConflict:
  case ErrorCode::IdempotencyKeyReused:
  case ErrorCode::AlreadyExists:
    return ExitCode::Conflict;
  case ErrorCode::OutcomeUnknown:
    return ExitCode::Unknown;
  case ErrorCode::Unauthenticated:
  case ErrorCode::PermissionDenied:
    return ExitCode::Denied;
  case ErrorCode::InvalidArgument:
  case ErrorCode::TooLarge:
  case ErrorCode::NotFound:
    return ExitCode::Refused;
  default:
    return ExitCode::Unavailable;
  }
}

const char* recoveryHint(const Error& error) {
  switch (error.code) {
  case ErrorCode::VersionConflict:
    return "read the newest value (shedctl settings get), apply your change to it and send it "
           "with that --base-version and a new order id";
  case ErrorCode::IdempotencyKeyReused:
    return "omit --order-id, so that a new one is generated";
  case ErrorCode::OutcomeUnknown:
    return "resend the same change with the --order-id and --base-version shown; it takes "
           "effect at most once";
  case ErrorCode::Unauthenticated:
  case ErrorCode::PermissionDenied:
    return "check --key-file against operator_key_file of the node";
  case ErrorCode::NoQuorum:
    return "run shedctl status to see which control machines are missing, then retry";
  case ErrorCode::NotReady:
    return "form a new fleet with shedctl init; otherwise retry in a second";
  case ErrorCode::StoreUnavailable:
    return "check the --node addresses (operators_address of any node), then retry";
  default:
    return "";
  }
}

const char* exitCodeHelp() {
  return "Exit codes:\n"
         "  0  done\n"
         "  1  wrong flags, arguments or files; nothing was sent\n"
         "  2  refused by the fleet; nothing changed\n"
         "  3  conflict: another change was first, the order id was used, or the object exists\n"
         "  4  no node or no quorum available; nothing changed, retry\n"
         "  5  outcome unknown: resend with the same --order-id and --base-version\n"
         "  6  the operator key is missing or wrong\n"
         "  7  wait, stores: not done within --timeout-s; run the same command again\n";
}

}  // namespace shedshed::ctl
