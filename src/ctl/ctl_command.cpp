#include "ctl/ctl_command.h"

#include "ctl/batches_commands.h"
#include "ctl/explain_command.h"
#include "ctl/fleet_commands.h"
#include "ctl/keys_commands.h"
#include "ctl/settings_commands.h"
#include "ctl/slots_command.h"
#include "ctl/status_command.h"
#include "ctl/stores_commands.h"
#include "ctl/tenants_commands.h"
#include "ctl/wait_command.h"
#include "settings/small_file.h"

#include <iterator>
#include <memory>

namespace shedshed::ctl {

namespace {

constexpr std::size_t kMaxInputBytes = 2U << 20U;

struct CommandGroup {
  const char* name;
  std::unique_ptr<CtlCommand> (*makeCommand)();
};

template <class Command>
std::unique_ptr<CtlCommand> makeCommand() {
  return std::make_unique<Command>();
}

constexpr CommandGroup kCommandGroups[] = {
    {"init", makeCommand<InitCommand>},        {"status", makeCommand<StatusCommand>},
    {"members", makeCommand<MembersCommand>},  {"settings", makeCommand<SettingsCommands>},
    {"engines", makeCommand<EnginesCommands>}, {"tenants", makeCommand<TenantsCommands>},
    {"keys", makeCommand<KeysCommands>},       {"wait", makeCommand<WaitCommand>},
    {"stores", makeCommand<StoresCommands>},   {"slots", makeCommand<SlotsCommand>},
    {"batches", makeCommand<BatchesCommands>}, {"explain", makeCommand<ExplainCommand>},
};

}  // namespace

ExitCode runCommand(CtlContext& context) {
  const std::string command = context.line.argument(0);
  for (const CommandGroup& group : kCommandGroups) {
    if (command == group.name) {
      return group.makeCommand()->run(context);
    }
  }
  if (command.empty()) {
    return context.output.usage("no command was given; see shedctl --help");
  }
  return context.output.usage("unknown command: " + command + "; see shedctl --help");
}

Result<std::string> readInput(CtlContext& context, const std::string& name) {
  if (name != "-") {
    return readSmallFile(name, kMaxInputBytes);
  }
  return std::string(std::istreambuf_iterator<char>(context.input),
                     std::istreambuf_iterator<char>());
}

}  // namespace shedshed::ctl
