#include "ctl/command_line.h"

#include "ctl/exit_code.h"
#include "settings/ip_port.h"
#include "settings/process_settings.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace shedshed::ctl {

namespace {

constexpr double kMaxTimeoutSeconds = 3600;
constexpr double kMaxNumber = 1e15;

constexpr const char* kCommandHelp =
    "\nCommands:\n"
    "  init                            form the fleet, once (--acceptors, --stores)\n"
    "  status                          all nodes: roles, versions in force, outdated nodes\n"
    "  members                         voters of the registers and stores\n"
    "  settings get                    the settings and their version (--effective)\n"
    "  settings set FILE               replace the settings (--base-version)\n"
    "  settings patch FILE             merge a partial tree into the settings\n"
    "  settings diff FILE              the merge patch from the settings to FILE\n"
    "  engines list                    the platform's listing of engines\n"
    "  engines put FILE                replace the listing (--base-version)\n"
    "  engines drain|undrain ID        no new calls to an engine; running calls finish\n"
    "  slots                           pools of slots: N, why that N, holders and their age\n"
    "  batches list                    the batches of all tenants\n"
    "  batches show|cancel ID          one batch; a cancel is safe to repeat\n"
    "  explain REQUEST_ID              the decisions made for a call, with reasons\n"
    "  tenants list                    tenants, their share and their keys\n"
    "  tenants create NAME             new tenant (--per-s, --burst, --key-digest)\n"
    "  keys digest FILE                digest of the caller's key in FILE\n"
    "  keys add TENANT DIGEST          list a caller's key\n"
    "  keys withdraw TENANT DIGEST     withdraw a caller's key\n"
    "  stores list                     stores and the partitions that each holds\n"
    "  stores replace OLD NEW          replace OLD by the empty store NEW; both are\n"
    "                                  internal addresses, the same for an emptied store\n"
    "  stores repair                   wait until each member holds all data\n"
    "  wait --version V                wait until V is in force on all nodes (--register)\n"
    "\nFILE may be - for standard input.\n"
    "\nExamples:\n"
    "  shedctl --node 10.0.0.1:7001 --key-file op.key status\n"
    "  shedctl --node 10.0.0.1:7001 --node 10.0.1.1:7001 --key-file op.key settings get --json\n"
    "  echo '{\"fleet\":{\"burst\":8}}' | shedctl ... settings patch -\n"
    "  shedctl ... settings set tree.json --base-version 41\n"
    "  shedctl ... settings get --effective acme/v1/batches\n"
    "  shedctl ... stores replace 10.0.0.2:7000 10.0.0.9:7000 --timeout-s 600\n"
    "  shedctl ... engines drain gpu-17\n"
    "  shedctl ... slots --json\n"
    "  shedctl ... batches cancel b-5f1c\n"
    "  shedctl ... explain 3f0c9a52d1e84b77\n"
    "  shedctl ... wait --version 42\n\n";

enum OptionCode : int {
  kHelp = 1,
  kVersion,
  kNode,
  kKeyFile,
  kJson,
  kBaseVersion,
  kOrderId,
  kEffective,
  kRegister,
  kTimeout,
  kAcceptors,
  kStores,
  kPerSecond,
  kBurst,
  kKeyDigest
};

const poptOption kOptions[] = {
    {"node", 'n', POPT_ARG_STRING, nullptr, kNode,
     "Operators' address of a node; repeat it to name others to try", "IP:PORT"},
    {"key-file", 'k', POPT_ARG_STRING, nullptr, kKeyFile, "File with the operator key", "FILE"},
    {"json", 'j', POPT_ARG_NONE, nullptr, kJson, "Print JSON", nullptr},
    {"base-version", 'b', POPT_ARG_STRING, nullptr, kBaseVersion,
     "Version that the change builds on", "V"},
    {"order-id", 'o', POPT_ARG_STRING, nullptr, kOrderId,
     "Order id of a change that is resent; needs --base-version", "ID"},
    {"effective", 'e', POPT_ARG_STRING, nullptr, kEffective,
     "Show the values in force and their level", "TENANT/ROUTE"},
    {"register", '\0', POPT_ARG_STRING, nullptr, kRegister,
     "Register to wait for: settings (default), engines or members", "NAME"},
    {"timeout-s", 't', POPT_ARG_STRING, nullptr, kTimeout,
     "Timeout of wait and stores, 30 by default", "SECONDS"},
    {"acceptors", '\0', POPT_ARG_STRING, nullptr, kAcceptors,
     "Internal addresses of the voters, separated by commas", "LIST"},
    {"stores", '\0', POPT_ARG_STRING, nullptr, kStores,
     "Internal addresses of the stores, separated by commas", "LIST"},
    {"per-s", '\0', POPT_ARG_STRING, nullptr, kPerSecond, "per_s of a new tenant", "NUMBER"},
    {"burst", '\0', POPT_ARG_STRING, nullptr, kBurst, "burst of a new tenant", "NUMBER"},
    {"key-digest", '\0', POPT_ARG_STRING, nullptr, kKeyDigest,
     "Digest of the first key of a new tenant", "HEX"},
    {"help", '?', POPT_ARG_NONE, nullptr, kHelp, "Show this help", nullptr},
    {"version", '\0', POPT_ARG_STRING | POPT_ARGFLAG_OPTIONAL, nullptr, kVersion,
     "Version to wait for; alone: show the version of shedctl", "V"},
    POPT_TABLEEND};

struct PoptContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using PoptContext = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter>;

std::string helpText(poptContext context) {
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* stream = open_memstream(&text, &size);
  poptPrintHelp(context, stream, 0);
  std::fclose(stream);
  std::string help(text, size);
  std::free(text);
  return help + kCommandHelp + exitCodeHelp();
}

Error flagError(const std::string& flag, const std::string& value, const std::string& allowed) {
  return makeError(ErrorCode::InvalidArgument,
                   flag + ": found \"" + value + "\"; allowed: " + allowed);
}

/// Returns the number in @p value; nullopt unless it is a number from 0 to @p maximum.
std::optional<double> parseNumber(const std::string& value, double maximum) {
  char* end = nullptr;
  const double number = std::strtod(value.c_str(), &end);
  const bool complete = !value.empty() && end == value.c_str() + value.size();
  if (!complete || !std::isfinite(number) || number < 0 || number > maximum) {
    return std::nullopt;
  }
  return number;
}

Result<std::uint64_t> parseUnsigned(const std::string& flag, const std::string& value) {
  const std::optional<double> number = parseNumber(value, kMaxNumber);
  if (!number || std::floor(*number) != *number) {
    return flagError(flag, value, "a whole number");
  }
  return static_cast<std::uint64_t>(*number);
}

Status applyUnsigned(const std::string& flag, const std::string& value,
                     std::optional<std::uint64_t>& target) {
  const Result<std::uint64_t> number = parseUnsigned(flag, value);
  if (!number) {
    return number.error();
  }
  target = number.value();
  return okStatus();
}

Status applyAddresses(const std::string& flag, const std::string& value,
                      std::vector<std::string>& target) {
  std::size_t begin = 0;
  while (begin <= value.size()) {
    const std::size_t end = std::min(value.find(',', begin), value.size());
    const std::string address = value.substr(begin, end - begin);
    if (!isIpPort(address)) {
      return flagError(flag, address, "\"ip:port\"");
    }
    target.push_back(address);
    begin = end + 1;
  }
  return okStatus();
}

Status applyTimeout(const std::string& value, CommandLine& line) {
  const std::optional<double> seconds = parseNumber(value, kMaxTimeoutSeconds);
  if (!seconds || *seconds < 1) {
    return flagError("--timeout-s", value, "seconds from 1 to 3600");
  }
  line.timeoutSeconds = static_cast<unsigned>(*seconds);
  return okStatus();
}

Status applyRegister(const std::string& value, CommandLine& line) {
  if (value != "settings" && value != "engines" && value != "members") {
    return flagError("--register", value, "settings, engines or members");
  }
  line.registerName = value;
  return okStatus();
}

Status applyOption(int code, const std::string& value, CommandLine& line) {
  switch (code) {
  case kNode:
    return applyAddresses("--node", value, line.nodes);
  case kKeyFile:
    line.keyFile = value;
    return okStatus();
  case kJson:
    line.json = true;
    return okStatus();
  case kBaseVersion:
    return applyUnsigned("--base-version", value, line.baseVersion);
  case kOrderId:
    line.orderId = value;
    return okStatus();
  case kEffective:
    line.effective = value;
    return okStatus();
  case kRegister:
    return applyRegister(value, line);
  case kTimeout:
    return applyTimeout(value, line);
  case kAcceptors:
    return applyAddresses("--acceptors", value, line.acceptors);
  case kStores:
    return applyAddresses("--stores", value, line.stores);
  case kPerSecond:
    line.perSecond = parseNumber(value, kMaxNumber);
    return line.perSecond ? okStatus() : Status(flagError("--per-s", value, "a number"));
  case kBurst:
    return applyUnsigned("--burst", value, line.burst);
  case kKeyDigest:
    line.keyDigest = value;
    return okStatus();
  case kVersion:
    return applyUnsigned("--version", value, line.waitVersion);
  default:
    return okStatus();
  }
}

}  // namespace

Result<CommandLine> parseCommandLine(int argc, const char** argv) {
  CommandLine line;
  const PoptContext context(poptGetContext("shedctl", argc, argv, kOptions, 0));
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND");
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) >= 0) {
    char* argument = poptGetOptArg(context.get());
    const std::string value = argument == nullptr ? "" : argument;
    std::free(argument);
    if (code == kHelp) {
      line.informationText = helpText(context.get());
      return line;
    }
    if (code == kVersion && value.empty()) {
      line.informationText = versionText("shedctl");
      return line;
    }
    if (Status status = applyOption(code, value, line); !status) {
      return status.error();
    }
  }
  if (code < -1) {
    return makeError(ErrorCode::InvalidArgument,
                     std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                         poptStrerror(code) + "; see --help");
  }
  while (const char* argument = poptGetArg(context.get())) {
    line.arguments.emplace_back(argument);
  }
  return line;
}

}  // namespace shedshed::ctl
