#include "kernel/message.h"

namespace shedshed {

const char* serviceName(ServiceId service) {
  switch (service) {
  case ServiceId::Directory:
    return "directory";
  case ServiceId::Register:
    return "register";
  case ServiceId::Configuration:
    return "configuration";
  case ServiceId::Partition:
    return "partition";
  case ServiceId::SlotOwner:
    return "slot_owner";
  case ServiceId::SlotClient:
    return "slot_client";
  case ServiceId::BatchOwner:
    return "batch_owner";
  case ServiceId::BatchClient:
    return "batch_client";
  case ServiceId::BatchRunner:
    return "batch_runner";
  case ServiceId::EngineWatch:
    return "engine_watch";
  case ServiceId::Operators:
    return "operators";
  case ServiceId::Lending:
    return "lending";
  case ServiceId::EngineList:
    return "engine_list";
  case ServiceId::Bootstrap:
    return "bootstrap";
  case ServiceId::MembershipJoin:
    return "admission";
  case ServiceId::Succession:
    return "succession";
  case ServiceId::WaitingTokens:
    return "waiting_tokens";
  }
  return "unknown";
}

}  // namespace shedshed
