#include "serving/request_id.h"

#include <array>
#include <sodium.h>

namespace shedshed {
namespace {

constexpr std::size_t kRequestIdBytes = 16;

}  // namespace

std::string makeRequestId() {
  std::array<unsigned char, kRequestIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kRequestIdBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

}  // namespace shedshed
