/// @file
/// Internal messages: one-way, typed, and safe to receive twice, late or out of order.
///
/// A message type is a struct with `MSGPACK_DEFINE`, `static constexpr ServiceId kService` (the
/// service that receives it) and `static constexpr std::uint16_t kKind` (unique in that service).
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace shedshed {

/// The services of a node. The numeric values travel on the wire and never change.
enum class ServiceId : std::uint8_t {
  Directory = 1,        ///< Membership and the node directory.
  Register = 2,         ///< Acceptors and proposers of the compare-and-swap registers.
  Configuration = 3,    ///< Distribution of register values and freshness proofs.
  Partition = 4,        ///< Epoch-fenced replicated partitions.
  SlotOwner = 5,        ///< Pools of numbered slots, on store nodes.
  SlotClient = 6,       ///< Holder side of the slots, on data nodes.
  BatchOwner = 7,       ///< Durable batches, on store nodes.
  BatchClient = 8,      ///< Callers' side of batches, on data nodes.
  BatchRunner = 9,      ///< Runs the items of batches, on data nodes.
  EngineWatch = 10,     ///< Health of the engines, on data nodes.
  Operators = 11,       ///< Commands that concern the whole fleet.
  Lending = 12,         ///< Singleton that sets the room lent to batches.
  EngineList = 13,      ///< The platform's listing of engines, read by one node for all.
  Bootstrap = 14,       ///< Forms the fleet at its first start.
  MembershipJoin = 15,  ///< Makes a machine a member of the fleet.
  Succession = 16,      ///< Takes the place of a retiring store.
  WaitingTokens = 17,   ///< Singleton that bounds the tokens of accepted batches.
};

/// Returns the service's stable name, for logs, metrics and the service registry.
const char* serviceName(ServiceId service);

/// An encoded message as it travels between two nodes.
struct Message {
  ServiceId service = ServiceId::Directory;
  std::uint16_t kind = 0;
  std::string payload;  ///< msgpack encoding of the struct that `kind` names.
};

/// Encodes a typed message.
template <class T>
Message encodeMessage(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return Message{T::kService, T::kKind, std::string(buffer.data(), buffer.size())};
}

/// Encodes any msgpack struct, for records on disk.
template <class T>
std::string encodeRecord(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes @p bytes, or fails with `InvalidArgument` when they are not a valid `T`.
template <class T>
Result<T> decodeRecord(const std::string& bytes) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (const std::exception& exception) {
    return makeError(ErrorCode::InvalidArgument, exception.what());
  }
}

/// Decodes the payload of @p message as a `T`. The caller has compared the kind.
template <class T>
Result<T> decodeMessage(const Message& message) {
  return decodeRecord<T>(message.payload);
}

/// Calls @p handler with the decoded value if @p message is a `T`.
/// @return true if the kind matched, whether or not the payload could be decoded.
template <class T, class Handler>
bool dispatchMessage(const Message& message, Handler&& handler) {
  if (message.kind != T::kKind) {
    return false;
  }
  Result<T> decoded = decodeMessage<T>(message);
  if (decoded) {
    handler(std::move(decoded).value());
  }
  return true;
}

}  // namespace shedshed
