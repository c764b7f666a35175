/// @file
/// `shedshed-engine`: runs one or more stand-in engines in one process, for tests and benchmarks.
#include "standins/engine_server.h"

#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <memory>
#include <popt.h>
#include <vector>

namespace {

struct Options {
  const char* host = "127.0.0.1";
  int firstPort = 0;
  int count = 1;
  const char* model = "m";
  int maxRunning = 8;
  double prefillMsPerBlock = 4;
  double decodeMsPerToken = 8;
};

constexpr int kUsageExit = 2;

bool parse(int argc, const char** argv, Options& options) {
  const poptOption table[] = {
      {"host", 0, POPT_ARG_STRING, &options.host, 0, "IP address to listen on", "IP"},
      {"port", 0, POPT_ARG_INT, &options.firstPort, 0, "port of the first engine", "N"},
      {"count", 0, POPT_ARG_INT, &options.count, 0, "number of engines, on consecutive ports", "N"},
      {"model", 0, POPT_ARG_STRING, &options.model, 0, "name of the served model", "NAME"},
      {"max-running", 0, POPT_ARG_INT, &options.maxRunning, 0,
       "maximum number of concurrent requests per engine", "N"},
      {"prefill-ms", 0, POPT_ARG_DOUBLE, &options.prefillMsPerBlock, 0,
       "prefill time per uncached prompt block", "MS"},
      {"decode-ms", 0, POPT_ARG_DOUBLE, &options.decodeMsPerToken, 0, "decode time per token",
       "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context = poptGetContext("shedshed-engine", argc, argv, table, 0);
  const int status = poptGetNextOpt(context);
  if (status < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(status));
  }
  poptFreeContext(context);
  return status == -1 && options.firstPort > 0 && options.count > 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  if (!parse(argc, const_cast<const char**>(argv), options)) {
    std::fprintf(stderr, "usage: shedshed-engine --port N [--count N] [--model NAME]\n");
    return kUsageExit;
  }
  constexpr int kSingleThread = 1;
  boost::asio::io_context io(kSingleThread);
  std::vector<std::unique_ptr<shedshed::standin::EngineServer>> engines;
  shedshed::standin::EngineProfile profile;
  profile.model = options.model;
  profile.maxRunning = static_cast<std::uint32_t>(options.maxRunning);
  profile.prefillMsPerBlock = options.prefillMsPerBlock;
  profile.decodeMsPerToken = options.decodeMsPerToken;
  try {
    for (int i = 0; i < options.count; ++i) {
      engines.push_back(std::make_unique<shedshed::standin::EngineServer>(io, profile));
      engines.back()->listen(std::string(options.host) + ":" +
                             std::to_string(options.firstPort + i));
    }
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "cannot listen: %s\n", exception.what());
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}
