#include "direct_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include "filbertstair/direct/assignment.h"
#include "filbertstair/direct/round.h"

namespace filbertstair::bench {
namespace {

using direct::Ticket;
using std::chrono::milliseconds;

const std::string kService = "s";

// One-way delays within a failure domain, between those of a region, and between regions.
constexpr core::Duration kDomainDelay{100};
constexpr core::Duration kRegionDelay{900};
constexpr core::Duration kFarDelay{20000};
// Times of the relay: messages per second over all links of an entry, the least time between two
// on one link and between two messages about accounts, between two rounds for room that others
// freed, and the share of the objective that a request may wait.
constexpr int kMessagesPerSecond = 250;
constexpr core::Duration kMinMessageGap = milliseconds(20);
constexpr core::Duration kAccountGap = milliseconds(100);
constexpr core::Duration kAssignGap = milliseconds(10);
constexpr double kQueueShare = 0.4;
constexpr std::size_t kMaxKeptNews = 2048;
// Replicas that may refuse a connection, and replicas that a request may be sent to.
constexpr int kMaxConnects = 3;
constexpr std::size_t kMaxAttempts = 2;
// The engine: time of a step without requests and per request, prompt tokens read in a
// millisecond and in one step, and memory in tokens.
constexpr double kStepMs = 3.8;
constexpr double kStepMsPerRequest = 0.09;
constexpr double kReadTokensPerMs = 56.6;
constexpr double kChunk = 1024;
constexpr std::uint64_t kMemory = 450000;
constexpr std::uint32_t kSlots = 64;

// A request on its way, with what its caller and its replica know of it.
struct Job {
  std::size_t workspace = 0;
  std::size_t entry = 0;
  direct::Prompt prompt;
  core::Duration objective{};
  core::Time arrived{};
  // Time until which it waits for a replica.
  core::Time latest{};
  double cost = 0;
  Ticket ticket = 0;
  bool returned = false;
  int connects = 0;
  std::set<std::string> tried;
  direct::Assignment assignment;
  double unread = 0;
  double left = 0;
};
using JobPtr = std::shared_ptr<Job>;

struct KeptNews {
  std::string replica;
  direct::KeptParts::Item part;
};

// An entry with its tables, and what it last told the others.
struct Entry {
  std::string id;
  direct::Origin origin;
  std::size_t domain = 0;
  direct::FairQueue queue;
  direct::ReplicaTable replicas;
  direct::Round round;
  std::map<Ticket, JobPtr> pending;
  std::map<std::string, direct::Use> told_uses;
  std::map<std::string, std::pair<double, bool>> told_accounts;
  core::Time accounts_at{};
  std::vector<KeptNews> kept_news;
  bool freed = false;
  core::Time assigned_at{};
};

struct Engine {
  std::string id;
  std::size_t domain = 0;
  double speed = 1;
  std::deque<JobPtr> reading;
  std::vector<JobPtr> running;
  direct::KeptParts kept;
  bool stepping = false;
  bool down = false;
  // Raised when the engine goes down, so that its last step is forgotten.
  std::uint64_t run = 0;
};

struct Event {
  core::Time at{};
  std::uint64_t serial = 0;
  std::function<void()> run;
};
struct Later {
  auto operator()(const Event& a, const Event& b) const -> bool {
    return a.at != b.at ? a.at > b.at : a.serial > b.serial;
  }
};

auto ToDuration(double ms) -> core::Duration {
  return core::Duration(static_cast<std::int64_t>(ms * 1000));
}

// A message of one entry to the others.
struct News {
  std::vector<std::pair<std::string, direct::Use>> uses;
  std::vector<KeptNews> kept;
  struct Account {
    std::string workspace;
    double used = 0;
    bool waiting = false;
  };
  std::vector<Account> accounts;
};

// The fleet and its callers at one moment, with what is still to happen.
struct Model {
  Model(const DirectScenario& scenario, std::uint64_t seed) : scenario(scenario), random(seed) {}

  const DirectScenario& scenario;
  std::mt19937_64 random;
  const core::Time start{std::chrono::seconds(1000)};
  core::Time now = start;
  std::uint64_t serial = 0;
  Ticket last_ticket = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events;
  std::vector<Entry> entries;
  std::map<std::string, Engine> engines;
  std::set<std::uint64_t> read_parts;
  DirectResult result;
};

auto Wait(Model& model, const JobPtr& job, core::Time latest) -> void;
auto Fail(Model& model, Engine& engine, const JobPtr& job, direct::Fault fault) -> void;
auto Continue(Model& model, Entry& entry) -> void;

auto At(const Model& model, double second) -> core::Time {
  return model.start + ToDuration(second * 1000);
}

auto Second(const Model& model, core::Time time) -> double {
  return std::chrono::duration<double>(time - model.start).count();
}

auto Schedule(Model& model, core::Time at, std::function<void()> run) -> void {
  model.events.push({at, ++model.serial, std::move(run)});
}

auto Uniform(Model& model) -> double {
  return std::uniform_real_distribution<double>(0, 1)(model.random);
}

// Lognormal with the given mean; `spread` is the standard deviation over the mean.
auto Draw(Model& model, double mean, double spread, double max) -> double {
  const double variance = std::log(1 + spread * spread);
  std::lognormal_distribution<double> sizes(std::log(mean) - variance / 2, std::sqrt(variance));
  return std::clamp(sizes(model.random), 1.0, max);
}

auto Region(const Model& model, std::size_t domain) -> std::size_t {
  return domain % model.scenario.regions;
}

auto Delay(const Model& model, std::size_t from, std::size_t to) -> core::Duration {
  if (from == to) return kDomainDelay;
  return Region(model, from) == Region(model, to) ? kRegionDelay : kFarDelay;
}

auto DomainName(std::size_t domain) -> std::string { return "d" + std::to_string(domain); }

auto SetUpReplicas(Model& model) -> void {
  for (std::size_t i = 0; i < model.scenario.replicas; ++i) {
    auto& engine = model.engines["replica-" + std::to_string(i)];
    engine.id = "replica-" + std::to_string(i);
    engine.domain = i % model.scenario.domains;
    engine.speed = i % 3 == 2 ? 1.3 : 1;
  }
}

auto SetUpEntries(Model& model) -> void {
  direct::Origin origin;
  for (std::size_t i = 0; i < model.scenario.domains; ++i) {
    origin.regions[DomainName(i)] = "r" + std::to_string(Region(model, i));
  }
  model.entries.resize(model.scenario.entries);
  for (std::size_t i = 0; i < model.entries.size(); ++i) {
    auto& entry = model.entries[i];
    entry.id = "entry-" + std::to_string(i);
    entry.domain = i % model.scenario.domains;
    entry.origin = origin;
    entry.origin.failure_domain = DomainName(entry.domain);
    for (const auto& [id, engine] : model.engines) {
      direct::Upsert(entry.replicas, {.id = id,
                                      .service = kService,
                                      .address = id,
                                      .failure_domain = DomainName(engine.domain),
                                      .slots = kSlots});
    }
  }
}

auto Name(const Model& model, const Job& job) -> const std::string& {
  return model.scenario.workspaces[job.workspace].name;
}

// Picks an entry of the domain; callers are bound to entries unevenly.
auto PickEntry(Model& model, std::size_t domain) -> std::size_t {
  std::vector<std::size_t> members;
  for (std::size_t i = 0; i < model.entries.size(); ++i) {
    if (model.entries[i].domain == domain) members.push_back(i);
  }
  return members[model.random() % members.size()];
}

auto SecondOf(Model& model, const Job& job, core::Time time) -> DirectSecond& {
  const auto& name = model.scenario.workspaces[job.workspace].name;
  return model.result.seconds[name][static_cast<std::size_t>(Second(model, time))];
}

auto Arrive(Model& model, const JobPtr& job) -> void {
  Wait(model, job,
       model.now + std::chrono::duration_cast<core::Duration>(job->objective * kQueueShare));
}

auto Refuse(Model& model, const JobPtr& job) -> void {
  ++model.result.refused;
  SecondOf(model, *job, model.now).lacking = true;
  if (std::exchange(job->returned, true)) return;
  // The caller comes back once, to another entry of the same domain.
  Schedule(model, model.now + job->objective, [&model, job] {
    job->connects = 0;
    job->tried.clear();
    job->entry = PickEntry(model, model.entries[job->entry].domain);
    Arrive(model, job);
  });
}

auto GiveUp(Model& model, const JobPtr& job) -> void {
  auto& entry = model.entries[job->entry];
  if (entry.pending.erase(job->ticket) == 0) return;
  direct::Remove(entry.queue, Name(model, *job), job->ticket);
  entry.round.passed.erase(job->ticket);
  Refuse(model, job);
}

auto ToTables(const Model& model, Entry& entry) -> direct::AssignmentTables {
  return {entry.queue, model.scenario.queue, entry.replicas, model.scenario.policy};
}

auto Begin(Model& model, const Job& job) -> void {
  auto& second = SecondOf(model, job, model.now);
  second.begun += job.cost;
  model.result.begun += job.cost;
  const bool on_time = model.now - job.arrived <= job.objective;
  ++(on_time ? model.result.on_time : model.result.late);
  if (!on_time) second.lacking = true;
}

auto NewRound(Model& model, Entry& entry) -> void {
  entry.round = {};
  Continue(model, entry);
}

// Tells the entry that its request has begun or ended.
auto Notify(Model& model, Engine& engine, const JobPtr& job, bool ended) -> void {
  const auto delay = Delay(model, engine.domain, model.entries[job->entry].domain);
  Schedule(model, model.now + delay, [&model, job, ended] {
    auto& entry = model.entries[job->entry];
    auto& replica = *direct::Find(entry.replicas, kService, job->assignment.replica);
    if (ended) {
      direct::End(ToTables(model, entry), job->assignment, model.now);
    } else {
      direct::Begin(ToTables(model, entry), job->assignment);
      direct::Succeeded(replica);
    }
    NewRound(model, entry);
  });
}

// Runs one step of the engine: a chunk of the prompts in order of arrival, and one token of each
// running request.
auto Step(Model& model, Engine& engine) -> void {
  double chunk = kChunk;
  std::size_t read = 0;
  while (read < engine.reading.size() && chunk > 0) {
    auto& job = *engine.reading[read];
    const double part = std::min(chunk, job.unread);
    job.unread -= part;
    chunk -= part;
    if (job.unread > 0) break;
    ++read;
  }
  const auto running = static_cast<double>(engine.running.size());
  const double ms =
      (kStepMs + kStepMsPerRequest * running + (kChunk - chunk) / kReadTokensPerMs) * engine.speed;
  Schedule(model, model.now + ToDuration(ms), [&model, &engine, read, run = engine.run] {
    if (engine.run != run) return;
    for (std::size_t i = 0; i < engine.running.size();) {
      auto& job = engine.running[i];
      if (--job->left > 0) {
        ++i;
        continue;
      }
      Notify(model, engine, job, true);
      job = engine.running.back();
      engine.running.pop_back();
    }
    for (std::size_t i = 0; i < read; ++i) {
      const auto job = engine.reading.front();
      engine.reading.pop_front();
      engine.running.push_back(job);
      Begin(model, *job);
      Notify(model, engine, job, false);
    }
    engine.stepping = !engine.reading.empty() || !engine.running.empty();
    if (engine.stepping) Step(model, engine);
  });
}

auto Receive(Model& model, Engine& engine, const JobPtr& job) -> void {
  if (engine.down) {
    Fail(model, engine, job, direct::Fault::unreachable);
    return;
  }
  const auto kept = direct::KeptTokens(engine.kept, direct::Keyed(job->prompt));
  job->unread = std::max<double>(1, static_cast<double>(job->prompt.tokens_in) - kept);
  model.result.read += job->unread;
  for (const auto& part : direct::UnkeptShared(engine.kept, job->prompt)) {
    if (!model.read_parts.insert(part.key).second) model.result.read_again += part.tokens;
  }
  direct::Keep(engine.kept, job->prompt, kMemory);
  engine.reading.push_back(job);
  if (!std::exchange(engine.stepping, true)) Step(model, engine);
}

auto Send(Model& model, Entry& entry, const JobPtr& job, const direct::Choice& choice) -> void {
  auto& replica = *direct::Find(entry.replicas, kService, choice.id);
  for (const auto& part : direct::UnkeptShared(replica.kept, job->prompt)) {
    entry.kept_news.push_back({choice.id, part});
  }
  job->assignment = direct::Assign(ToTables(model, entry), kService, Name(model, *job), choice,
                                   job->prompt, job->cost, model.now);
  auto& engine = model.engines.at(choice.id);
  Schedule(model, model.now + Delay(model, entry.domain, engine.domain),
           [&model, job, &engine] { Receive(model, engine, job); });
}

auto Continue(Model& model, Entry& entry) -> void {
  const auto need = [&](Ticket ticket) {
    const auto& job = *entry.pending.at(ticket);
    return direct::Need{.service = kService, .prompt = &job.prompt, .tried = &job.tried};
  };
  const direct::RoundInput input{entry.queue,           model.scenario.queue, entry.replicas,
                                 model.scenario.policy, entry.origin,         need};
  while (const auto settled = direct::NextSettled(entry.round, input, model.now)) {
    const auto job = entry.pending.at(settled->ticket);
    entry.pending.erase(settled->ticket);
    direct::Remove(entry.queue, settled->workspace, settled->ticket);
    if (settled->choice.status == direct::ChoiceStatus::chosen) {
      Send(model, entry, job, settled->choice);
    } else {
      Refuse(model, job);
    }
  }
}

// Has the request wait for a replica.
auto Wait(Model& model, const JobPtr& job, core::Time latest) -> void {
  auto& entry = model.entries[job->entry];
  job->latest = latest;
  job->ticket = ++model.last_ticket;
  entry.pending[job->ticket] = job;
  direct::Enqueue(entry.queue, Name(model, *job), {job->ticket, 0, job->cost});
  Continue(model, entry);
  const auto ticket = job->ticket;
  Schedule(model, std::max(latest, model.now), [&model, job, ticket] {
    if (job->ticket == ticket) GiveUp(model, job);
  });
}

// Tells the entry that an attempt failed; it tries another replica or refuses the request.
auto Fail(Model& model, Engine& engine, const JobPtr& job, direct::Fault fault) -> void {
  const auto delay = Delay(model, engine.domain, model.entries[job->entry].domain);
  Schedule(model, model.now + delay, [&model, job, fault] {
    auto& entry = model.entries[job->entry];
    const bool begun = job->assignment.begun;
    auto& replica = *direct::Find(entry.replicas, kService, job->assignment.replica);
    direct::Failed(replica, model.scenario.policy, fault, model.now);
    direct::End(ToTables(model, entry), job->assignment, model.now);
    NewRound(model, entry);
    if (begun) return;
    if (fault == direct::Fault::unreachable) {
      ++model.result.unreachable;
      ++job->connects;
    } else {
      job->tried.insert(job->assignment.replica);
    }
    if (job->connects < kMaxConnects && job->tried.size() < kMaxAttempts) {
      Wait(model, job, job->latest);
    } else {
      Refuse(model, job);
    }
  });
}

// Takes the engine down with its requests. Those that had begun are lost to their callers.
auto Crash(Model& model, Engine& engine) -> void {
  engine.down = true;
  engine.stepping = false;
  ++engine.run;
  engine.kept = {};
  constexpr auto lost = direct::Fault::bad_answer;
  for (const auto& job : std::exchange(engine.reading, {})) Fail(model, engine, job, lost);
  for (const auto& job : std::exchange(engine.running, {})) Fail(model, engine, job, lost);
}

auto ScheduleCrash(Model& model) -> void {
  const auto count = static_cast<std::size_t>(model.scenario.crash_share *
                                              static_cast<double>(model.engines.size()));
  std::vector<Engine*> crashed;
  for (auto& [id, engine] : model.engines) crashed.push_back(&engine);
  std::shuffle(crashed.begin(), crashed.end(), model.random);
  crashed.resize(count);
  for (auto* engine : crashed) {
    Schedule(model, At(model, model.scenario.crash_from),
             [&model, engine] { Crash(model, *engine); });
    Schedule(model, At(model, model.scenario.crash_until), [engine] { engine->down = false; });
  }
}

auto PickDomain(Model& model, const DirectWorkspace& workspace) -> std::size_t {
  const double second = Second(model, model.now);
  const bool shifted = second >= model.scenario.shift_from && second < model.scenario.shift_until;
  if (shifted && Uniform(model) < model.scenario.shift_share) return model.scenario.shift_to;
  return workspace.domains[model.random() % workspace.domains.size()];
}

auto PickClass(Model& model) -> std::size_t {
  double point = Uniform(model);
  for (std::size_t i = 0; i + 1 < model.scenario.classes.size(); ++i) {
    point -= model.scenario.classes[i].rate_share;
    if (point < 0) return i;
  }
  return model.scenario.classes.size() - 1;
}

auto MakeJob(Model& model, std::size_t workspace) -> JobPtr {
  const auto kind = PickClass(model);
  const auto& spec = model.scenario.classes[kind];
  auto job = std::make_shared<Job>();
  job->workspace = workspace;
  job->entry = PickEntry(model, PickDomain(model, model.scenario.workspaces[workspace]));
  job->objective = spec.objective;
  const auto thing = model.random() % spec.things;
  const auto own = Draw(model, spec.own_tokens, spec.spread, spec.max_own_tokens);
  // Sizes of shared parts differ, by half of the mean at most.
  const double size = 0.5 + static_cast<double>(thing % 10) * 0.1;
  const auto shared = static_cast<std::uint32_t>(spec.shared_tokens * size);
  constexpr std::uint64_t thing_base = 1000;
  constexpr std::uint64_t own_base = 1000000000;
  auto& prompt = job->prompt;
  prompt.model = "m";
  prompt.parts = {{kind + 1, static_cast<std::uint32_t>(shared / 10)},
                  {(workspace * thing_base + thing) * thing_base + kind + 1, shared},
                  {own_base + ++model.serial, static_cast<std::uint32_t>(own)}};
  for (const auto& part : prompt.parts) prompt.tokens_in += part.tokens;
  const double output = Draw(model, spec.output_tokens, 0.6, spec.output_tokens * 3);
  job->left = output;
  // The caller's hint is right at the median but often far off.
  prompt.tokens_out = static_cast<std::uint32_t>(output * Draw(model, 1, 0.5, 4));
  job->cost = prompt.tokens_in + 2.0 * prompt.tokens_out;
  job->arrived = model.now;
  SecondOf(model, *job, model.now).asked += job->cost;
  model.result.largest_request = std::max(model.result.largest_request, job->cost);
  return job;
}

auto ScheduleArrival(Model& model, std::size_t index) -> void {
  const auto& workspace = model.scenario.workspaces[index];
  const double rate_max = workspace.rate * std::max(1.0, workspace.hot_factor);
  const double gap = std::exponential_distribution<double>(rate_max)(model.random);
  Schedule(model, model.now + ToDuration(gap * 1000), [&model, index, rate_max] {
    const auto& workspace = model.scenario.workspaces[index];
    const double second = Second(model, model.now);
    const bool hot = second >= workspace.hot_from && second < workspace.hot_to;
    const double rate = workspace.rate * (hot ? workspace.hot_factor : 1);
    if (Uniform(model) * rate_max < rate) Arrive(model, MakeJob(model, index));
    ScheduleArrival(model, index);
  });
}

auto CollectNews(Model& model, Entry& entry) -> News {
  News news;
  for (const auto& [id, replica] : entry.replicas.services.begin()->second) {
    const direct::Use use{replica.in_flight, replica.unread};
    auto& told = entry.told_uses[id];
    if (use == told) continue;
    told = use;
    news.uses.emplace_back(id, use);
  }
  const auto kept = std::min(kMaxKeptNews, entry.kept_news.size());
  news.kept.assign(entry.kept_news.end() - static_cast<std::ptrdiff_t>(kept),
                   entry.kept_news.end());
  entry.kept_news.clear();
  if (model.now - entry.accounts_at < kAccountGap) return news;
  entry.accounts_at = model.now;
  constexpr double least_change = 500;
  for (const auto& [workspace, account] : entry.queue.accounts) {
    const double used = direct::Used(account.own, model.scenario.queue, model.now);
    const bool waiting = !account.waiting.empty();
    auto& told = entry.told_accounts[workspace];
    if (std::abs(used - told.first) < least_change && waiting == told.second) continue;
    told = {used, waiting};
    news.accounts.push_back({workspace, used, waiting});
  }
  return news;
}

auto Hear(Model& model, Entry& entry, const std::string& peer, const News& news) -> void {
  bool freed = false;
  for (const auto& [id, use] : news.uses) {
    freed |= direct::SetPeerUse(entry.replicas, peer, id, use);
  }
  for (const auto& item : news.kept) {
    auto& replica = *direct::Find(entry.replicas, kService, item.replica);
    direct::Keep(replica.kept, item.part, model.scenario.policy.kept_capacity);
  }
  for (const auto& account : news.accounts) {
    direct::SetPeerAccount(entry.queue, model.scenario.queue, account.workspace, peer,
                           {{account.used, model.now}, account.waiting});
  }
  if (!freed || std::exchange(entry.freed, true)) return;
  const auto at = std::max(model.now, entry.assigned_at + kAssignGap);
  Schedule(model, at, [&model, &entry] {
    entry.freed = false;
    entry.assigned_at = model.now;
    NewRound(model, entry);
  });
}

auto Tell(Model& model, Entry& entry) -> void {
  const auto news = std::make_shared<const News>(CollectNews(model, entry));
  for (auto& other : model.entries) {
    if (&other == &entry) continue;
    Schedule(model, model.now + Delay(model, entry.domain, other.domain),
             [&model, &entry, &other, news] { Hear(model, other, entry.id, *news); });
  }
}

auto ScheduleNews(Model& model, std::size_t index) -> void {
  const core::Duration gap = std::max<core::Duration>(
      milliseconds((model.entries.size() - 1) * 1000 / kMessagesPerSecond), kMinMessageGap);
  // Entries do not send in step.
  const auto first = index == 0 || model.now == model.start
                         ? ToDuration(Uniform(model) * static_cast<double>(gap.count()) / 1000)
                         : gap;
  Schedule(model, model.now + first, [&model, index] {
    Tell(model, model.entries[index]);
    ScheduleNews(model, index);
  });
}

auto SetUp(Model& model) -> void {
  SetUpReplicas(model);
  SetUpEntries(model);
  const auto seconds = static_cast<std::size_t>(model.scenario.seconds);
  for (const auto& workspace : model.scenario.workspaces) {
    model.result.seconds[workspace.name].resize(seconds + 1);
  }
}

}  // namespace

auto LeastShare(const DirectResult& result) -> DirectShare {
  constexpr std::size_t window = 6;
  constexpr double allowance = 3;
  DirectShare least;
  const auto count = result.seconds.begin()->second.size() - 1;
  std::vector<double> best(count, 0);
  for (const auto& [name, seconds] : result.seconds) {
    for (std::size_t i = 0; i < count; ++i) best[i] = std::max(best[i], seconds[i].begun);
  }
  for (const auto& [name, seconds] : result.seconds) {
    for (std::size_t first = 0; first + window <= count; ++first) {
      bool lacking = true;
      double got = 0;
      double due = 0;
      for (std::size_t i = first; i < first + window; ++i) {
        lacking = lacking && seconds[i].lacking;
        got += seconds[i].begun;
        due += std::min(seconds[i].asked, best[i]);
      }
      due -= allowance * result.largest_request;
      if (!lacking || due <= 0) continue;
      const double share = got / due;
      if (share < least.share) least = {share, name, first, got, due};
    }
  }
  return least;
}

auto Run(const DirectScenario& scenario, std::uint64_t seed) -> DirectResult {
  Model model(scenario, seed);
  SetUp(model);
  for (std::size_t i = 0; i < model.scenario.workspaces.size(); ++i) ScheduleArrival(model, i);
  for (std::size_t i = 0; i < model.entries.size(); ++i) ScheduleNews(model, i);
  ScheduleCrash(model);
  const auto end = At(model, scenario.seconds);
  while (!model.events.empty() && model.events.top().at < end) {
    const auto run = model.events.top().run;
    model.now = model.events.top().at;
    model.events.pop();
    run();
  }
  return std::move(model.result);
}

}  // namespace filbertstair::bench
