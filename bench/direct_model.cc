#include "direct_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <queue>
#include <random>
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

class Model {
 public:
  Model(const DirectScenario& scenario, std::uint64_t seed) : scenario(scenario), random(seed) {
    this->SetUpReplicas();
    this->SetUpEntries();
    const auto seconds = static_cast<std::size_t>(scenario.seconds);
    for (const auto& workspace : scenario.workspaces) {
      this->result.seconds[workspace.name].resize(seconds + 1);
    }
  }

  auto Run() -> DirectResult {
    for (std::size_t i = 0; i < this->scenario.workspaces.size(); ++i) this->ScheduleArrival(i);
    for (std::size_t i = 0; i < this->entries.size(); ++i) this->ScheduleNews(i);
    this->ScheduleCrash();
    const auto end = this->At(this->scenario.seconds);
    while (!this->events.empty() && this->events.top().at < end) {
      const auto run = this->events.top().run;
      this->now = this->events.top().at;
      this->events.pop();
      run();
    }
    return std::move(this->result);
  }

 private:
  auto At(double second) const -> core::Time { return this->start + ToDuration(second * 1000); }

  auto Second(core::Time time) const -> double {
    return std::chrono::duration<double>(time - this->start).count();
  }

  auto Schedule(core::Time at, std::function<void()> run) -> void {
    this->events.push({at, ++this->serial, std::move(run)});
  }

  auto Uniform() -> double { return std::uniform_real_distribution<double>(0, 1)(this->random); }

  // Lognormal with the given mean; `spread` is the standard deviation over the mean.
  auto Draw(double mean, double spread, double max) -> double {
    const double variance = std::log(1 + spread * spread);
    std::lognormal_distribution<double> sizes(std::log(mean) - variance / 2, std::sqrt(variance));
    return std::clamp(sizes(this->random), 1.0, max);
  }

  auto Region(std::size_t domain) const -> std::size_t { return domain % this->scenario.regions; }

  auto Delay(std::size_t from, std::size_t to) const -> core::Duration {
    if (from == to) return kDomainDelay;
    return this->Region(from) == this->Region(to) ? kRegionDelay : kFarDelay;
  }

  static auto DomainName(std::size_t domain) -> std::string { return "d" + std::to_string(domain); }

  auto SetUpReplicas() -> void {
    for (std::size_t i = 0; i < this->scenario.replicas; ++i) {
      auto& engine = this->engines["replica-" + std::to_string(i)];
      engine.id = "replica-" + std::to_string(i);
      engine.domain = i % this->scenario.domains;
      engine.speed = i % 3 == 2 ? 1.3 : 1;
    }
  }

  auto SetUpEntries() -> void {
    direct::Origin origin;
    for (std::size_t i = 0; i < this->scenario.domains; ++i) {
      origin.regions[DomainName(i)] = "r" + std::to_string(this->Region(i));
    }
    this->entries.resize(this->scenario.entries);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      auto& entry = this->entries[i];
      entry.id = "entry-" + std::to_string(i);
      entry.domain = i % this->scenario.domains;
      entry.origin = origin;
      entry.origin.failure_domain = DomainName(entry.domain);
      for (const auto& [id, engine] : this->engines) {
        direct::Upsert(entry.replicas, {.id = id,
                                        .service = kService,
                                        .address = id,
                                        .failure_domain = DomainName(engine.domain),
                                        .slots = kSlots});
      }
    }
  }

  auto ScheduleCrash() -> void {
    const auto count = static_cast<std::size_t>(this->scenario.crash_share *
                                                static_cast<double>(this->engines.size()));
    std::vector<Engine*> crashed;
    for (auto& [id, engine] : this->engines) crashed.push_back(&engine);
    std::shuffle(crashed.begin(), crashed.end(), this->random);
    crashed.resize(count);
    for (auto* engine : crashed) {
      this->Schedule(this->At(this->scenario.crash_from), [this, engine] { this->Crash(*engine); });
      this->Schedule(this->At(this->scenario.crash_until), [engine] { engine->down = false; });
    }
  }

  auto Crash(Engine& engine) -> void {
    engine.down = true;
    engine.stepping = false;
    ++engine.run;
    engine.kept = {};
    for (const auto& job : std::exchange(engine.reading, {})) this->Lose(engine, job);
    for (const auto& job : std::exchange(engine.running, {})) this->Lose(engine, job);
  }

  // Picks an entry of the domain; callers are bound to entries unevenly.
  auto PickEntry(std::size_t domain) -> std::size_t {
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (this->entries[i].domain == domain) members.push_back(i);
    }
    return members[this->random() % members.size()];
  }

  auto PickDomain(const DirectWorkspace& workspace) -> std::size_t {
    const double second = this->Second(this->now);
    const bool shifted = second >= this->scenario.shift_from && second < this->scenario.shift_until;
    if (shifted && this->Uniform() < this->scenario.shift_share) return this->scenario.shift_to;
    return workspace.domains[this->random() % workspace.domains.size()];
  }

  auto ScheduleArrival(std::size_t index) -> void {
    const auto& workspace = this->scenario.workspaces[index];
    const double rate_max = workspace.rate * std::max(1.0, workspace.hot_factor);
    const double gap = std::exponential_distribution<double>(rate_max)(this->random);
    this->Schedule(this->now + ToDuration(gap * 1000), [this, index, rate_max] {
      const auto& workspace = this->scenario.workspaces[index];
      const double second = this->Second(this->now);
      const bool hot = second >= workspace.hot_from && second < workspace.hot_to;
      const double rate = workspace.rate * (hot ? workspace.hot_factor : 1);
      if (this->Uniform() * rate_max < rate) this->Arrive(this->MakeJob(index));
      this->ScheduleArrival(index);
    });
  }

  auto PickClass() -> std::size_t {
    double point = this->Uniform();
    for (std::size_t i = 0; i + 1 < this->scenario.classes.size(); ++i) {
      point -= this->scenario.classes[i].rate_share;
      if (point < 0) return i;
    }
    return this->scenario.classes.size() - 1;
  }

  auto MakeJob(std::size_t workspace) -> JobPtr {
    const auto kind = this->PickClass();
    const auto& spec = this->scenario.classes[kind];
    auto job = std::make_shared<Job>();
    job->workspace = workspace;
    job->entry = this->PickEntry(this->PickDomain(this->scenario.workspaces[workspace]));
    job->objective = spec.objective;
    const auto thing = this->random() % spec.things;
    const auto own = this->Draw(spec.own_tokens, spec.spread, spec.max_own_tokens);
    // Sizes of shared parts differ, by half of the mean at most.
    const double size = 0.5 + static_cast<double>(thing % 10) * 0.1;
    const auto shared = static_cast<std::uint32_t>(spec.shared_tokens * size);
    constexpr std::uint64_t thing_base = 1000;
    constexpr std::uint64_t own_base = 1000000000;
    auto& prompt = job->prompt;
    prompt.model = "m";
    prompt.parts = {{kind + 1, static_cast<std::uint32_t>(shared / 10)},
                    {(workspace * thing_base + thing) * thing_base + kind + 1, shared},
                    {own_base + ++this->serial, static_cast<std::uint32_t>(own)}};
    for (const auto& part : prompt.parts) prompt.tokens_in += part.tokens;
    const double output = this->Draw(spec.output_tokens, 0.6, spec.output_tokens * 3);
    job->left = output;
    // The caller's hint is right at the median but often far off.
    prompt.tokens_out = static_cast<std::uint32_t>(output * this->Draw(1, 0.5, 4));
    job->cost = prompt.tokens_in + 2.0 * prompt.tokens_out;
    job->arrived = this->now;
    this->SecondOf(*job, this->now).asked += job->cost;
    this->result.largest_request = std::max(this->result.largest_request, job->cost);
    return job;
  }

  auto SecondOf(const Job& job, core::Time time) -> DirectSecond& {
    const auto& name = this->scenario.workspaces[job.workspace].name;
    return this->result.seconds[name][static_cast<std::size_t>(this->Second(time))];
  }

  auto Name(const Job& job) const -> const std::string& {
    return this->scenario.workspaces[job.workspace].name;
  }

  auto Arrive(const JobPtr& job) -> void {
    this->Wait(
        job, this->now + std::chrono::duration_cast<core::Duration>(job->objective * kQueueShare));
  }

  // Has the request wait for a replica.
  auto Wait(const JobPtr& job, core::Time latest) -> void {
    auto& entry = this->entries[job->entry];
    job->latest = latest;
    job->ticket = ++this->last_ticket;
    entry.pending[job->ticket] = job;
    direct::Enqueue(entry.queue, this->Name(*job), {job->ticket, 0, job->cost});
    this->Continue(entry);
    const auto ticket = job->ticket;
    this->Schedule(std::max(latest, this->now), [this, job, ticket] {
      if (job->ticket == ticket) this->GiveUp(job);
    });
  }

  auto GiveUp(const JobPtr& job) -> void {
    auto& entry = this->entries[job->entry];
    if (entry.pending.erase(job->ticket) == 0) return;
    direct::Remove(entry.queue, this->Name(*job), job->ticket);
    entry.round.passed.erase(job->ticket);
    this->Refuse(job);
  }

  auto Refuse(const JobPtr& job) -> void {
    ++this->result.refused;
    this->SecondOf(*job, this->now).lacking = true;
    if (std::exchange(job->returned, true)) return;
    // The caller comes back once, to another entry of the same domain.
    this->Schedule(this->now + job->objective, [this, job] {
      job->connects = 0;
      job->tried.clear();
      job->entry = this->PickEntry(this->entries[job->entry].domain);
      this->Arrive(job);
    });
  }

  auto Continue(Entry& entry) -> void {
    const auto need = [&](Ticket ticket) {
      const auto& job = *entry.pending.at(ticket);
      return direct::Need{.service = kService, .prompt = &job.prompt, .tried = &job.tried};
    };
    const direct::RoundInput input{entry.queue,           this->scenario.queue, entry.replicas,
                                   this->scenario.policy, entry.origin,         need};
    while (const auto settled = direct::NextSettled(entry.round, input, this->now)) {
      const auto job = entry.pending.at(settled->ticket);
      entry.pending.erase(settled->ticket);
      direct::Remove(entry.queue, settled->workspace, settled->ticket);
      if (settled->choice.status == direct::ChoiceStatus::chosen) {
        this->Send(entry, job, settled->choice);
      } else {
        this->Refuse(job);
      }
    }
  }

  auto NewRound(Entry& entry) -> void {
    entry.round = {};
    this->Continue(entry);
  }

  auto ToBooks(Entry& entry) const -> direct::Books {
    return {entry.queue, this->scenario.queue, entry.replicas, this->scenario.policy};
  }

  auto Send(Entry& entry, const JobPtr& job, const direct::Choice& choice) -> void {
    auto& replica = *direct::Find(entry.replicas, kService, choice.id);
    for (const auto& part : direct::UnkeptShared(replica.kept, job->prompt)) {
      entry.kept_news.push_back({choice.id, part});
    }
    job->assignment = direct::Assign(this->ToBooks(entry), kService, this->Name(*job), choice,
                                     job->prompt, job->cost, this->now);
    auto& engine = this->engines.at(choice.id);
    this->Schedule(this->now + this->Delay(entry.domain, engine.domain),
                   [this, job, &engine] { this->Receive(engine, job); });
  }

  auto Receive(Engine& engine, const JobPtr& job) -> void {
    if (engine.down) {
      this->Fail(engine, job, direct::Fault::unreachable);
      return;
    }
    const auto kept = direct::KeptTokens(engine.kept, direct::Keyed(job->prompt));
    job->unread = std::max<double>(1, static_cast<double>(job->prompt.tokens_in) - kept);
    this->result.read += job->unread;
    for (const auto& part : direct::UnkeptShared(engine.kept, job->prompt)) {
      if (!this->read_parts.insert(part.key).second) this->result.read_again += part.tokens;
    }
    direct::Keep(engine.kept, job->prompt, kMemory);
    engine.reading.push_back(job);
    if (!std::exchange(engine.stepping, true)) this->Step(engine);
  }

  // The engine went down with the request. One that had begun is lost to its caller.
  auto Lose(Engine& engine, const JobPtr& job) -> void {
    this->Fail(engine, job, direct::Fault::bad_answer);
  }

  // Tells the entry that an attempt failed; it tries another replica or refuses the request.
  auto Fail(Engine& engine, const JobPtr& job, direct::Fault fault) -> void {
    const auto delay = this->Delay(engine.domain, this->entries[job->entry].domain);
    this->Schedule(this->now + delay, [this, job, fault] {
      auto& entry = this->entries[job->entry];
      const bool begun = job->assignment.begun;
      auto& replica = *direct::Find(entry.replicas, kService, job->assignment.replica);
      direct::Failed(replica, this->scenario.policy, fault, this->now);
      direct::End(this->ToBooks(entry), job->assignment, this->now);
      this->NewRound(entry);
      if (begun) return;
      if (fault == direct::Fault::unreachable) {
        ++this->result.unreachable;
        ++job->connects;
      } else {
        job->tried.insert(job->assignment.replica);
      }
      if (job->connects < kMaxConnects && job->tried.size() < kMaxAttempts) {
        this->Wait(job, job->latest);
      } else {
        this->Refuse(job);
      }
    });
  }

  // Runs one step of the engine: a chunk of the prompts in order of arrival, and one token of each
  // running request.
  auto Step(Engine& engine) -> void {
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
        (kStepMs + kStepMsPerRequest * running + (kChunk - chunk) / kReadTokensPerMs) *
        engine.speed;
    this->Schedule(this->now + ToDuration(ms), [this, &engine, read, run = engine.run] {
      if (engine.run != run) return;
      for (std::size_t i = 0; i < engine.running.size();) {
        auto& job = engine.running[i];
        if (--job->left > 0) {
          ++i;
          continue;
        }
        this->Notify(engine, job, true);
        job = engine.running.back();
        engine.running.pop_back();
      }
      for (std::size_t i = 0; i < read; ++i) {
        const auto job = engine.reading.front();
        engine.reading.pop_front();
        engine.running.push_back(job);
        this->Begin(*job);
        this->Notify(engine, job, false);
      }
      engine.stepping = !engine.reading.empty() || !engine.running.empty();
      if (engine.stepping) this->Step(engine);
    });
  }

  auto Begin(const Job& job) -> void {
    auto& second = this->SecondOf(job, this->now);
    second.begun += job.cost;
    this->result.begun += job.cost;
    const bool on_time = this->now - job.arrived <= job.objective;
    ++(on_time ? this->result.on_time : this->result.late);
    if (!on_time) second.lacking = true;
  }

  // Tells the entry that its request has begun or ended.
  auto Notify(Engine& engine, const JobPtr& job, bool ended) -> void {
    const auto delay = this->Delay(engine.domain, this->entries[job->entry].domain);
    this->Schedule(this->now + delay, [this, job, ended] {
      auto& entry = this->entries[job->entry];
      auto& replica = *direct::Find(entry.replicas, kService, job->assignment.replica);
      if (ended) {
        direct::End(this->ToBooks(entry), job->assignment, this->now);
      } else {
        direct::Begin(this->ToBooks(entry), job->assignment);
        direct::Succeeded(replica);
      }
      this->NewRound(entry);
    });
  }

  auto ScheduleNews(std::size_t index) -> void {
    const core::Duration gap = std::max<core::Duration>(
        milliseconds((this->entries.size() - 1) * 1000 / kMessagesPerSecond), kMinMessageGap);
    // Entries do not send in step.
    const auto first = index == 0 || this->now == this->start
                           ? ToDuration(this->Uniform() * static_cast<double>(gap.count()) / 1000)
                           : gap;
    this->Schedule(this->now + first, [this, index] {
      this->Tell(this->entries[index]);
      this->ScheduleNews(index);
    });
  }

  auto CollectNews(Entry& entry) -> News {
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
    if (this->now - entry.accounts_at < kAccountGap) return news;
    entry.accounts_at = this->now;
    constexpr double least_change = 500;
    for (const auto& [workspace, account] : entry.queue.accounts) {
      const double used = direct::Used(account.own, this->scenario.queue, this->now);
      const bool waiting = !account.waiting.empty();
      auto& told = entry.told_accounts[workspace];
      if (std::abs(used - told.first) < least_change && waiting == told.second) continue;
      told = {used, waiting};
      news.accounts.push_back({workspace, used, waiting});
    }
    return news;
  }

  auto Tell(Entry& entry) -> void {
    const auto news = std::make_shared<const News>(this->CollectNews(entry));
    for (auto& other : this->entries) {
      if (&other == &entry) continue;
      this->Schedule(this->now + this->Delay(entry.domain, other.domain),
                     [this, &entry, &other, news] { this->Hear(other, entry.id, *news); });
    }
  }

  auto Hear(Entry& entry, const std::string& peer, const News& news) -> void {
    bool freed = false;
    for (const auto& [id, use] : news.uses) {
      freed |= direct::SetPeerUse(entry.replicas, peer, id, use);
    }
    for (const auto& item : news.kept) {
      auto& replica = *direct::Find(entry.replicas, kService, item.replica);
      direct::Keep(replica.kept, item.part, this->scenario.policy.kept_capacity);
    }
    for (const auto& account : news.accounts) {
      direct::SetPeerAccount(entry.queue, this->scenario.queue, account.workspace, peer,
                             {{account.used, this->now}, account.waiting});
    }
    if (!freed || std::exchange(entry.freed, true)) return;
    const auto at = std::max(this->now, entry.assigned_at + kAssignGap);
    this->Schedule(at, [this, &entry] {
      entry.freed = false;
      entry.assigned_at = this->now;
      this->NewRound(entry);
    });
  }

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

auto DrawClasses() -> std::vector<DirectClass> {
  return {{0.25, 5400, 6600, 1.4, 54000, 380, 312, milliseconds(1000)},
          {0.39, 200, 630, 1.0, 3300, 290, 738, milliseconds(500)},
          {0.36, 570, 1800, 1.3, 6900, 23, 1011, milliseconds(500)}};
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

auto DrawScenario(std::uint64_t seed) -> DirectScenario {
  std::mt19937_64 random(seed);
  const auto uniform = [&](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  DirectScenario scenario;
  scenario.name = "drawn-" + std::to_string(seed);
  scenario.entries = 27 + random() % 5;
  scenario.replicas = 50 + random() % 7;
  scenario.classes = DrawClasses();
  constexpr std::size_t workspaces = 30;
  constexpr double total_rate = 950;
  double weights = 0;
  for (std::size_t i = 0; i < workspaces; ++i) {
    DirectWorkspace workspace;
    workspace.name = "w" + std::to_string(i);
    workspace.rate = 1 / std::pow(static_cast<double>(i + 1), uniform(0.6, 1));
    weights += workspace.rate;
    // Callers of a workspace are in one domain, in a few, or in all.
    const auto spread = random() % 3;
    const std::size_t domains = spread == 0 ? 1 : spread == 1 ? 1 + random() % 3 : 6;
    std::vector<std::size_t> all = {0, 1, 2, 3, 4, 5};
    std::shuffle(all.begin(), all.end(), random);
    workspace.domains.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(domains));
    scenario.workspaces.push_back(std::move(workspace));
  }
  for (auto& workspace : scenario.workspaces) workspace.rate *= total_rate / weights;
  const std::size_t hot = 3 + random() % 9;
  const double factor = uniform(4, 11);
  for (std::size_t i = 0; i < hot; ++i) {
    auto& workspace = scenario.workspaces[random() % workspaces];
    workspace.hot_factor = factor;
    workspace.hot_from = uniform(1, 3);
    workspace.hot_to = workspace.hot_from + uniform(7, 10);
  }
  // A workspace with callers in all domains that asks for most while replicas are down.
  if (random() % 2 == 0) {
    scenario.crash_share = uniform(0.1, 0.3);
    scenario.crash_from = uniform(4, 7);
    scenario.crash_until = scenario.crash_from + uniform(1.5, 5);
    auto& workspace = scenario.workspaces[random() % workspaces];
    workspace.domains = {0, 1, 2, 3, 4, 5};
    workspace.hot_factor = factor;
    workspace.hot_from = scenario.crash_from;
    workspace.hot_to = scenario.seconds;
  }
  scenario.shift_share = random() % 2 == 0 ? uniform(0.3, 0.6) : 0;
  scenario.shift_to = random() % scenario.domains;
  scenario.shift_from = uniform(2, 5);
  scenario.shift_until = scenario.shift_from + uniform(4, 7);
  return scenario;
}

auto CrashScenario() -> DirectScenario {
  DirectScenario scenario;
  scenario.name = "crash";
  scenario.seconds = 13;
  scenario.classes = DrawClasses();
  scenario.crash_share = 0.25;
  scenario.crash_from = 5;
  scenario.crash_until = 9;
  const std::vector<std::size_t> all = {0, 1, 2, 3, 4, 5};
  for (int i = 0; i < 20; ++i) {
    scenario.workspaces.push_back(
        {.name = "small-" + std::to_string(i), .rate = 8, .domains = all});
  }
  scenario.workspaces.push_back({.name = "south", .rate = 700, .domains = {2}});
  scenario.workspaces.push_back({.name = "north", .rate = 220, .domains = {3}});
  scenario.workspaces.push_back({.name = "everywhere",
                                 .rate = 40,
                                 .hot_factor = 14,
                                 .hot_from = 5,
                                 .hot_to = 13,
                                 .domains = all});
  return scenario;
}

auto Run(const DirectScenario& scenario, std::uint64_t seed) -> DirectResult {
  return Model(scenario, seed).Run();
}

}  // namespace filbertstair::bench
