/// @file
/// `shedshed-hollow`: many hollow data nodes in one process, for measurements of scale.
#include "hollow_commands.h"
#include "runtime/logging.h"
#include "settings/small_file.h"

#include <cstdio>
#include <iostream>
#include <popt.h>
#include <sstream>

namespace {

using namespace shedshed;

struct Arguments {
  int firstPort = 0;
  int count = 1;
  int firstIndex = 0;
  int zones = 3;
  std::string seeds;
  std::string keyFile;
};

std::string optionText(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

bool parseArguments(int argc, char** argv, Arguments& arguments) {
  char* seeds = nullptr;
  char* keyFile = nullptr;
  const poptOption options[] = {
      {"first-port", 0, POPT_ARG_INT, &arguments.firstPort, 0, "port of the first node", "PORT"},
      {"count", 0, POPT_ARG_INT, &arguments.count, 0, "number of nodes", "N"},
      {"first-index", 0, POPT_ARG_INT, &arguments.firstIndex, 0, "index for the zone", "N"},
      {"zones", 0, POPT_ARG_INT, &arguments.zones, 0, "number of zones", "N"},
      {"seeds", 0, POPT_ARG_STRING, &seeds, 0, "internal addresses, by commas", "LIST"},
      {"fleet-key-file", 0, POPT_ARG_STRING, &keyFile, 0, "file of the fleet key", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("shedshed-hollow", argc, const_cast<const char**>(argv), options, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  arguments.seeds = optionText(seeds);
  arguments.keyFile = optionText(keyFile);
  return result == -1 && arguments.firstPort > 0;
}

std::vector<NodeId> splitSeeds(const std::string& text) {
  std::vector<NodeId> seeds;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    seeds.push_back(NodeId{part});
  }
  return seeds;
}

NodeInfo describe(const Arguments& arguments, int i) {
  NodeInfo self;
  self.id = NodeId{"127.0.0.1:" + std::to_string(arguments.firstPort + i)};
  self.role = NodeRole::Data;
  self.zone = "zone-" + std::to_string((arguments.firstIndex + i) % arguments.zones);
  self.operatorsAddress = "127.0.0.1:" + std::to_string(arguments.firstPort + i);
  self.clientAddress = self.operatorsAddress;
  return self;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  if (!parseArguments(argc, argv, arguments)) {
    std::fprintf(stderr, "shedshed-hollow: see --help\n");
    return 2;
  }
  initializeLogging("error");
  const Result<FleetKey> key = readFleetKeyFile(arguments.keyFile);
  if (!key) {
    std::fprintf(stderr, "shedshed-hollow: %s\n", key.error().detail.c_str());
    return 2;
  }
  bench::StubEngines engines;
  std::deque<bench::HollowNode> nodes;
  for (int i = 0; i < arguments.count; ++i) {
    nodes.emplace_back(describe(arguments, i), splitSeeds(arguments.seeds), key.value(), engines);
  }
  for (bench::HollowNode& node : nodes) {
    const Status started = node.start();
    if (!started) {
      std::fprintf(stderr, "shedshed-hollow: %s\n", started.error().detail.c_str());
      return 1;
    }
  }
  bench::HollowCommands commands(nodes, engines);
  for (std::string line; std::getline(std::cin, line);) {
    std::cout << commands.run(line) << std::endl;
  }
  std::_Exit(0);  // The run is over; the nodes need not say goodbye to each other.
}
