#include "filbertstair/direct/events.h"

#include <algorithm>
#include <utility>

namespace filbertstair::direct {
namespace {

// Bytes of a blank line before its last one: the line feed that ends the previous line, and a
// carriage return.
constexpr std::size_t kMaxBlankLinePrefix = 2;

// Returns the position after the last blank line that follows another line, or 0.
auto FindEventsEnd(std::string_view text) -> std::size_t {
  for (auto end = text.rfind('\n'); end != std::string_view::npos && end > 0;
       end = text.rfind('\n', end - 1)) {
    auto before = text.substr(0, end);
    if (before.ends_with('\r')) before.remove_suffix(1);
    if (before.ends_with('\n')) return end + 1;
  }
  return 0;
}

// Returns the value of the last "id" field in the events, or nothing.
auto FindLastEventId(std::string_view events) -> std::optional<std::string_view> {
  constexpr std::string_view field = "id:";
  for (auto at = events.rfind(field); at != std::string_view::npos;
       at = at == 0 ? std::string_view::npos : events.rfind(field, at - 1)) {
    if (at == 0 || events[at - 1] == '\n') {
      auto value = events.substr(at + field.size());
      value = value.substr(0, value.find_first_of("\r\n"));
      if (value.starts_with(' ')) value.remove_prefix(1);
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace

auto ExtractEvents(EventSplitter& splitter, std::string_view bytes) -> std::string {
  // The bytes before contain no end of an event, but may contain the start of one.
  const auto searched =
      splitter.partial_event.size() - std::min(splitter.partial_event.size(), kMaxBlankLinePrefix);
  splitter.partial_event += bytes;
#ifdef FILBERTSTAIR_BROKEN_whole_events
  if (const auto id = FindLastEventId(splitter.partial_event)) splitter.last_event_id = *id;
  return std::exchange(splitter.partial_event, {});
#endif
  const std::string_view partial_event = splitter.partial_event;
  auto end = FindEventsEnd(partial_event.substr(searched));
  if (end == 0) return {};
  end += searched;
  std::string events = std::exchange(splitter.partial_event, splitter.partial_event.substr(end));
  events.resize(end);
  if (const auto id = FindLastEventId(events)) splitter.last_event_id = *id;
  return events;
}

}  // namespace filbertstair::direct
