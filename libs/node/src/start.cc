#include "filbertstair/node/start.h"

#include <exception>
#include <future>

namespace filbertstair::node {

auto RunOnWorker(Node& node, std::size_t index, const std::function<void()>& open) -> void {
  std::promise<void> opened;
  node.pool.Post(index, [&] {
    try {
      open();
      opened.set_value();
    } catch (...) {
      opened.set_exception(std::current_exception());
    }
  });
  opened.get_future().get();
}

}  // namespace filbertstair::node
