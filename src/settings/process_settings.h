/// @file
/// Start-up settings of one process: its addresses, its zone, its seeds and its files. They are
/// read from one JSON file and from flags; a flag overrides the key of the same name.
#pragma once

#include "kernel/error.h"
#include "kernel/node_id.h"
#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shedshed {

/// Which program reads the settings; decides which keys are known and which are required.
enum class ProcessKind : std::uint8_t { Data, Control };

/// What a control process does. `Store` machines also hold partitions.
enum class ControlRole : std::uint8_t { Store, Register };

enum class LogLevel : std::uint8_t { Error, Warn, Info, Debug };

/// See the table "Process settings" in docs/API.md.
struct ProcessSettings {
  ProcessKind kind = ProcessKind::Data;
  ControlRole role = ControlRole::Register;  ///< Control processes only.
  std::string zone;
  std::string nodeName;    ///< Name of the machine for operators; may be empty.
  NodeId internalAddress;  ///< Also the id of the node.
  std::string operatorsAddress;
  std::string clientAddress;  ///< Data processes only.
  std::vector<NodeId> seeds;
  std::string dataFolder;  ///< Control processes only; empty: a register node without a disk.
  std::string fleetKeyFile;
  std::string operatorKeyFile;
  LogLevel logLevel = LogLevel::Info;
  std::string readyAddress;         ///< Data processes: address of readiness checks; may be empty.
  std::string listingAddress;       ///< "ip:port" of the listing of engines; empty: the register's.
  std::uint16_t seedPort = 0;       ///< Replaces the port of each seed; 0: the seeds' own.
  std::uint32_t diskMegabytes = 0;  ///< Capacity of the ring of files; 0: not bounded.
  /// Number of disks that may fail at the same time without loss of acknowledged data. Only read
  /// when a fleet is formed.
  std::uint32_t toleratedLosses = 1;
  bool firstStart = false;  ///< The fleet starts for the first time.
  Duration shutdownGracePeriod = std::chrono::seconds(25);  ///< From the stop request to exit.

  /// Text of `--help` or `--version`. If it is not empty, nothing else is filled in: the process
  /// prints it and exits with 0.
  std::string informationText;
};

/// Reads the settings file that `--settings` names, if any, and the flags. Fails with
/// `InvalidArgument`; the detail names the file or flag, the key, the value and what is allowed.
Result<ProcessSettings> parseProcessSettings(int argc, const char** argv, ProcessKind kind);

/// Text of the program's version, as `--version` prints it.
std::string versionText(const std::string& programName);

}  // namespace shedshed
