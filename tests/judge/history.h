#ifndef FILBERTSTAIR_TESTS_JUDGE_HISTORY_H_
#define FILBERTSTAIR_TESTS_JUDGE_HISTORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"

// What callers and replicas saw of a run, and what was done to the processes, as plain data. All
// times are microseconds of the machine's monotonic clock, which all processes of a run share.
namespace filbertstair::judge {

using Time = std::int64_t;

// What may be repeated: `safe` requests and resumable streams may run again, `unsafe` requests and
// other streams at most once.
enum class RequestKind { safe, unsafe, stream, resumable_stream };

// One attempt of a client, with its own id.
struct ClientAttempt {
  std::string id;
  std::string service;
  RequestKind kind = RequestKind::safe;
  // Replicas that the route allows for one attempt.
  int attempts = 1;
  // Index of the entry that took the request.
  int entry = 0;
  // The connection, and the position of the request on it from 0. Kept if it is above 0.
  std::string connection;
  int order = 0;
  // Time at which the first and the last byte were handed to the kernel; 0 for the last one if that
  // failed.
  Time began_at = 0;
  Time sent_at = 0;
  // Time that the client allows, from `began_at`; 0 if it states none.
  Time deadline = 0;
  Time ended_at = 0;
  // 0 if the connection ended before a status arrived.
  int status = 0;
  // Whether the end of the response was marked and reached.
  bool complete = false;
  // Whether the client gave up and closed the connection itself.
  bool gave_up = false;
  // The route's timeout, from `began_at`; 0 if it is not known.
  Time timeout = 0;
  // Numbers of a stream's pieces as they arrived, the first one that was asked for, and their count
  // in the whole stream; 0 if that is not known.
  std::vector<int> pieces;
  int first_piece = 0;
  int piece_count = 0;
  // Whether the request is known to be proper and allowed by every configuration that may be in
  // force, and whether its status is a replica's.
  bool allowed = false;
  bool from_replica = false;
};

// How a replica ended a request that arrived there.
enum class ArrivalEnd {
  // Still in progress at the end of the run, or at the end of the replica's process.
  none,
  answered,
  // Refused with the word that it was not executed.
  refused,
  // Broken off by the replica itself.
  cut,
  // The connection ended before the replica had answered.
  abandoned
};

// A request as it arrived at a replica, before any answer.
struct Arrival {
  std::string id;
  std::string service;
  std::string replica;
  // Index of the entry that sent it, or -1 if that is not known.
  int entry = -1;
  Time at = 0;
  // Time that the replica was given, or nothing if the request stated none.
  std::optional<Time> deadline;
  std::string expected_replica;
  std::string resume_after;
  // Whether the replica began to run it, and whether it was then at work as usual.
  bool ran = false;
  bool sound = true;
  Time ended_at = 0;
  ArrivalEnd end = ArrivalEnd::none;
  int status = 0;
  // `Retry-After` of a refusal; 0 if there was none.
  Time retry_after = 0;
  // Whether the prompt has a part that crashes replicas. It did if `ran` and `end` is `none`.
  bool deadly = false;
};

// What was done to the processes and links. `terminate`, `reload` and `configuration` (from its
// sending until its acknowledgement) are planned work. `replica` is one that ended or was cut off.
enum class DisturbanceKind {
  terminate,
  kill,
  start,
  freeze,
  slow,
  reload,
  reset_connections,
  cut_link,
  store,
  configuration,
  replica
};

struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kill;
  // Index of the entry, or -1 for all.
  int entry = -1;
  // Id of the replica, for kind `replica`.
  std::string replica;
  Time from = 0;
  Time until = 0;
};

// A replica that is draining or gone, from the acknowledgement until the same replica comes back; 0
// if it does not.
struct Departure {
  std::string replica;
  Time at = 0;
  Time until = 0;
  // Index of the entry that acknowledged it by itself, or -1 for the store.
  int entry = -1;
};

// Bounds of a deployment.
struct Bounds {
  Time contact = 4'000'000;
  Time drain_timeout = 2'500'000;
  Time grace = 8'000'000;
  Time loss_slack = 200'000;
  Time config_apply = 2'500'000;
  Time retry_window = 10'000'000;
  double retry_ratio = 0.2;
  int retry_extra = 54;
  Time recovery = 10'000'000;
};

// All that is known of a run.
struct History {
  std::vector<ClientAttempt> attempts;
  std::vector<Arrival> arrivals;
  std::vector<Disturbance> disturbances;
  Bounds bounds;
  std::vector<Departure> departures;
};

}  // namespace filbertstair::judge

namespace filbertstair::core {
template <>
inline constexpr NameTable<judge::RequestKind, 4> kNames<judge::RequestKind>{
    {{judge::RequestKind::safe, "safe"},
     {judge::RequestKind::unsafe, "unsafe"},
     {judge::RequestKind::stream, "stream"},
     {judge::RequestKind::resumable_stream, "resumable_stream"}}};

template <>
inline constexpr NameTable<judge::ArrivalEnd, 5> kNames<judge::ArrivalEnd>{
    {{judge::ArrivalEnd::none, "none"},
     {judge::ArrivalEnd::answered, "answered"},
     {judge::ArrivalEnd::refused, "refused"},
     {judge::ArrivalEnd::cut, "cut"},
     {judge::ArrivalEnd::abandoned, "abandoned"}}};

template <>
inline constexpr NameTable<judge::DisturbanceKind, 11> kNames<judge::DisturbanceKind>{
    {{judge::DisturbanceKind::terminate, "terminate"},
     {judge::DisturbanceKind::kill, "kill"},
     {judge::DisturbanceKind::start, "start"},
     {judge::DisturbanceKind::freeze, "freeze"},
     {judge::DisturbanceKind::slow, "slow"},
     {judge::DisturbanceKind::reload, "reload"},
     {judge::DisturbanceKind::reset_connections, "reset_connections"},
     {judge::DisturbanceKind::cut_link, "cut_link"},
     {judge::DisturbanceKind::store, "store"},
     {judge::DisturbanceKind::configuration, "configuration"},
     {judge::DisturbanceKind::replica, "replica"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_TESTS_JUDGE_HISTORY_H_
