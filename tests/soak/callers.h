#ifndef FILBERTSTAIR_TESTS_SOAK_CALLERS_H_
#define FILBERTSTAIR_TESTS_SOAK_CALLERS_H_

#include <boost/beast/core.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"

namespace filbertstair::soak {

enum class CallKind {
  // Streams, requests that may run once at most, and repeatable ones.
  stream,
  once,
  again,
  // A repeatable request whose body arrives in parts over more than a second.
  slow_upload,
  // A body beyond the limit of the configuration.
  large_upload,
  // A stream of which the caller closes the connection after the first bytes.
  abandoned
};

// Service of the stand-in's replicas that answers such requests.
auto ServiceOf(CallKind kind) -> std::string;

// What a caller saw of one request. Times are microseconds of the machine's monotonic clock.
struct CallRecord {
  std::string id;
  CallKind kind = CallKind::again;
  int entry = 0;
  // Whether the request bears the key that may be revoked.
  bool second_key = false;
  // Whether a relay was in the path, and whether the connection had carried a request before.
  bool relayed = false;
  bool kept = false;
  // Number of the connection among those of the callers, and position of the request on it.
  std::uint64_t connection = 0;
  int order = 0;
  // Replicas and time that the route allows for one attempt.
  int attempts = 3;
  int timeout_ms = 5000;
  // Time that the request states, in milliseconds from `began_at`.
  int deadline_ms = 0;
  // Whether the caller closed the connection before the end of the response.
  bool gave_up = false;
  // Time at which the connection was begun. On a busy machine the caller learns tens of
  // milliseconds later that it stands, when the entry may already have been killed.
  std::int64_t connected_at = 0;
  std::int64_t began_at = 0;
  // Time at which the last byte was handed to the kernel; 0 if that failed.
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
  // 0 if the connection ended before a status arrived.
  int status = 0;
  std::string outcome;
  // Whether the end of the response was marked and reached, and whether it was as expected.
  bool complete = false;
  bool sound = false;
  // Bytes of the response that arrived.
  std::uint64_t received = 0;
  std::string error;
};

struct CallerOptions {
  // Addresses of the entries, and of the relays in front of them.
  std::vector<std::string> entries;
  std::vector<std::string> relays;
  // Addresses that answer whether the entries are ready.
  std::vector<std::string> admins;
  std::uint64_t seed = 1;
  int callers = 40;
  int traffic_ms = 20'000;
  std::string output;
};

// Sends requests until the time is over and appends one line to the output for each.
auto RunCallers(const CallerOptions& options) -> void;

// Whether the peer has closed the connection, as far as is known here.
auto IsClosed(boost::beast::tcp_stream& stream) -> bool;

auto FormatCall(const CallRecord& record) -> std::string;
auto ParseCall(const std::string& line) -> CallRecord;

}  // namespace filbertstair::soak

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::soak::CallKind, 6>
    filbertstair::core::kNames<filbertstair::soak::CallKind>{
        {{filbertstair::soak::CallKind::stream, "stream"},
         {filbertstair::soak::CallKind::once, "once"},
         {filbertstair::soak::CallKind::again, "again"},
         {filbertstair::soak::CallKind::slow_upload, "slow_upload"},
         {filbertstair::soak::CallKind::large_upload, "large_upload"},
         {filbertstair::soak::CallKind::abandoned, "abandoned"}}};

#endif  // FILBERTSTAIR_TESTS_SOAK_CALLERS_H_
