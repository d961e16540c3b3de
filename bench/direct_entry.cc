#include "direct_state.h"

namespace filbertstair::bench {
namespace {

using std::chrono::milliseconds;

// Times of the relay: between two looks at the delay of timers, and after which a caller comes back
// that an overloaded entry refused.
constexpr core::Duration kPressureInterval = milliseconds(50);
constexpr core::Duration kRetryOverloaded = milliseconds(100);

auto ScheduleTimer(Model& model, Entry& entry) -> void {
  const auto due = model.now + kPressureInterval;
  Schedule(model, due, [&model, &entry, due] {
    Submit(model, entry, model.scenario.costs.timer, [&model, &entry, due] {
      HandleTimer(model, entry, model.now - due);
      ScheduleTimer(model, entry);
    });
  });
}

}  // namespace

auto RefuseArrival(Model& model, Entry& entry, const std::string& workspace, double cost)
    -> std::optional<core::Duration> {
  const auto& scenario = model.scenario;
  direct::Ask(entry.queue, scenario.queue, workspace, cost, model.now);
  if (!direct::MustRefuse(entry.pressure, scenario.pressure)) return std::nullopt;
  const double part = direct::RefusedShare(entry.pressure, scenario.pressure);
  const double own = direct::Used(entry.queue.accounts[workspace].own, scenario.queue, model.now);
  if (own < part * direct::OwnLevel(entry.queue, scenario.queue, model.now)) return std::nullopt;
  return kRetryOverloaded;
}

auto IsReady(const Model& model, const Entry& entry) -> bool {
  return !direct::IsBehind(entry.pressure, model.now);
}

auto ClosesConnections(const Model& model, const Entry& entry) -> bool {
  return direct::IsBehind(entry.pressure, model.now);
}

auto HandleTimer(Model& model, Entry& entry, core::Duration late) -> void {
  direct::NoteDelay(entry.pressure, model.scenario.pressure, late, model.now);
}

auto ScheduleTimers(Model& model) -> void {
  for (auto& entry : model.entries) {
    if (entry.processor.cores > 0) ScheduleTimer(model, entry);
  }
}

}  // namespace filbertstair::bench
