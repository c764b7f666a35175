#include "settings/ip_port.h"

#include <arpa/inet.h>
#include <cstddef>

namespace shedshed {

namespace {

constexpr unsigned long kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;

}  // namespace

bool isIpPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) {
    return false;
  }
  const std::string port = text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= kMaxPortDigits &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  if (!digits) {
    return false;
  }
  const unsigned long number = std::stoul(port);
  return number >= 1 && number <= kMaxPort;
}

}  // namespace shedshed
