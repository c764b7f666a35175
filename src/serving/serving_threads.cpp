#include "serving/serving_threads.h"

#include <boost/coroutine/attributes.hpp>

namespace shedshed {
namespace {

/// Stack size of a coroutine, in bytes. Must be large enough for the recursive JSON parser at its
/// maximum depth.
constexpr std::size_t kCoroutineStackBytes = 256U << 10U;

}  // namespace

ServingThreads::ServingThreads() : work_(boost::asio::make_work_guard(io_)) {}

ServingThreads::~ServingThreads() {
  stop();
}

void ServingThreads::start(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    threads_.emplace_back([this]() { io_.run(); });
  }
}

void ServingThreads::stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  io_.stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  io_.dropHandlers();
}

void ServingThreads::spawn(const ServingStrand& strand,
                           std::function<void(boost::asio::yield_context)> body) {
  boost::asio::spawn(
      strand, [body = std::move(body)](boost::asio::yield_context yield) { body(yield); },
      boost::coroutines::attributes(kCoroutineStackBytes));
}

}  // namespace shedshed
