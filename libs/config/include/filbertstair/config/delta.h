#ifndef FILBERTSTAIR_CONFIG_DELTA_H_
#define FILBERTSTAIR_CONFIG_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/config/object.h"
#include "filbertstair/config/table.h"

namespace filbertstair::config {

// One step of a delta: copies `length` bytes of the base from `offset`, then appends `text`.
struct DeltaStep {
  std::size_t offset = 0;
  std::size_t length = 0;
  std::string text;
};

// Difference between two contents of one object. At 29,000 changes a day, whole contents exceed the
// control budget of a node as soon as they are larger than about 1 KB.
struct Delta {
  ObjectKey key;
  Stamp base;
  Stamp stamp;
  std::vector<DeltaStep> steps;
};

// Makes the difference from `base` to `object`. Its text covers every part of `object` that is not
// found in `base` in blocks of 32 bytes.
auto MakeDelta(const Object& base, const Object& object) -> Delta;

// Bytes of the delta's steps when encoded, about 8 bytes per step besides the text.
auto DeltaBytes(const Delta& delta) -> std::size_t;

// Applies a delta to `base`. Returns null if `base` is another content, if a step is out of range,
// or if the result does not have the delta's hash; the caller then requests the whole object.
auto ApplyDelta(const Object& base, const Delta& delta) -> ObjectPtr;

// What answers a request. Both are null if the object is unknown or not above the requester's.
struct FetchReply {
  ObjectPtr full_object;
  std::shared_ptr<const Delta> delta;
};

// Answers a request for the object `key` from a process that has it with stamp `have`, or with {}
// not at all: with a delta if `have` is the version before and the delta is smaller, else with the
// whole object. Keeps the delta in the table, because most peers ask for the same one.
auto MakeFetchReply(ConfigTable& table, const ObjectKey& key, const Stamp& requester_stamp)
    -> FetchReply;

}  // namespace filbertstair::config

#endif  // FILBERTSTAIR_CONFIG_DELTA_H_
