#include "filbertstair/direct/kept.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace filbertstair::direct {
namespace {

// A part is kept only together with the parts before it, so its key covers them too.
auto Chain(std::uint64_t key, std::uint64_t id) -> std::uint64_t {
  constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
  key = (key ^ id) * multiplier;
  return key ^ (key >> 29);
}

// Returns the sum of tokens, or the largest number that fits.
auto Bounded(std::uint64_t tokens) -> std::uint32_t {
  constexpr auto max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, max));
}

auto Root(const Prompt& prompt) -> std::uint64_t { return std::hash<std::string>()(prompt.model); }

}  // namespace

auto Keyed(const Prompt& prompt) -> std::vector<KeptParts::Item> {
  std::vector<KeptParts::Item> parts;
  parts.reserve(prompt.parts.size());
  auto key = Root(prompt);
  for (const auto& part : prompt.parts) {
    key = Chain(key, part.id);
    parts.push_back({key, part.tokens});
  }
  return parts;
}

auto KeptTokens(const KeptParts& kept, const std::vector<KeptParts::Item>& parts) -> std::uint32_t {
  std::uint64_t tokens = 0;
  for (const auto& part : parts) {
    if (!kept.index.contains(part.key)) break;
    tokens += part.tokens;
  }
  return Bounded(tokens);
}

auto Keep(KeptParts& kept, const Prompt& prompt, std::uint64_t capacity) -> void {
  for (const auto& part : Keyed(prompt)) Keep(kept, part, capacity);
}

auto Keep(KeptParts& kept, const KeptParts::Item& part, std::uint64_t capacity) -> void {
  const auto found = kept.index.find(part.key);
  if (found != kept.index.end()) {
    kept.recent.splice(kept.recent.begin(), kept.recent, found->second);
    return;
  }
  // A replica refuses a request that its memory can't hold, and keeps what it has.
  if (part.tokens > capacity) return;
  kept.recent.push_front(part);
  kept.index[part.key] = kept.recent.begin();
  kept.tokens += part.tokens;
  while (kept.tokens > capacity && !kept.recent.empty()) {
    kept.tokens -= kept.recent.back().tokens;
    kept.index.erase(kept.recent.back().key);
    kept.recent.pop_back();
  }
}

auto UnkeptShared(const KeptParts& kept, const Prompt& prompt) -> std::vector<KeptParts::Item> {
  auto parts = Keyed(prompt);
  if (!parts.empty()) parts.pop_back();
  std::erase_if(parts, [&](const auto& part) { return kept.index.contains(part.key); });
  return parts;
}

auto SharedTokens(const Prompt& prompt) -> std::uint32_t {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) tokens += prompt.parts[i].tokens;
  return Bounded(tokens);
}

auto SharedHash(const Prompt& prompt) -> std::uint64_t {
  const auto parts = Keyed(prompt);
  return parts.size() < 2 ? Root(prompt) : parts[parts.size() - 2].key;
}

}  // namespace filbertstair::direct
