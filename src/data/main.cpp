/// @file
/// `shedshed-data`: callers' HTTP, slots, routing to engines, batch runners, engine health checks.
#include "data/data_process.h"
#include "process/heap_bounds.h"
#include "process/signals.h"

int main(int argc, char** argv) {
  using namespace shedshed;
  blockStopSignals();
  boundHeap();
  const ProcessStart start(argc, argv, ProcessKind::Data);
  if (start.settings() == nullptr) {
    return start.exitCode();
  }
  DataProcess process(*start.settings(), start.keys());
  endProcess(process.run());
}
