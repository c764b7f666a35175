#include "wire/frame.h"

#include <msgpack.hpp>
#include <sodium.h>

namespace shedshed {
namespace {

struct FrameBody {
  NodeId from;
  NodeId to;
  std::uint8_t service = 0;
  std::uint16_t kind = 0;
  std::string payload;
  MSGPACK_DEFINE(from, to, service, kind, payload);
};

const unsigned char* asBytes(const char* text) {
  return reinterpret_cast<const unsigned char*>(text);
}

}  // namespace

std::string encodeFrame(const FleetKey& key, const Frame& frame) {
  const FrameBody body{frame.from, frame.to, static_cast<std::uint8_t>(frame.message.service),
                       frame.message.kind, frame.message.payload};
  msgpack::sbuffer packed;
  msgpack::pack(packed, body);
  std::string bytes(crypto_auth_BYTES, '\0');
  crypto_auth(reinterpret_cast<unsigned char*>(bytes.data()), asBytes(packed.data()), packed.size(),
              key.data());
  bytes.append(packed.data(), packed.size());
  return bytes;
}

Result<Frame> decodeFrame(const FleetKey& key, std::string_view bytes) {
  if (bytes.size() <= crypto_auth_BYTES) {
    return makeError(ErrorCode::InvalidArgument, "frame too short");
  }
  const std::string_view packed = bytes.substr(crypto_auth_BYTES);
  if (crypto_auth_verify(asBytes(bytes.data()), asBytes(packed.data()), packed.size(),
                         key.data()) != 0) {
    return makeError(ErrorCode::Unauthenticated, "frame authenticator does not match");
  }
  Result<FrameBody> body = decodeRecord<FrameBody>(std::string(packed));
  if (!body) {
    return body.error();
  }
  FrameBody& decoded = body.value();
  Message message{static_cast<ServiceId>(decoded.service), decoded.kind,
                  std::move(decoded.payload)};
  return Frame{std::move(decoded.from), std::move(decoded.to), std::move(message)};
}

}  // namespace shedshed
