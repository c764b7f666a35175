#include "wire/bounded_close.h"

#include <future>
#include <memory>
#include <thread>

namespace shedshed {

bool closeWithin(std::chrono::milliseconds timeout, std::function<void()> close) {
  const auto closed = std::make_shared<std::promise<void>>();
  std::future<void> done = closed->get_future();
  std::thread closer([closed, close = std::move(close)] {
    close();
    closed->set_value();
  });
  if (done.wait_for(timeout) == std::future_status::ready) {
    closer.join();
    return true;
  }
  closer.detach();
  return false;
}

}  // namespace shedshed
