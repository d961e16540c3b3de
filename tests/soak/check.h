#ifndef FILBERTSTAIR_TESTS_SOAK_CHECK_H_
#define FILBERTSTAIR_TESTS_SOAK_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "tests/judge/history.h"
#include "tests/soak/callers.h"
#include "tests/soak/deployment.h"

namespace filbertstair::soak {

// A promise to callers or operators.
enum class Promise {
  // A request that a replica began to run has an answer, and one that was sent whole has one unless
  // it crossed the end of its connection.
  run_is_answered,
  request_is_answered,
  // An answer is the replica's, and whole.
  answer_is_sound,
  answer_is_whole,
  // A refusal that says "not run" is true. The judge has those that say so by their status.
  refusal_is_true,
  // A proper request is not refused as improper.
  request_is_accepted,
  // A revoked key is not used after its time.
  key_is_revoked,
  // Processes end only when told to, with code 0, within their grace, and start in time.
  process_stays,
  stop_is_clean,
  start_is_quick,
  // Memory stays under the limit, and descriptors and threads return to their level.
  usage_is_bounded
};

struct Violation {
  Promise promise = Promise::run_is_answered;
  std::string detail;
};

// What an entry's process used at the start, after the faults and at most.
struct EntryUsage {
  int entry = 0;
  Usage before;
  Usage after;
  std::int64_t peak_resident = 0;
};

// All that was observed of a run. `starts` counts the starts of a request at replicas.
struct Observations {
  std::vector<CallRecord> calls;
  std::map<std::string, int> starts;
  // All requests as they arrived at replicas.
  std::vector<judge::Arrival> arrivals;
  std::vector<EntryRun> runs;
  std::vector<Disturbance> disturbances;
  std::vector<EntryUsage> usages;
  // Times around the call by which the second key was revoked; 0 if it was not.
  std::int64_t revoke_began_at = 0;
  std::int64_t revoked_at = 0;
};

// Returns what was broken.
auto CheckRun(const Observations& observed) -> std::vector<Violation>;

// Returns the number of requests on direct connections that crossed the end of their connection:
// the entry closed it within 200 ms of their last byte, or before it, and passed nothing on.
auto CountCrossings(const Observations& observed) -> int;

// Returns the number of processes that SIGHUP ended while they were being loaded.
auto CountLoaderEnds(const Observations& observed) -> int;

}  // namespace filbertstair::soak

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::soak::Promise, 11>
    filbertstair::core::kNames<filbertstair::soak::Promise>{
        {{filbertstair::soak::Promise::run_is_answered, "run_is_answered"},
         {filbertstair::soak::Promise::request_is_answered, "request_is_answered"},
         {filbertstair::soak::Promise::answer_is_sound, "answer_is_sound"},
         {filbertstair::soak::Promise::answer_is_whole, "answer_is_whole"},
         {filbertstair::soak::Promise::refusal_is_true, "refusal_is_true"},
         {filbertstair::soak::Promise::request_is_accepted, "request_is_accepted"},
         {filbertstair::soak::Promise::key_is_revoked, "key_is_revoked"},
         {filbertstair::soak::Promise::process_stays, "process_stays"},
         {filbertstair::soak::Promise::stop_is_clean, "stop_is_clean"},
         {filbertstair::soak::Promise::start_is_quick, "start_is_quick"},
         {filbertstair::soak::Promise::usage_is_bounded, "usage_is_bounded"}}};

#endif  // FILBERTSTAIR_TESTS_SOAK_CHECK_H_
