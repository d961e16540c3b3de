#ifndef FILBERTSTAIR_TESTS_SOAK_PLAN_H_
#define FILBERTSTAIR_TESTS_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"

namespace filbertstair::soak {

enum class FaultKind {
  // Signals to an entry. A stopped or killed entry is started again on the same addresses.
  terminate,
  kill,
  freeze,
  reload,
  // SIGTERM while the entry is frozen, and SIGCONT afterwards.
  terminate_frozen,
  // SIGKILL, a start on the same addresses at once, and SIGHUP in its first milliseconds.
  reload_at_start,
  // An outgoing connection of another process takes the callers' port while the entry is down.
  hold_port,
  // Freezes and resumes the entry in short turns, as a quota of processor time does.
  throttle,
  // The settings file of an entry is halved, emptied or removed for a time, with SIGHUPs.
  spoil_settings,
  // The store.
  silence_store,
  restart_store,
  publish_configuration,
  // A configuration without the second key; it stays revoked.
  revoke_key,
  // A replica process.
  kill_replica,
  freeze_replica,
  cut_answers,
  double_answers,
  garble_answers,
  endless_answers,
  // The store lists the replica as draining, then as ready again.
  drain_replica,
  // The relay between callers and an entry, between entries and a replica, or to the store.
  cut_callers,
  delay_callers,
  cut_replica,
  silence_replica,
  cut_store,
  // A replica that refuses a share of its requests as full or as not meant for it, or is slow.
  refuse_requests,
  misdirect_requests,
  slow_answers
};

// What a fault acts on.
enum class Scope { entry, replica, store };

auto ScopeOf(FaultKind kind) -> Scope;

struct Fault {
  FaultKind kind = FaultKind::terminate;
  // Time after the start of traffic and duration, in milliseconds.
  int at_ms = 0;
  int for_ms = 0;
  // Index of the entry or replica; reduced modulo their number.
  int target = 0;

  auto operator==(const Fault&) const -> bool = default;
};

// All that a run is made of. Equal plans give the same schedule, though not the same interleaving.
struct Plan {
  std::uint64_t seed = 1;
  int traffic_ms = 20'000;
  int entries = 3;
  int replicas = 4;
  int callers = 40;
  // File of the profile, which then states entries, replicas and callers; empty for the usual ones.
  std::string profile;
  std::vector<Fault> faults;
  // Why a plan that is kept fails or failed, in one line; empty for a drawn plan.
  std::string cause;

  auto operator==(const Plan&) const -> bool = default;
};

// Draws the faults of a plan from its seed. They overlap, and may hit one process several times.
// With a profile, they come in series of one kind.
auto DrawFaults(Plan plan) -> Plan;

auto FormatPlan(const Plan& plan) -> std::string;

// Throws std::exception if the text is not a plan.
auto ParsePlan(const std::string& text) -> Plan;

}  // namespace filbertstair::soak

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::soak::FaultKind, 28>
    filbertstair::core::kNames<filbertstair::soak::FaultKind>{
        {{filbertstair::soak::FaultKind::terminate, "terminate"},
         {filbertstair::soak::FaultKind::kill, "kill"},
         {filbertstair::soak::FaultKind::freeze, "freeze"},
         {filbertstair::soak::FaultKind::reload, "reload"},
         {filbertstair::soak::FaultKind::terminate_frozen, "terminate_frozen"},
         {filbertstair::soak::FaultKind::reload_at_start, "reload_at_start"},
         {filbertstair::soak::FaultKind::hold_port, "hold_port"},
         {filbertstair::soak::FaultKind::throttle, "throttle"},
         {filbertstair::soak::FaultKind::spoil_settings, "spoil_settings"},
         {filbertstair::soak::FaultKind::silence_store, "silence_store"},
         {filbertstair::soak::FaultKind::restart_store, "restart_store"},
         {filbertstair::soak::FaultKind::publish_configuration, "publish_configuration"},
         {filbertstair::soak::FaultKind::revoke_key, "revoke_key"},
         {filbertstair::soak::FaultKind::kill_replica, "kill_replica"},
         {filbertstair::soak::FaultKind::freeze_replica, "freeze_replica"},
         {filbertstair::soak::FaultKind::cut_answers, "cut_answers"},
         {filbertstair::soak::FaultKind::double_answers, "double_answers"},
         {filbertstair::soak::FaultKind::garble_answers, "garble_answers"},
         {filbertstair::soak::FaultKind::endless_answers, "endless_answers"},
         {filbertstair::soak::FaultKind::drain_replica, "drain_replica"},
         {filbertstair::soak::FaultKind::cut_callers, "cut_callers"},
         {filbertstair::soak::FaultKind::delay_callers, "delay_callers"},
         {filbertstair::soak::FaultKind::cut_replica, "cut_replica"},
         {filbertstair::soak::FaultKind::silence_replica, "silence_replica"},
         {filbertstair::soak::FaultKind::cut_store, "cut_store"},
         {filbertstair::soak::FaultKind::refuse_requests, "refuse_requests"},
         {filbertstair::soak::FaultKind::misdirect_requests, "misdirect_requests"},
         {filbertstair::soak::FaultKind::slow_answers, "slow_answers"}}};

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::soak::Scope, 3>
    filbertstair::core::kNames<filbertstair::soak::Scope>{
        {{filbertstair::soak::Scope::entry, "entry"},
         {filbertstair::soak::Scope::replica, "replica"},
         {filbertstair::soak::Scope::store, "store"}}};

#endif  // FILBERTSTAIR_TESTS_SOAK_PLAN_H_
