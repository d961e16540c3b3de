#ifndef FILBERTSTAIR_RUNTIME_AWAIT_H_
#define FILBERTSTAIR_RUNTIME_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace filbertstair::runtime {

// Result of an asynchronous operation. `size` is the number of bytes transferred, or 0 for
// operations that transfer none.
struct IoResult {
  boost::system::error_code error;
  std::size_t size = 0;
};

// Starts an asynchronous operation on the caller's worker and suspends the fiber until it
// completes. `start` receives the completion handler. Errors are returned, not thrown. No lock is
// needed, because handlers run only while the worker's dispatcher fiber is active, that is, after
// the calling fiber has suspended.
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
