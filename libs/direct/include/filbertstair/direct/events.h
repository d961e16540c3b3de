#ifndef FILBERTSTAIR_DIRECT_EVENTS_H_
#define FILBERTSTAIR_DIRECT_EVENTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace filbertstair::direct {

// Cuts an event stream into whole events, so that a stream that breaks off inside an event can be
// continued by another replica after the last whole one.
struct EventSplitter {
  // Bytes after the last whole event.
  std::string partial_event;
  // Id of the last whole event that had one; empty before.
  std::string last_event_id;
};

// Longest event in bytes. A replica that sends more without a blank line sends no events.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} << 10;

// Adds bytes of the stream and returns the events that they complete, unchanged.
auto ExtractEvents(EventSplitter& splitter, std::string_view bytes) -> std::string;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_EVENTS_H_
