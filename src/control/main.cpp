/// @file
/// `shedshed-control`: registers, and on store machines the partitions.
#include "control/control_process.h"
#include "process/heap_bounds.h"
#include "process/signals.h"
#include "runtime/logging.h"

#include <random>

int main(int argc, char** argv) {
  using namespace shedshed;
  blockStopSignals();
  boundHeap();
  const ProcessStart start(argc, argv, ProcessKind::Control);
  if (start.settings() == nullptr) {
    return start.exitCode();
  }
  PosixFileSystem files;
  RandomEngine random(std::random_device{}());
  std::unique_ptr<LogStructuredStore> logStore;
  if (!start.settings()->dataFolder.empty()) {
    const auto storeOptions =
        LogStructuredStore::optionsFor(files, start.settings()->dataFolder, LogStoreOptions{});
    if (!storeOptions) {
      logError("storage", storeOptions.error());
      return 1;
    }
    auto opened =
        LogStructuredStore::open(files, start.settings()->dataFolder, storeOptions.value(), random);
    if (!opened) {
      logError("storage", opened.error());
      return 1;
    }
    logStore = std::move(opened).value();
  }
  ControlProcess process(*start.settings(), start.keys(), logStore.get());
  endProcess(process.run());
}
