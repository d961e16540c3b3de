#include "tests/soak/faults.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <memory>
#include <thread>

#include "tests/standins/history.h"

namespace filbertstair::soak {
namespace {

using std::chrono::milliseconds;

// Turns of a throttled process: a tenth of the processor time.
constexpr std::int64_t kThrottleRunUs = 10'000;
constexpr std::int64_t kThrottleTurnUs = 100'000;
// SIGHUPs in the first milliseconds of a process. The fault's duration, modulo kEarlyDelays, is the
// delay of the first one in milliseconds: one that is sent at once ends the process in the dynamic
// loader, which no program can prevent.
constexpr std::int64_t kEarlyDelays = 24;
constexpr int kEarlySignals = 6;
constexpr milliseconds kEarlyInterval{1};
constexpr milliseconds kEndTime{2000};
constexpr int kCutPercent = 30;
constexpr milliseconds kLinkDelay{300};

struct Schedule {
  Deployment& deployment;
  std::vector<Step> steps;
  // Time of the fault that is being scheduled.
  std::int64_t from = 0;
  std::int64_t until = 0;
  std::size_t fault = 0;

  auto Add(std::int64_t at, std::function<void()> apply) -> void {
    this->steps.push_back({at, std::move(apply), this->fault});
  }
  // Adds steps at the begin and the end of the fault.
  auto Around(std::function<void()> begin, std::function<void()> end) -> void {
    this->Add(this->from, std::move(begin));
    this->Add(this->until, std::move(end));
  }
};

auto Terminate(Entry& entry) -> void {
  if (!entry.process) return;
  auto& run = entry.runs.back();
  if (run.terminated_at == 0) run.terminated_at = standins::NowUs();
  entry.process->Signal(SIGTERM);
}

// Kills the process of the entry and records its end.
auto Kill(Entry& entry) -> void {
  if (!entry.process) return;
  entry.runs.back().killed_at = standins::NowUs();
  entry.process->Signal(SIGKILL);
  if (const auto status = entry.process->Wait(kEndTime)) entry.runs.back().status = *status;
  entry.runs.back().ended_at = standins::NowUs();
  entry.process.reset();
  entry.frozen = 0;
}

auto Freeze(Entry& entry) -> void {
  if (!entry.process) return;
  ++entry.frozen;
  entry.process->Signal(SIGSTOP);
}

// Does nothing for a process that was started after the freeze.
auto Resume(Entry& entry) -> void {
  if (!entry.process || entry.frozen == 0) return;
  if (--entry.frozen == 0) entry.process->Signal(SIGCONT);
}

auto Hangup(Entry& entry) -> void {
  if (entry.process) entry.process->Signal(SIGHUP);
}

auto ReloadAtStart(Deployment& deployment, Entry& entry, milliseconds delay) -> void {
  Kill(entry);
  StartEntry(deployment, entry);
  std::this_thread::sleep_for(delay);
  for (int i = 0; i < kEarlySignals; ++i) {
    Hangup(entry);
    std::this_thread::sleep_for(kEarlyInterval);
  }
}

// Listens at the address, as another process might, and returns the socket; -1 if it is in use.
auto HoldAddress(const std::string& address) -> int {
  const auto port = std::stoi(address.substr(address.rfind(':') + 1));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int held = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(held, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(held, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0 &&
      listen(held, 1) == 0) {
    return held;
  }
  close(held);
  return -1;
}

// Lets the entry run for a part of each turn.
auto ScheduleThrottle(Schedule& schedule, Entry& entry, std::int64_t run_us) -> void {
  for (auto at = schedule.from; at < schedule.until; at += kThrottleTurnUs) {
    schedule.Add(at, [&entry] { Freeze(entry); });
    schedule.Add(at + kThrottleTurnUs - run_us, [&entry] { Resume(entry); });
  }
}

auto ScheduleHeldPort(Schedule& schedule, Entry& entry) -> void {
  const auto held = std::make_shared<int>(-1);
  schedule.Around(
      [&entry, held] {
        Kill(entry);
        *held = HoldAddress(entry.callers);
      },
      [held] {
        if (*held >= 0) close(*held);
      });
}

auto WriteSettings(const Entry& entry, const std::string& text) -> void {
  std::ofstream(entry.settings_path, std::ios::trunc) << text;
}

auto ScheduleSpoiledSettings(Schedule& schedule, Entry& entry) -> void {
  schedule.Around(
      [&entry] {
        WriteSettings(entry, entry.settings.substr(0, entry.settings.size() / 2));
        Hangup(entry);
      },
      [&entry] {
        WriteSettings(entry, entry.settings);
        Hangup(entry);
      });
}

auto ScheduleEntryFault(Schedule& schedule, FaultKind kind, Entry& entry) -> void {
  auto& deployment = schedule.deployment;
  switch (kind) {
    case FaultKind::terminate:
      return schedule.Add(schedule.from, [&entry] { Terminate(entry); });
    case FaultKind::kill:
      return schedule.Add(schedule.from, [&entry] { Kill(entry); });
    case FaultKind::freeze:
      return schedule.Around([&entry] { Freeze(entry); }, [&entry] { Resume(entry); });
    case FaultKind::reload:
      return schedule.Add(schedule.from, [&entry] { Hangup(entry); });
    case FaultKind::terminate_frozen:
      return schedule.Around(
          [&entry] {
            Freeze(entry);
            Terminate(entry);
          },
          [&entry] { Resume(entry); });
    case FaultKind::reload_at_start:
      return schedule.Add(schedule.from, [&deployment, &entry,
                                          delay = milliseconds((schedule.until - schedule.from) /
                                                               1000 % kEarlyDelays)] {
        ReloadAtStart(deployment, entry, delay);
      });
    case FaultKind::hold_port:
      return ScheduleHeldPort(schedule, entry);
    case FaultKind::throttle:
      return ScheduleThrottle(schedule, entry, kThrottleRunUs);
    case FaultKind::spoil_settings:
      return ScheduleSpoiledSettings(schedule, entry);
    case FaultKind::cut_callers:
      return schedule.Around(
          [&entry] {
            entry.relay->SetLink("", {fleet::LinkMode::reset, {}});
          },
          [&entry] { entry.relay->SetLink("", {}); });
    case FaultKind::delay_callers:
      return schedule.Around(
          [&entry] {
            entry.relay->SetLink("", {fleet::LinkMode::open, kLinkDelay});
          },
          [&entry] { entry.relay->SetLink("", {}); });
    default:
      return;
  }
}

// Sends a command to the replica. A frozen one is resumed first: it would not answer, and answers
// would stay cut after the fault.
auto ControlReplica(Replica& replica, const std::string& command) -> void {
  replica.process->Signal(SIGCONT);
  Control(replica.address, command);
}

auto ScheduleAnswers(Schedule& schedule, Replica& replica, const std::string& kind) -> void {
  schedule.Around([&replica, kind] { ControlReplica(replica, "fault?kind=" + kind); },
                  [&replica] { ControlReplica(replica, "fault?kind=none"); });
}

auto ScheduleLink(Schedule& schedule, Replica& replica, fleet::LinkMode mode) -> void {
  const auto& deployment = schedule.deployment;
  schedule.Around([&deployment, &replica, mode] { SetLink(deployment, replica, mode); },
                  [&deployment, &replica] { SetLink(deployment, replica, fleet::LinkMode::open); });
}

auto ScheduleReplicaFault(Schedule& schedule, FaultKind kind, Replica& replica) -> void {
  auto& deployment = schedule.deployment;
  switch (kind) {
    case FaultKind::kill_replica:
      return schedule.Add(schedule.from, [&replica] { replica.process->Signal(SIGKILL); });
    case FaultKind::freeze_replica:
      return schedule.Around([&replica] { replica.process->Signal(SIGSTOP); },
                             [&replica] { replica.process->Signal(SIGCONT); });
    case FaultKind::cut_answers:
      return schedule.Around(
          [&replica] { ControlReplica(replica, "cut?percent=" + std::to_string(kCutPercent)); },
          [&replica] { ControlReplica(replica, "cut?percent=0"); });
    case FaultKind::double_answers:
      return ScheduleAnswers(schedule, replica, "doubled");
    case FaultKind::garble_answers:
      return ScheduleAnswers(schedule, replica, "garbled");
    case FaultKind::endless_answers:
      return ScheduleAnswers(schedule, replica, "endless");
    case FaultKind::drain_replica:
      return schedule.Around([&] { Control(deployment.store, "drain?id=" + replica.id); },
                             [&] { Control(deployment.store, "return?id=" + replica.id); });
    case FaultKind::refuse_requests:
      return ScheduleAnswers(schedule, replica, "full");
    case FaultKind::misdirect_requests:
      return ScheduleAnswers(schedule, replica, "misdirected");
    case FaultKind::slow_answers:
      return ScheduleAnswers(schedule, replica, "slow");
    case FaultKind::cut_replica:
      return ScheduleLink(schedule, replica, fleet::LinkMode::reset);
    case FaultKind::silence_replica:
      return ScheduleLink(schedule, replica, fleet::LinkMode::silent);
    default:
      return;
  }
}

auto ScheduleStoreFault(Schedule& schedule, FaultKind kind) -> void {
  auto& deployment = schedule.deployment;
  switch (kind) {
    case FaultKind::silence_store:
      return schedule.Around([&] { Control(deployment.store, "silent?on=1"); },
                             [&] { Control(deployment.store, "silent?on=0"); });
    case FaultKind::restart_store:
      return schedule.Add(schedule.from, [&] {
        deployment.store_process.reset();
        StartStore(deployment);
      });
    case FaultKind::publish_configuration:
      return schedule.Add(schedule.from, [&] { Control(deployment.store, "config"); });
    case FaultKind::revoke_key:
      return schedule.Add(schedule.from, [&] {
        if (deployment.revoked_at > 0) return;
        deployment.revoke_began_at = standins::NowUs();
        if (Control(deployment.store, "revoke")) deployment.revoked_at = standins::NowUs();
      });
    case FaultKind::cut_store:
      return schedule.Around(
          [&] {
            deployment.store_relay->SetLink("", {fleet::LinkMode::silent, {}});
          },
          [&] { deployment.store_relay->SetLink("", {}); });
    default:
      return;
  }
}

}  // namespace

auto ScheduleFaults(Deployment& deployment, std::int64_t begin) -> std::vector<Step> {
  Schedule schedule{deployment, {}};
  for (const auto& fault : deployment.plan.faults) {
    const auto pick = [&](auto& items) -> auto& {
      return items[static_cast<std::size_t>(fault.target) % items.size()];
    };
    schedule.from = begin + std::int64_t{fault.at_ms} * 1000;
    schedule.until = schedule.from + std::int64_t{fault.for_ms} * 1000;
    auto& entry = pick(deployment.entries);
    switch (ScopeOf(fault.kind)) {
      case Scope::entry:
        ScheduleEntryFault(schedule, fault.kind, entry);
        break;
      case Scope::replica:
        ScheduleReplicaFault(schedule, fault.kind, pick(deployment.replicas));
        break;
      case Scope::store:
        ScheduleStoreFault(schedule, fault.kind);
        break;
    }
    Disturbance disturbance{fault.kind};
    if (ScopeOf(fault.kind) == Scope::entry) disturbance.entry = entry.index;
    if (ScopeOf(fault.kind) == Scope::replica) {
      disturbance.replica = pick(deployment.replicas).id;
    }
    deployment.disturbances.push_back(disturbance);
    ++schedule.fault;
  }
  // The share of the processor that a profile states is no fault.
  const double share = deployment.profile ? deployment.profile->running_share : 1;
  schedule.fault = kNoFault;
  schedule.from = begin;
  schedule.until = begin + std::int64_t{deployment.plan.traffic_ms} * 1000;
  for (auto& entry : deployment.entries) {
    if (share < 1) {
      ScheduleThrottle(schedule, entry, static_cast<std::int64_t>(share * kThrottleTurnUs));
    }
  }
  std::stable_sort(schedule.steps.begin(), schedule.steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  return std::move(schedule.steps);
}

auto ApplyStep(Deployment& deployment, const Step& step) -> void {
  if (step.fault == kNoFault) return step.apply();
  auto& disturbance = deployment.disturbances[step.fault];
  if (disturbance.from == 0) disturbance.from = standins::NowUs();
  step.apply();
  disturbance.until = standins::NowUs();
}

}  // namespace filbertstair::soak
