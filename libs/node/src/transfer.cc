#include "filbertstair/node/transfer.h"

#include <vector>

#include "filbertstair/core/error.h"
#include "filbertstair/node/configuration.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

auto FetchConfiguration(Node& node, const std::string& address, std::chrono::milliseconds timeout)
    -> bool {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  const auto connection = net::Connect(address, timeout);
  const auto stream = connection->StartStream(std::string(kTransferPath));
  stream->Finish();
  bool any = false;
  while (const auto bytes = stream->ReceiveUntil(deadline)) {
    const auto message = wire::DecodeControl(*bytes, address);
    const auto* published = std::get_if<wire::Published>(&message);
    if (published == nullptr) {
      throw core::Error(core::Step::decode, address, "expected a published object");
    }
    HandlePublished(node, *published, address);
    any = true;
  }
  return any;
}

auto ServeConfiguration(Node& node, net::Stream& stream) -> void {
  std::vector<config::ObjectPtr> objects;
  node.config.With([&](const ConfigState& state) {
    for (const auto& [key, slot] : state.table.object_states) {
      if (slot.current) objects.push_back(slot.current);
    }
  });
  for (const auto& object : objects) {
    stream.Send(wire::Encode(wire::ControlMessage(
        wire::Published{static_cast<std::uint32_t>(object->key.kind), object->key.name,
                        object->stamp.version, object->content})));
  }
  stream.Finish();
}

}  // namespace filbertstair::node
