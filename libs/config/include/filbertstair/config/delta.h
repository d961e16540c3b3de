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

// One step of a delta: copies `length` bytes of the base content starting at byte `offset`, then
// appends `text`.
struct DeltaStep {
  std::size_t offset = 0;
  std::size_t length = 0;
  std::string text;
};

// Difference between two versions of one object's content. At 29,000 changes a day, sending full
// contents exceeds a node's control traffic budget as soon as they are larger than about 1 KB.
struct Delta {
  ObjectKey key;
  Stamp base;
  Stamp stamp;
  std::vector<DeltaStep> steps;
};

// Computes the delta from `base` to `object`. Contents are matched in blocks of 32 bytes; every
// part of `object` without a matching block in `base` becomes text.
auto MakeDelta(const Object& base, const Object& object) -> Delta;

// Returns the estimated encoded size of the delta's steps in bytes: the text plus about 8 bytes per
// step.
auto DeltaBytes(const Delta& delta) -> std::size_t;

// Applies a delta to `base`. Returns null if the delta was made from another object or version, if
// a step is out of range, or if the result does not have the delta's stamp. The caller then
// requests the full object.
auto ApplyDelta(const Object& base, const Delta& delta) -> ObjectPtr;

// Reply to a fetch request: either the full object or a delta. Both are null if the object is
// unknown or not newer than the requester's version.
struct FetchReply {
  ObjectPtr full_object;
  std::shared_ptr<const Delta> delta;
};

// Builds the reply to a request for the object `key` from a process whose version has the stamp
// `requester_stamp`, or {} if it has none. The reply is a delta if the requester has the previous
// version and the delta is smaller than the content, otherwise the full object. Caches the delta in
// the table, because most peers request the same one.
auto MakeFetchReply(ConfigTable& table, const ObjectKey& key, const Stamp& requester_stamp)
    -> FetchReply;

}  // namespace filbertstair::config

#endif  // FILBERTSTAIR_CONFIG_DELTA_H_
