/// @file
/// The authenticated frame that carries one internal message.
#pragma once

#include "kernel/error.h"
#include "kernel/fleet_key.h"
#include "kernel/message.h"
#include "kernel/node_id.h"

#include <string>
#include <string_view>

namespace shedshed {

/// A message with its sender and receiver.
struct Frame {
  NodeId from;
  NodeId to;
  Message message;
};

/// Encodes @p frame: authenticator, then the msgpack body.
std::string encodeFrame(const FleetKey& key, const Frame& frame);

/// Verifies and decodes @p bytes. Fails with `Unauthenticated` (wrong key or damaged) or
/// `InvalidArgument` (not a frame).
Result<Frame> decodeFrame(const FleetKey& key, std::string_view bytes);

}  // namespace shedshed
