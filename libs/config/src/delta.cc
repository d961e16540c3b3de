#include "filbertstair/config/delta.h"

#include <algorithm>
#include <unordered_map>

namespace filbertstair::config {
namespace {

constexpr std::size_t kBlockBytes = 32;
// Estimated encoded size of a step's offset, length and text length.
constexpr std::size_t kStepBytes = 8;

// Returns the length of the longest common prefix of `a` and `b`.
auto CommonPrefixLength(std::string_view a, std::string_view b) -> std::size_t {
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
  for (std::size_t i = 0; i + kBlockBytes <= from.size(); i += kBlockBytes) {
    blocks.emplace(ContentHash(from.substr(i, kBlockBytes)), i);
  }
  Delta delta{.key = object.key, .base = base.stamp, .stamp = object.stamp, .steps = {}};
  // The first step copies the common prefix, which most changes preserve and which needs no block
  // search.
  auto position = CommonPrefixLength(from, to);
  delta.steps.push_back({.offset = 0, .length = position, .text = {}});
  auto base_position = position;
  while (position < to.size()) {
    // After a replacement of equal length the contents continue to match at the same offset.
    const auto expected = base_position + delta.steps.back().text.size();
    auto offset = std::string_view::npos;
    if (position + kBlockBytes <= to.size()) {
      const auto block = to.substr(position, kBlockBytes);
      if (expected < from.size() && from.substr(expected, kBlockBytes) == block) {
        offset = expected;
      } else if (const auto found = blocks.find(ContentHash(block));
                 found != blocks.end() && from.substr(found->second, kBlockBytes) == block) {
        offset = found->second;
      }
    }
    if (offset == std::string_view::npos) {
      delta.steps.back().text.push_back(to[position++]);
      continue;
    }
    const auto length = CommonPrefixLength(from.substr(offset), to.substr(position));
    delta.steps.push_back({.offset = offset, .length = length, .text = {}});
    position += length;
    base_position = offset + length;
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

auto MakeFetchReply(ConfigTable& table, const ObjectKey& key, const Stamp& requester_stamp)
    -> FetchReply {
  const auto found = table.object_states.find(key);
  if (found == table.object_states.end()) return {};
  auto& state = found->second;
  if (!state.current || state.current->stamp <= requester_stamp) return {};
  if (state.previous && state.previous->stamp == requester_stamp) {
    if (!state.delta) {
      state.delta = std::make_shared<const Delta>(MakeDelta(*state.previous, *state.current));
    }
    if (DeltaBytes(*state.delta) < state.current->content.size()) return {nullptr, state.delta};
  }
  return {state.current, nullptr};
}

}  // namespace filbertstair::config
