#include "filbertstair/net/byte_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace filbertstair::net {
namespace {

auto Now() -> core::Time {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

auto Index(ByteUse use) -> std::size_t { return static_cast<std::size_t>(use); }

auto Share(std::size_t bytes, double share) -> std::size_t {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

// Takes the bytes of a holding off the sums.
auto Release(ByteBudgetState& state, std::uint64_t id) -> void {
  const auto found = state.holdings.find(id);
  if (found == state.holdings.end()) return;
  state.held[Index(found->second.use)] -= found->second.bytes;
  state.holdings.erase(found);
}

auto Add(ByteBudgetState& state, std::uint64_t id, std::size_t more, core::Time now) -> void {
  auto& holding = state.holdings.at(id);
  holding.bytes += more;
  holding.grown_at = now;
  state.held[Index(holding.use)] += more;
}

}  // namespace

auto HasRoom(const ByteBudgetState& state, ByteUse use, std::size_t bytes, std::size_t more)
    -> bool {
  const auto& policy = state.policy;
  const auto connections = state.held[Index(ByteUse::connections)];
  const auto received = state.held[Index(ByteUse::bodies)] + state.held[Index(ByteUse::messages)];
  const auto fits = [more](std::size_t held, std::size_t limit) {
    return held <= limit && more <= limit - held;
  };
  if (!fits(connections + received, policy.capacity)) return false;
  if (use == ByteUse::connections) return true;
  auto limit = Share(policy.capacity, policy.body_share);
  if (bytes + more > policy.small_bytes) limit -= Share(limit, policy.small_share);
  return fits(received, limit);
}

auto ChooseEvicted(const ByteBudgetState& state, std::size_t min_bytes, core::Time now)
    -> std::uint64_t {
  std::uint64_t chosen = 0;
  const ByteHolding* largest = nullptr;
  for (const auto& [id, holding] : state.holdings) {
    if (!holding.close || holding.bytes <= min_bytes) continue;
    if (now - holding.grown_at < state.policy.stalled_after) continue;
    const bool better = largest == nullptr || holding.bytes > largest->bytes ||
                        (holding.bytes == largest->bytes && holding.grown_at < largest->grown_at);
    if (!better) continue;
    chosen = id;
    largest = &holding;
  }
  return chosen;
}

HeldBytes::HeldBytes(std::shared_ptr<ByteBudget> budget, ByteUse use) : budget(std::move(budget)) {
  if (!this->budget) return;
  this->id = this->budget->state.With([&](ByteBudgetState& state) {
    const auto next = ++state.last_id;
    state.holdings[next] = {.use = use, .grown_at = Now()};
    return next;
  });
}

HeldBytes::~HeldBytes() {
  if (!this->budget) return;
  this->budget->state.With([&](ByteBudgetState& state) { Release(state, this->id); });
}

auto HeldBytes::TryGrow(std::size_t more) -> bool {
  if (!this->budget) return true;
  std::function<void()> close;
  const bool grown = this->budget->state.With([&](ByteBudgetState& state) {
    const auto found = state.holdings.find(this->id);
    // The holder was chosen for eviction meanwhile.
    if (found == state.holdings.end()) return false;
    const auto now = Now();
    const auto use = found->second.use;
    const auto bytes = found->second.bytes;
    if (!HasRoom(state, use, bytes, more)) {
      // One eviction makes room for the usual step of a body. The bytes count as free at once,
      // since the closed connection releases them within an iteration of its event loop.
      const auto evicted = ChooseEvicted(state, std::max(bytes, more), now);
      if (evicted == 0) return false;
      close = std::move(state.holdings.at(evicted).close);
      Release(state, evicted);
      if (!HasRoom(state, use, bytes, more)) return false;
    }
    Add(state, this->id, more, now);
    return true;
  });
  if (close) close();
  return grown;
}

auto HeldBytes::Shrink(std::size_t bytes) -> void {
  if (!this->budget) return;
  this->budget->state.With([&](ByteBudgetState& state) {
    const auto found = state.holdings.find(this->id);
    if (found == state.holdings.end()) return;
    found->second.bytes -= bytes;
    state.held[Index(found->second.use)] -= bytes;
  });
}

auto HeldBytes::AllowEviction(std::function<void()> close) -> void {
  if (!this->budget) return;
  this->budget->state.With([&](ByteBudgetState& state) {
    const auto found = state.holdings.find(this->id);
    if (found != state.holdings.end()) found->second.close = std::move(close);
  });
}

auto HeldBytes::EndEviction() -> bool {
  if (!this->budget) return true;
  return this->budget->state.With([&](ByteBudgetState& state) {
    const auto found = state.holdings.find(this->id);
    if (found == state.holdings.end()) return false;
    found->second.close = nullptr;
    return true;
  });
}

ByteBudget::ByteBudget(const ByteBudgetPolicy& policy) {
  this->state.With([&](ByteBudgetState& state) { state.policy = policy; });
}

auto ByteBudget::Held(ByteUse use) -> std::size_t {
  return this->state.With([&](const ByteBudgetState& state) { return state.held[Index(use)]; });
}

auto ByteBudget::HasRoomForConnection(std::size_t bytes) -> bool {
  return this->state.With(
      [&](const ByteBudgetState& state) { return HasRoom(state, ByteUse::connections, 0, bytes); });
}

}  // namespace filbertstair::net
