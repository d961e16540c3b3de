#include "filbertstair/node/outbox.h"

#include <utility>

namespace filbertstair::node {

auto Outbox::Push(wire::ControlMessage message) -> void {
  this->state.With([&](State& s) {
    if (s.closed) return;
    s.messages.push_back(std::move(message));
    if (s.messages.size() > kMaxMessages) s.closed = true;
  });
  this->changed.Notify();
}

auto Outbox::RequestUpdate() -> void { this->changed.Notify(); }

auto Outbox::WaitUntil(std::chrono::steady_clock::time_point deadline)
    -> std::vector<wire::ControlMessage> {
  const auto take = [](State& s) { return std::exchange(s.messages, {}); };
  auto messages = this->state.With(take);
  if (!messages.empty() || this->IsClosed()) return messages;
  this->changed.WaitUntil(deadline);
  return this->state.With(take);
}

auto Outbox::Close() -> void {
  this->state.With([](State& s) { s.closed = true; });
  this->changed.Notify();
}

auto Outbox::IsClosed() -> bool {
  return this->state.With([](const State& s) { return s.closed; });
}

}  // namespace filbertstair::node
