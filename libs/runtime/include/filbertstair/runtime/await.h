#ifndef FILBERTSTAIR_RUNTIME_AWAIT_H_
#define FILBERTSTAIR_RUNTIME_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace filbertstair::runtime {

// Result of an asynchronous operation; `size` is 0 for operations without one.
struct IoResult {
  boost::system::error_code error;
  std::size_t size = 0;
};

// Starts an asynchronous operation of the caller's own worker and suspends the fiber until it
// completes. `start` receives the completion handler. Handlers run only while the worker's
// dispatcher is active, hence after the fiber has suspended, so no lock is needed.
template <typename Start>
auto Await(Start&& start) -> IoResult {
  boost::fibers::context* self = boost::fibers::context::active();
  IoResult result;
  bool done = false;
  start([&result, &done, self](const boost::system::error_code& error, std::size_t size = 0) {
    result = {error, size};
    done = true;
    boost::fibers::context::active()->schedule(self);
  });
  while (!done) self->suspend();
  return result;
}

}  // namespace filbertstair::runtime

#endif  // FILBERTSTAIR_RUNTIME_AWAIT_H_
