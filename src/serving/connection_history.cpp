#include "serving/connection_history.h"

#include <atomic>

namespace shedshed {
namespace {

std::uint64_t nextConnectionNumber() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

}  // namespace

ConnectionHistory::ConnectionHistory() : number_(nextConnectionNumber()) {}

}  // namespace shedshed
