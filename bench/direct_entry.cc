#include <vector>

#include "direct_state.h"

namespace filbertstair::bench {
namespace {

using std::chrono::milliseconds;

// Time between two looks at the delay of timers, as in the relay.
constexpr core::Duration kPressureInterval = milliseconds(50);

auto ScheduleTimer(Model& model, Entry& entry) -> void {
  const auto due = model.now + kPressureInterval;
  Schedule(model, due, [&model, &entry, due] {
    Submit(model, entry, model.scenario.costs.timer, [&model, &entry, due] {
      HandleTimer(model, entry, model.now - due);
      ScheduleTimer(model, entry);
    });
  });
}

auto ToMember(const Model& model, const Entry& entry) -> direct::RotationMember {
  const bool behind = direct::IsOverloaded(entry.pressure, model.now);
  return {entry.id, entry.processor.cores,
          behind ? direct::RotationState::lagging : direct::RotationState::serving};
}

// Whether the entry leaves new callers to the others of its failure domain. Their states are known
// at once here; in the relay after a message.
auto HasLeft(const Model& model, const Entry& entry) -> bool {
  if (!direct::IsOverloaded(entry.pressure, model.now)) return false;
  std::vector<direct::RotationMember> others;
  for (const auto& other : model.entries) {
    if (other.domain == entry.domain && other.index != entry.index) {
      others.push_back(ToMember(model, other));
    }
  }
  return direct::MayLeaveRotation(model.scenario.rotation, ToMember(model, entry), others);
}

}  // namespace

auto Screens(const Model& model, const Entry& entry) -> bool {
  if (entry.processor.cores == 0) return false;
  return direct::IsStalled(entry.pressure, model.scenario.pressure) ||
         direct::IsRateLimited(entry.intake, model.scenario.intake, model.now);
}

auto RefuseArrival(Model& model, Entry& entry, const std::string& workspace)
    -> std::optional<core::Duration> {
  const auto& scenario = model.scenario;
  const auto& policy = scenario.intake;
  if (!Screens(model, entry)) return std::nullopt;
  if (direct::IsStalled(entry.pressure, scenario.pressure)) return policy.short_retry_delay;
  const auto& account = entry.queue.accounts[workspace];
  const double asked = direct::RecentService(account.requested, scenario.queue, model.now);
  const double taken = direct::RecentService(account.admitted, scenario.queue, model.now);
  const double share = direct::AdmissionShare(entry.queue, scenario.queue, model.now);
  const auto standing = direct::ClassifyShare(policy, taken, share);
  if (direct::MayAdmit(entry.intake, policy, standing, model.now)) return std::nullopt;
  return direct::ChooseRetryDelay(policy, asked, share, Uniform(model));
}

auto TakeIn(Model& model, Entry& entry, const std::string& workspace, double cost) -> void {
  if (entry.processor.cores == 0) return;
  direct::RecordAdmission(entry.intake, model.scenario.intake, model.now);
  direct::RecordAdmittedService(entry.queue, model.scenario.queue, workspace, cost, model.now);
}

auto IsReady(const Model& model, const Entry& entry) -> bool { return !HasLeft(model, entry); }

auto ClosesConnections(const Model& model, const Entry& entry) -> bool {
  return HasLeft(model, entry) || Screens(model, entry);
}

auto HandleTimer(Model& model, Entry& entry, core::Duration late) -> void {
  direct::RecordTimerDelay(entry.pressure, model.scenario.pressure, late, model.now);
  direct::UpdateAdmissionRate(entry.intake, model.scenario.intake, entry.pressure.mean_delay,
                              model.now);
}

auto ScheduleTimers(Model& model) -> void {
  for (auto& entry : model.entries) {
    if (entry.processor.cores == 0) continue;
    entry.intake =
        direct::MakeAdmissionLimiter(model.scenario.intake, entry.processor.cores, model.now);
    ScheduleTimer(model, entry);
  }
}

}  // namespace filbertstair::bench
