#ifndef FILBERTSTAIR_DIRECT_EVENTS_H_
#define FILBERTSTAIR_DIRECT_EVENTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace filbertstair::direct {

// Splits a server-sent event stream into complete events, so that another replica can resume a
// stream that breaks off inside an event after the last complete one.
struct EventSplitter {
  // Bytes after the last complete event.
  std::string partial_event;
  // Id of the last complete event that had one; empty if there was none.
  std::string last_event_id;
};

// Maximum size of an event. A replica that sends more without a blank line does not send an event
// stream.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} << 10;

// Adds bytes of the stream and returns the events that they complete, unchanged; empty if none.
auto ExtractEvents(EventSplitter& splitter, std::string_view bytes) -> std::string;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_EVENTS_H_
