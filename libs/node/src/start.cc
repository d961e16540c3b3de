#include "filbertstair/node/start.h"

#include <exception>
#include <future>

namespace filbertstair::node {

auto RunOnWorker(Node& node, std::size_t index, const std::function<void()>& task) -> void {
  std::promise<void> done;
  node.pool.Post(index, [&] {
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

}  // namespace filbertstair::node
