#ifndef FILBERTSTAIR_TESTS_JUDGE_INDEX_H_
#define FILBERTSTAIR_TESTS_JUDGE_INDEX_H_

#include <algorithm>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tests/judge/history.h"
#include "tests/judge/judge.h"

// What the rules of the judge share. The index points into its history, which must outlive it.
namespace filbertstair::judge::detail {

constexpr Time kSecond = 1'000'000;

struct Index {
  const History* history = nullptr;
  std::unordered_map<std::string_view, const ClientAttempt*> attempts;
  // Arrivals of each request, and all, by time. Arrivals without an id are left out.
  std::unordered_map<std::string_view, std::vector<const Arrival*>> by_id;
  std::vector<const Arrival*> arrivals;
};

auto MakeIndex(const History& history) -> Index;

// Returns the client attempt that the arrival belongs to, or null.
auto AttemptOf(const Index& index, const Arrival& arrival) -> const ClientAttempt*;

// Returns the arrivals of a request by time.
auto ArrivalsOf(const Index& index, const ClientAttempt& attempt)
    -> const std::vector<const Arrival*>&;

// Returns the entry that sent the arrival, or else the one that took the request; -1 if neither is
// known.
auto EntryOf(const Index& index, const Arrival& arrival) -> int;

// Whether something of these kinds acted on the entry, or on all, in the closed interval. An
// unknown entry is disturbed by what acts on any.
auto IsDisturbed(const History& history, int entry, Time from, Time until,
                 std::initializer_list<DisturbanceKind> kinds) -> bool;

// Whether something acted on the replica in the closed interval.
auto IsReplicaDisturbed(const History& history, const std::string& replica, Time from, Time until)
    -> bool;

// Whether the entry was without disturbance for `Bounds::contact` before the time.
auto IsCalm(const History& history, int entry, Time at) -> bool;

// Whether the entry and the store were without disturbance for `Bounds::contact` before the time.
auto InTouch(const History& history, int entry, Time at) -> bool;

// Returns the time at which the client allows no more work, or nothing if it states no deadline.
auto EndOf(const ClientAttempt& attempt) -> std::optional<Time>;

// Returns repeats at each service: arrivals beyond the first of each request, by time.
auto RepeatsByService(const Index& index) -> std::map<std::string, std::vector<const Arrival*>>;

// Returns the traffic of all services, sorted by name.
auto MeasureServices(const Index& index) -> std::vector<ServiceFigures>;

// Adds what broke BUDGET.
auto JudgeBudget(const Index& index, std::vector<Finding>& findings) -> void;

// Adds what broke LOST.
auto JudgeLost(const Index& index, std::vector<Finding>& findings) -> void;

// Adds what broke the other rules.
auto JudgeRequests(const Index& index, std::vector<Finding>& findings) -> void;

// Requests that count towards a limit. `at` is the time of the first one added.
struct Counted {
  Time at = 0;
  std::vector<std::string> requests;
};

auto Count(Counted& counted, const std::string& id, Time at) -> void;

// Adds a finding if more requests than `limit` were counted.
auto AddAbove(std::size_t limit, Rule rule, Form form, const Counted& counted, std::string detail,
              std::vector<Finding>& findings) -> void;

}  // namespace filbertstair::judge::detail

#endif  // FILBERTSTAIR_TESTS_JUDGE_INDEX_H_
