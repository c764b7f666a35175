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
  std::unique_ptr<LogStructuredStore> ring;
  if (!start.settings()->dataFolder.empty()) {
    const auto knobs =
        LogStructuredStore::optionsFor(files, start.settings()->dataFolder, LogStoreOptions{});
    if (!knobs) {
      logError("storage", knobs.error());
      return 1;
    }
    auto opened =
        LogStructuredStore::open(files, start.settings()->dataFolder, knobs.value(), random);
    if (!opened) {
      logError("storage", opened.error());
      return 1;
    }
    ring = std::move(opened).value();
  }
  ControlProcess process(*start.settings(), start.keys(), ring.get());
  endProcess(process.run());
}
