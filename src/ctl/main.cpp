// Entry point of shedctl, the operators' command line.
#include "ctl/command_line.h"
#include "ctl/ctl_command.h"
#include "ctl/http_transport.h"
#include "settings/small_file.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <sodium.h>
#include <thread>

namespace {

using namespace shedshed;
using namespace shedshed::ctl;

/// True if the command sends requests to the fleet.
bool needsFleet(const CommandLine& line) {
  return !line.arguments.empty() && !(line.argument(0) == "keys" && line.argument(1) == "digest");
}

int run(int argc, const char** argv) {
  const Result<CommandLine> parsed = parseCommandLine(argc, argv);
  if (!parsed) {
    return static_cast<int>(Output(std::cout, std::cerr, false).usage(parsed.error().detail));
  }
  const CommandLine& line = parsed.value();
  if (!line.informationText.empty()) {
    std::cout << line.informationText;
    return static_cast<int>(ExitCode::Ok);
  }
  Output output(std::cout, std::cerr, line.json);
  std::string key;
  if (needsFleet(line)) {
    if (line.nodes.empty() || line.keyFile.empty()) {
      return static_cast<int>(
          output.usage("--node IP:PORT and --key-file FILE are required; see shedctl --help"));
    }
    const Result<std::string> read = readBearerKeyFile(line.keyFile);
    if (!read) {
      return static_cast<int>(output.usage(read.error().detail));
    }
    key = read.value();
  }
  HttpTransport transport(key);
  FleetClient fleet(transport, line.nodes);
  const auto started = std::chrono::steady_clock::now();
  CtlContext context{
      line,
      fleet,
      output,
      std::cin,
      [started] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - started);
      },
      [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }};
  return static_cast<int>(runCommand(context));
}

}  // namespace

int main(int argc, const char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (sodium_init() < 0) {
    std::cerr << "error: libsodium cannot be initialised\n";
    return static_cast<int>(ExitCode::Usage);
  }
  return run(argc, argv);
}
