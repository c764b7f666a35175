#include "kernel/fleet_key.h"

#include <sodium.h>

namespace shedshed {
namespace {

static_assert(kFleetKeyBytes == crypto_auth_KEYBYTES, "the fleet key is a crypto_auth key");

std::string_view trimmed(std::string_view text) {
  constexpr const char* kWhiteSpace = " \t\r\n";
  const std::size_t begin = text.find_first_not_of(kWhiteSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhiteSpace) - begin + 1);
}

}  // namespace

Result<FleetKey> parseFleetKey(std::string_view text) {
  const std::string_view digits = trimmed(text);
  FleetKey key{};
  std::size_t length = 0;
  const int status = sodium_hex2bin(key.data(), key.size(), digits.data(), digits.size(), nullptr,
                                    &length, nullptr);
  if (status != 0 || length != key.size() || digits.size() != 2 * key.size()) {
    return makeError(ErrorCode::InvalidArgument, "allowed: 64 hexadecimal digits");
  }
  return key;
}

}  // namespace shedshed
