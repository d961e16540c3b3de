#include "filbertstair/config/delta.h"

#include <algorithm>
#include <unordered_map>

namespace filbertstair::config {
namespace {

constexpr std::size_t kBlock = 32;
// Encoded size of a step's offset, length and text length.
constexpr std::size_t kStepBytes = 8;

auto Matching(std::string_view a, std::string_view b) -> std::size_t {
  const auto limit = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(limit), b.begin()).first -
      a.begin());
}

}  // namespace

auto MakeDelta(const Object& base, const Object& object) -> Delta {
  const std::string_view from = base.content;
  const std::string_view to = object.content;
  std::unordered_map<std::uint64_t, std::size_t> blocks;
  for (std::size_t i = 0; i + kBlock <= from.size(); i += kBlock) {
    blocks.emplace(ContentHash(from.substr(i, kBlock)), i);
  }
  Delta delta{.key = object.key, .base = base.stamp, .stamp = object.stamp, .steps = {}};
  // The first step copies the common start; most changes leave it and it needs no search.
  auto at = Matching(from, to);
  delta.steps.push_back({.offset = 0, .length = at, .text = {}});
  auto base_at = at;
  while (at < to.size()) {
    // After a replacement of equal length the base continues at the same distance.
    const auto expected = base_at + delta.steps.back().text.size();
    auto offset = std::string_view::npos;
    if (at + kBlock <= to.size()) {
      const auto block = to.substr(at, kBlock);
      if (expected < from.size() && from.substr(expected, kBlock) == block) {
        offset = expected;
      } else if (const auto found = blocks.find(ContentHash(block));
                 found != blocks.end() && from.substr(found->second, kBlock) == block) {
        offset = found->second;
      }
    }
    if (offset == std::string_view::npos) {
      delta.steps.back().text.push_back(to[at++]);
      continue;
    }
    const auto length = Matching(from.substr(offset), to.substr(at));
    delta.steps.push_back({.offset = offset, .length = length, .text = {}});
    at += length;
    base_at = offset + length;
  }
  return delta;
}

auto DeltaBytes(const Delta& delta) -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& step : delta.steps) bytes += kStepBytes + step.text.size();
  return bytes;
}

auto ApplyDelta(const Object& base, const Delta& delta) -> ObjectPtr {
  if (base.key != delta.key || base.stamp != delta.base) return nullptr;
  std::string content;
  for (const auto& step : delta.steps) {
    if (step.offset > base.content.size() || step.length > base.content.size() - step.offset) {
      return nullptr;
    }
    content.append(base.content, step.offset, step.length);
    content.append(step.text);
  }
  auto object = MakeObject(delta.key.kind, delta.key.name, delta.stamp.version, std::move(content));
  return object->stamp == delta.stamp ? object : nullptr;
}

auto MakeReply(ConfigTable& table, const ObjectKey& key, const Stamp& have) -> Reply {
  const auto found = table.slots.find(key);
  if (found == table.slots.end()) return {};
  auto& slot = found->second;
  if (!slot.current || slot.current->stamp <= have) return {};
  if (slot.previous && slot.previous->stamp == have) {
    if (!slot.delta) {
      slot.delta = std::make_shared<const Delta>(MakeDelta(*slot.previous, *slot.current));
    }
    if (DeltaBytes(*slot.delta) < slot.current->content.size()) return {nullptr, slot.delta};
  }
  return {slot.current, nullptr};
}

}  // namespace filbertstair::config
