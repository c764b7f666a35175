#include "serving/connection_history.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <atomic>

namespace shedshed {
namespace {

std::uint64_t nextConnectionNumber() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

}  // namespace

ConnectionHistory::ConnectionHistory() : number_(nextConnectionNumber()) {}

void ConnectionHistory::recordExchange(std::string_view requestId) {
  ++exchanges_;
  carriedIds_.push_back(hash64(requestId));
}

bool ConnectionHistory::hasCarried(std::string_view requestId) const {
  return std::find(carriedIds_.begin(), carriedIds_.end(), hash64(requestId)) != carriedIds_.end();
}

}  // namespace shedshed
