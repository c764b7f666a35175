/// @file
/// `shedshed-load`: open-loop load generator. Reads a load plan and prints the results as JSON.
#include "standins/load_generator.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <popt.h>

namespace {

using shedshed::standin::LoadGenerator;
using shedshed::standin::LoadPlan;

constexpr int kUsageExit = 2;
/// Time between the start of the program and the start of the load run.
constexpr std::chrono::milliseconds kStartDelay{50};

/// Returns the value of `--plan`, or "-" if it is not given; empty after a usage error.
std::string planPath(int argc, const char** argv) {
  char* path = nullptr;
  const poptOption table[] = {{"plan", 0, POPT_ARG_STRING, &path, 0,
                               "load plan, a JSON file (default: standard input)", "FILE"},
                              POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context = poptGetContext("shedshed-load", argc, argv, table, 0);
  const int status = poptGetNextOpt(context);
  if (status < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(status));
  }
  poptFreeContext(context);
  const std::string result = path == nullptr ? "-" : path;
  std::free(path);
  return status == -1 ? result : "";
}

std::string readAll(std::istream& stream) {
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

std::string readPlan(const std::string& path) {
  if (path == "-") {
    return readAll(std::cin);
  }
  std::ifstream file(path);
  return readAll(file);
}

void run(const LoadPlan& plan) {
  constexpr int kSingleThread = 1;
  boost::asio::io_context io(kSingleThread);
  std::vector<std::unique_ptr<LoadGenerator>> generators;
  for (std::size_t i = 0; i < plan.classes.size(); ++i) {
    generators.push_back(std::make_unique<LoadGenerator>(io, plan, i));
  }
  const LoadGenerator::Clock::time_point begin = LoadGenerator::Clock::now() + kStartDelay;
  for (const auto& generator : generators) {
    generator->start(begin);
  }
  io.run();
  std::string separator = "{\"classes\":[";
  for (const auto& generator : generators) {
    std::printf("%s%s", separator.c_str(), generator->json().c_str());
    separator = ",\n";
  }
  std::printf("]}\n");
}

}  // namespace

int main(int argc, const char** argv) {
  const std::string path = planPath(argc, argv);
  if (path.empty()) {
    return kUsageExit;
  }
  std::string error;
  const std::optional<LoadPlan> plan = shedshed::standin::parseLoadPlan(readPlan(path), error);
  if (!plan) {
    std::fprintf(stderr, "shedshed-load: %s\n", error.c_str());
    return kUsageExit;
  }
  run(*plan);
  return 0;
}
