#include "ctl/wait_command.h"

#include "ctl/fleet_view.h"

namespace shedshed::ctl {

namespace {

constexpr std::chrono::milliseconds kPollInterval(50);

/// Ids of the nodes that do not have @p version in force.
std::vector<std::string> nodesBehind(const std::vector<NodeView>& nodes,
                                     const std::string& registerName, std::uint64_t version) {
  std::vector<std::string> ids;
  for (const NodeView& node : nodes) {
    if (!node.isDead() && node.versionOf(registerName) < version) {
      ids.push_back(node.id);
    }
  }
  return ids;
}

void printResult(CtlContext& context, bool inForce, const std::vector<std::string>& behind) {
  const std::string waited = std::to_string(context.elapsed().count());
  const std::string& name = context.line.registerName;
  const std::string version = std::to_string(*context.line.waitVersion);
  if (!context.output.isJson()) {
    std::string text = name + " version " + version;
    text += inForce ? " is in force everywhere after " : " is not in force everywhere after ";
    text += waited + " ms";
    for (const std::string& id : behind) {
      text += "\n  missing on " + id;
    }
    context.output.line(text);
    return;
  }
  const JsonDocument document = JsonDocument::object();
  cJSON_AddStringToObject(document.root(), "register", name.c_str());
  cJSON_AddRawToObject(document.root(), "version", version.c_str());
  cJSON_AddBoolToObject(document.root(), "in_force_everywhere", inForce ? 1 : 0);
  cJSON_AddRawToObject(document.root(), "waited_ms", waited.c_str());
  cJSON* missing = cJSON_AddArrayToObject(document.root(), "missing_on");
  for (const std::string& id : behind) {
    cJSON_AddItemToArray(missing, cJSON_CreateString(id.c_str()));
  }
  context.output.line(document.print());
}

}  // namespace

ExitCode WaitCommand::run(CtlContext& context) {
  if (!context.line.waitVersion) {
    return context.output.usage("wait needs --version V");
  }
  const std::chrono::seconds timeout(context.line.timeoutSeconds);
  while (true) {
    const Result<std::vector<NodeView>> nodes = readFleet(context.fleet);
    if (!nodes && exitCodeOf(nodes.error()) != ExitCode::Unavailable) {
      return context.output.fail(nodes.error());
    }
    std::vector<std::string> behind;
    if (nodes) {
      behind = nodesBehind(nodes.value(), context.line.registerName, *context.line.waitVersion);
      if (behind.empty() && !nodes.value().empty()) {
        printResult(context, true, behind);
        return ExitCode::Ok;
      }
    }
    if (context.elapsed() >= timeout) {
      if (!nodes) {
        return context.output.fail(nodes.error());
      }
      printResult(context, false, behind);
      return ExitCode::NotInForceYet;
    }
    context.pause(kPollInterval);
  }
}

}  // namespace shedshed::ctl
