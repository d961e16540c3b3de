#include "harness.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

#include "filbertstair/shares/exchange.h"

namespace filbertstair::bench {
namespace {

using shares::Candidate;
using shares::Link;
using shares::ShareTable;

// TCP/IP headers, HTTP/2 frame header, and length prefix of a control message.
constexpr std::size_t kMessageBytes = 54;
// Encoded grant or grant return; encoded demand of one workspace.
constexpr std::size_t kGrantBytes = 30;
constexpr std::size_t kDemandBytes = 10;
// A queue that is longer than this need not be announced more precisely.
constexpr std::uint32_t kMostAnnounced = 32;
// Time for which changes of demand are collected into one message.
constexpr double kDemandDelay = 0.02;

struct Request {
  std::size_t load = 0;
  std::size_t entry = 0;
  double arrival = 0;
  double cost = 0;
  bool closed = false;
  std::uint64_t grant = 0;
};

struct Entry {
  int region = 0;
  ShareTable table;
  // Per load.
  std::vector<std::deque<Request>> queues;
  std::vector<std::uint32_t> announced;
  std::vector<bool> changed;
  std::vector<std::size_t> changes;
  // Per endpoint: requests in flight there as last reported, for least_load.
  std::vector<std::uint32_t> in_flight;
  std::map<std::size_t, Link> endpoint_links;
  std::map<std::size_t, Link> entry_links;
  std::size_t next = 0;
};

struct Endpoint {
  EndpointSpec spec;
  ShareTable table;
  std::uint32_t running = 0;
  std::deque<Request> staged;
  std::uint32_t granted = 0;
  // Per load and entry: announced demand, and grants that were not answered yet.
  std::vector<std::vector<std::uint32_t>> demand;
  std::vector<std::vector<std::uint32_t>> open;
  std::vector<std::size_t> demanded;
  std::map<std::size_t, Link> links;
  // Completions per second, as a moving average of the intervals between them.
  double interval = 1;
  double last_end = 0;
};

// What the run has measured.
struct Totals {
  // Per load.
  std::vector<double> finished;
  // Sum of the start times of running requests, and their number.
  std::vector<double> starts;
  std::vector<std::uint32_t> running;
  // Per pool.
  std::vector<std::uint32_t> pool_running;
  std::vector<std::uint32_t> pool_waiting;
  std::vector<double> bytes;
  double region_bytes = 0;
  double busy = 0;
  double usable = 0;
  double last = 0;
  std::vector<double> waits;
  std::vector<double> small_waits;
  std::vector<double> gaps;
};

struct World {
  World(const Scenario& scenario, Policy policy, std::uint64_t seed)
      : scenario(scenario), policy(policy), random(seed) {}

  const Scenario& scenario;
  Policy policy;
  std::mt19937_64 random;
  double now = 0;
  std::uint64_t serial = 0;
  struct Event {
    double time;
    std::uint64_t serial;
    std::function<void()> run;
    auto operator>(const Event& o) const -> bool {
      return std::pair(this->time, this->serial) > std::pair(o.time, o.serial);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Entry> entries;
  std::vector<Endpoint> endpoints;
  std::vector<std::uint32_t> pool_slots;
  Totals totals;
  Result result;
  std::uint64_t grants = 0;
};

auto Dispatch(World& w, std::size_t entry) -> void;
auto Enqueue(World& w, const Request& request) -> void;

auto At(World& w, double delay, std::function<void()> run) -> void {
  w.events.push({w.now + delay, w.serial++, std::move(run)});
}

auto ClockOf(double seconds) -> core::Time {
  return core::Time(core::Duration(std::llround(seconds * 1e6)));
}

auto CostOf(double seconds) -> core::Cost { return std::llround(seconds * 1e6); }

auto Uniform(World& w) -> double { return std::uniform_real_distribution<>()(w.random); }

auto Delay(const World& w, std::size_t entry, std::size_t endpoint) -> double {
  return w.entries[entry].region == w.endpoints[endpoint].spec.region ? w.scenario.local_delay
                                                                      : w.scenario.region_delay;
}

// Counts a control message between two nodes; endpoints are numbered after the entries.
auto CountBytes(World& w, std::size_t from, std::size_t to, std::size_t bytes) -> void {
  const auto region = [&](std::size_t node) {
    return node < w.entries.size() ? w.entries[node].region
                                   : w.endpoints[node - w.entries.size()].spec.region;
  };
  const auto size = static_cast<double>(bytes + kMessageBytes);
  w.totals.bytes[from] += size;
  w.totals.bytes[to] += size;
  if (region(from) != region(to)) w.totals.region_bytes += size;
}

// Integrates busy and usable slots up to now. Called before a count changes.
auto Integrate(World& w) -> void {
  Totals& t = w.totals;
  const double dt = w.now - t.last;
  t.last = w.now;
  for (std::size_t pool = 0; dt > 0 && pool < w.pool_slots.size(); ++pool) {
    const double usable = std::min(w.pool_slots[pool], t.pool_running[pool] + t.pool_waiting[pool]);
    t.busy += dt * t.pool_running[pool];
    t.usable += dt * usable;
  }
}

auto SampleCost(World& w, const Load& load) -> double {
  switch (load.spread) {
    case Spread::uniform:
      return load.mean * (0.5 + Uniform(w));
    case Spread::exponential:
      return load.mean * std::max(-std::log1p(-Uniform(w)), 1e-3);
    case Spread::constant:
      break;
  }
  return load.mean;
}

auto Complete(World& w, std::size_t endpoint, const Request& request) -> void;

auto Begin(World& w, std::size_t endpoint, const Request& request) -> void {
  Integrate(w);
  Endpoint& e = w.endpoints[endpoint];
  Totals& t = w.totals;
  ++e.running;
  ++t.pool_running[e.spec.pool];
  --t.pool_waiting[e.spec.pool];
  ++t.running[request.load];
  t.starts[request.load] += w.now;
  w.result.largest = std::max(w.result.largest, request.cost);
  (w.scenario.loads[request.load].backlogged ? t.waits : t.small_waits)
      .push_back(w.now - request.arrival);
  if (w.policy == Policy::fleet) shares::Start(e.table, request.grant, ClockOf(w.now));
  At(w, request.cost, [&w, endpoint, request] { Complete(w, endpoint, request); });
}

// --- grants by fleet-wide shares ---

auto Grant(World& w, std::size_t endpoint) -> void;

auto Announce(World& w, std::size_t entry, const std::vector<std::size_t>& loads) -> void {
  Entry& e = w.entries[entry];
  std::vector<std::pair<std::size_t, std::uint32_t>> changes;
  changes.reserve(loads.size());
  for (const std::size_t l : loads) {
    e.announced[l] = std::min(static_cast<std::uint32_t>(e.queues[l].size()), kMostAnnounced);
    changes.emplace_back(l, e.announced[l]);
  }
  for (std::size_t p = 0; p < w.endpoints.size(); ++p) {
    std::vector<std::pair<std::size_t, std::uint32_t>> mine;
    for (const auto& change : changes) {
      if (w.scenario.loads[change.first].pool == w.endpoints[p].spec.pool) mine.push_back(change);
    }
    if (mine.empty()) continue;
    CountBytes(w, entry, w.entries.size() + p, mine.size() * kDemandBytes);
    At(w, Delay(w, entry, p), [&w, entry, p, mine] {
      Endpoint& to = w.endpoints[p];
      for (const auto& [l, count] : mine) {
        if (std::ranges::find(to.demanded, l) == to.demanded.end()) to.demanded.push_back(l);
        to.demand[l][entry] = count;
      }
      Grant(w, p);
    });
  }
}

// Announces a new queue at once, and other changes together once they exceed a factor of two.
auto NoteDemand(World& w, std::size_t entry, std::size_t load) -> void {
  Entry& e = w.entries[entry];
  const auto count = static_cast<std::uint32_t>(e.queues[load].size());
  const std::uint32_t announced = e.announced[load];
  if (count > 0 && announced == 0) {
    Announce(w, entry, {load});
  } else if (!e.changed[load] &&
             (count * 2 <= announced || (count >= announced * 2 && announced < kMostAnnounced))) {
    e.changed[load] = true;
    e.changes.push_back(load);
    if (e.changes.size() > 1) return;
    At(w, kDemandDelay, [&w, entry] {
      Entry& from = w.entries[entry];
      std::vector<std::size_t> loads;
      loads.swap(from.changes);
      for (const std::size_t l : loads) from.changed[l] = false;
      Announce(w, entry, loads);
    });
  }
}

auto Submit(World& w, std::size_t endpoint, const Request& request) -> void {
  Endpoint& e = w.endpoints[endpoint];
  --e.granted;
  --e.open[request.load][request.entry];
  if (e.running < e.spec.slots) {
    Begin(w, endpoint, request);
  } else {
    e.staged.push_back(request);
  }
}

// Uses a grant for the oldest request of its workspace, or returns it.
auto Redeem(World& w, std::size_t entry, std::size_t endpoint, std::size_t load,
            std::uint64_t grant) -> void {
  Entry& e = w.entries[entry];
  auto& queue = e.queues[load];
  const double delay = Delay(w, entry, endpoint);
  if (queue.empty()) {
    CountBytes(w, entry, w.entries.size() + endpoint, kGrantBytes);
    At(w, delay, [&w, entry, endpoint, load, grant] {
      Endpoint& to = w.endpoints[endpoint];
      shares::Refund(to.table, grant);
      --to.granted;
      --to.open[load][entry];
      to.demand[load][entry] = 0;
      Grant(w, endpoint);
    });
    e.announced[load] = 0;
    return;
  }
  Request request = queue.front();
  queue.pop_front();
  request.grant = grant;
  NoteDemand(w, entry, load);
  At(w, delay, [&w, endpoint, request] { Submit(w, endpoint, request); });
}

// Grants to issue in advance: the completions in a round trip, plus two standard deviations.
auto InAdvance(const Endpoint& e, double delay) -> std::uint32_t {
  const double ends = 2 * delay / std::max(e.interval, 1e-3);
  return static_cast<std::uint32_t>(ends + 2 * std::sqrt(ends));
}

// Issues grants while slots are free, and in advance.
auto Grant(World& w, std::size_t endpoint) -> void {
  Endpoint& e = w.endpoints[endpoint];
  const core::Time now = ClockOf(w.now);
  while (true) {
    const std::uint32_t taken = e.running + e.granted + static_cast<std::uint32_t>(e.staged.size());
    if (taken >= e.spec.slots + InAdvance(e, w.scenario.region_delay)) return;
    std::vector<Candidate> candidates;
    std::vector<std::pair<std::size_t, std::size_t>> places;
    bool local = false;
    std::erase_if(e.demanded, [&](std::size_t l) {
      std::uint32_t most[2] = {0, 0};
      std::size_t best[2] = {0, 0};
      for (std::size_t i = 0; i < w.entries.size(); ++i) {
        const int remote = w.entries[i].region == e.spec.region ? 0 : 1;
        const std::uint32_t open = e.open[l][i];
        const std::uint32_t count = e.demand[l][i] > open ? e.demand[l][i] - open : 0;
        if (count > most[remote]) {
          most[remote] = count;
          best[remote] = i;
        }
      }
      for (int remote = 0; remote < 2; ++remote) {
        if (most[remote] == 0) continue;
        local = local || remote == 0;
        candidates.push_back({static_cast<shares::Workspace>(l), w.scenario.loads[l].weight,
                              remote == 1, most[remote]});
        places.emplace_back(l, best[remote]);
      }
      if (most[0] + most[1] > 0) return false;
      shares::Deactivate(e.table, static_cast<shares::Workspace>(l), now);
      return true;
    });
    const double delay = local ? w.scenario.local_delay : w.scenario.region_delay;
    if (taken >= e.spec.slots + InAdvance(e, delay)) return;
    const auto picked = shares::Pick(e.table, candidates, now);
    if (!picked) return;
    const auto [load, entry] = places[*picked];
    const std::uint64_t id = ++w.grants;
    const Load& l = w.scenario.loads[load];
    const core::Cost hint = CostOf(l.mean * l.hint_error);
    const auto workspace = static_cast<shares::Workspace>(load);
    shares::Charge(e.table, id, workspace, 0, shares::Estimate(e.table, workspace, 0, hint));
    ++e.granted;
    ++e.open[load][entry];
    CountBytes(w, w.entries.size() + endpoint, entry, kGrantBytes);
    At(w, Delay(w, entry, endpoint),
       [&w, entry, endpoint, load, id] { Redeem(w, entry, endpoint, load, id); });
  }
}

// --- exchange of counters ---

auto Send(World& w, std::size_t from, std::size_t to, double delay, const ShareTable& table,
          Link& link, std::function<void(const shares::Update&)> merge) -> void {
  const auto updates = shares::SelectUpdates(table, link, w.scenario.budget);
  if (updates.empty()) return;
  CountBytes(w, from, to, updates.size() * shares::kUpdateBytes);
  At(w, delay, [updates, merge = std::move(merge)] {
    for (const shares::Update& update : updates) merge(update);
  });
}

auto ExchangeFromEndpoint(World& w, std::size_t p) -> void {
  Endpoint& e = w.endpoints[p];
  shares::Advance(e.table, ClockOf(w.now));
  for (auto& [i, link] : e.links) {
    Send(w, w.entries.size() + p, i, Delay(w, i, p), e.table, link,
         [&w, i = i, p](const shares::Update& u) {
           shares::Merge(w.entries[i].table, u.workspace, static_cast<shares::Source>(p), 1,
                         u.counter, u.running);
         });
  }
  At(w, w.scenario.period, [&w, p] { ExchangeFromEndpoint(w, p); });
}

auto ExchangeFromEntry(World& w, std::size_t i) -> void {
  Entry& e = w.entries[i];
  for (auto& [p, link] : e.endpoint_links) {
    Send(w, i, w.entries.size() + p, Delay(w, i, p), e.table, link,
         [&w, p = p](const shares::Update& u) {
           shares::MergeOthers(w.endpoints[p].table, u.workspace, u.counter, u.running);
         });
  }
  for (auto& [j, link] : e.entry_links) {
    const double delay =
        e.region == w.entries[j].region ? w.scenario.local_delay : w.scenario.region_delay;
    Send(w, i, j, delay, e.table, link, [&w, j = j](const shares::Update& u) {
      shares::Merge(w.entries[j].table, u.workspace, u.source, u.incarnation, u.counter, u.running);
    });
  }
  At(w, w.scenario.period, [&w, i] { ExchangeFromEntry(w, i); });
}

// --- baselines ---

// Reports the number of running requests to all entries; one with a queue may then send.
auto ReportLoad(World& w, std::size_t endpoint) -> void {
  std::vector<std::size_t> order(w.entries.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::shuffle(order, w.random);
  const std::uint32_t running = w.endpoints[endpoint].running;
  for (const std::size_t i : order) {
    CountBytes(w, w.entries.size() + endpoint, i, kDemandBytes);
    At(w, Delay(w, i, endpoint), [&w, i, endpoint, running] {
      w.entries[i].in_flight[endpoint] = running;
      Dispatch(w, i);
    });
  }
}

// Runs the request if a slot is free, else refuses it.
auto Try(World& w, std::size_t endpoint, const Request& request) -> void {
  Endpoint& e = w.endpoints[endpoint];
  if (e.running < e.spec.slots) {
    Begin(w, endpoint, request);
    return;
  }
  At(w, Delay(w, request.entry, endpoint), [&w, endpoint, request] {
    Entry& entry = w.entries[request.entry];
    if (w.policy == Policy::round_robin) {
      // The caller tries again after a refusal.
      At(w, 0.1 + 0.1 * Uniform(w), [&w, request] { Enqueue(w, request); });
      return;
    }
    shares::Refund(entry.table, request.grant);
    entry.in_flight[endpoint] = w.endpoints[endpoint].spec.slots;
    entry.queues[request.load].push_front(request);
    Dispatch(w, request.entry);
  });
}

auto Dispatch(World& w, std::size_t entry) -> void {
  Entry& e = w.entries[entry];
  while (true) {
    std::vector<Candidate> candidates;
    std::vector<std::size_t> targets;
    for (std::size_t l = 0; l < e.queues.size(); ++l) {
      if (e.queues[l].empty()) continue;
      std::size_t best = w.endpoints.size();
      for (std::size_t k = 0; k < w.endpoints.size(); ++k) {
        const std::size_t p = (k + e.next) % w.endpoints.size();
        const EndpointSpec& spec = w.endpoints[p].spec;
        if (spec.pool != w.scenario.loads[l].pool || e.in_flight[p] >= spec.slots) continue;
        if (best == w.endpoints.size() || e.in_flight[p] < e.in_flight[best]) best = p;
      }
      if (best == w.endpoints.size()) continue;
      candidates.push_back({static_cast<shares::Workspace>(l), w.scenario.loads[l].weight, false,
                            static_cast<std::uint32_t>(e.queues[l].size())});
      targets.push_back(best);
    }
    ++e.next;
    const auto picked = shares::Pick(e.table, candidates, ClockOf(w.now));
    if (!picked) return;
    const std::size_t load = candidates[*picked].workspace;
    const std::size_t endpoint = targets[*picked];
    Request request = e.queues[load].front();
    e.queues[load].pop_front();
    if (e.queues[load].empty()) {
      shares::Deactivate(e.table, static_cast<shares::Workspace>(load), ClockOf(w.now));
    }
    request.grant = ++w.grants;
    const auto workspace = static_cast<shares::Workspace>(load);
    shares::Charge(e.table, request.grant, workspace, 0,
                   shares::Estimate(e.table, workspace, 0, std::nullopt));
    ++e.in_flight[endpoint];
    At(w, Delay(w, entry, endpoint), [&w, endpoint, request] { Try(w, endpoint, request); });
  }
}

auto Enqueue(World& w, const Request& request) -> void {
  Entry& e = w.entries[request.entry];
  if (w.policy == Policy::round_robin) {
    const std::size_t pool = w.scenario.loads[request.load].pool;
    do {
      e.next = (e.next + 1) % w.endpoints.size();
    } while (w.endpoints[e.next].spec.pool != pool);
    const std::size_t endpoint = e.next;
    At(w, Delay(w, request.entry, endpoint),
       [&w, endpoint, request] { Try(w, endpoint, request); });
    return;
  }
  e.queues[request.load].push_back(request);
  if (w.policy == Policy::least_load) {
    Dispatch(w, request.entry);
  } else {
    NoteDemand(w, request.entry, request.load);
  }
}

auto Arrive(World& w, std::size_t load, bool closed) -> void {
  const Load& l = w.scenario.loads[load];
  const std::size_t entry =
      Uniform(w) < l.at_home ? l.home : static_cast<std::size_t>(Uniform(w) * w.entries.size());
  const Request request{load, entry, w.now, SampleCost(w, l), closed, 0};
  if (!closed && w.entries[entry].queues[load].size() >= l.max_waiting) {
    ++w.result.refused;
    return;
  }
  Integrate(w);
  ++w.totals.pool_waiting[l.pool];
  Enqueue(w, request);
}

auto ArriveAtRate(World& w, std::size_t load) -> void {
  Arrive(w, load, false);
  At(w, -std::log1p(-Uniform(w)) / w.scenario.loads[load].rate,
     [&w, load] { ArriveAtRate(w, load); });
}

auto Complete(World& w, std::size_t endpoint, const Request& request) -> void {
  Integrate(w);
  Endpoint& e = w.endpoints[endpoint];
  Totals& t = w.totals;
  --e.running;
  --t.pool_running[e.spec.pool];
  --t.running[request.load];
  t.starts[request.load] -= w.now - request.cost;
  t.finished[request.load] += request.cost;
  ++w.result.finished;
  e.interval += 0.1 * (w.now - e.last_end - e.interval);
  e.last_end = w.now;
  if (w.policy == Policy::fleet) shares::Settle(e.table, request.grant, CostOf(request.cost));
  At(w, Delay(w, request.entry, endpoint), [&w, request] {
    if (w.policy == Policy::least_load) {
      shares::Settle(w.entries[request.entry].table, request.grant, CostOf(request.cost));
    }
    if (request.closed) Arrive(w, request.load, true);
  });
  if (!e.staged.empty()) {
    const Request next = e.staged.front();
    e.staged.pop_front();
    Begin(w, endpoint, next);
  }
  if (w.policy == Policy::fleet) Grant(w, endpoint);
  if (w.policy == Policy::least_load) ReportLoad(w, endpoint);
}

// Largest difference in weighted service between backlogged loads of one pool, and the ratio of the
// largest to the smallest.
auto Gap(const World& w) -> std::pair<double, double> {
  double gap = 0;
  double ratio = 1;
  for (std::size_t pool = 0; pool < w.pool_slots.size(); ++pool) {
    double least = std::numeric_limits<double>::infinity();
    double most = 0;
    for (std::size_t l = 0; l < w.scenario.loads.size(); ++l) {
      const Load& load = w.scenario.loads[l];
      if (!load.backlogged || load.pool != pool) continue;
      const double service =
          (w.totals.finished[l] + w.totals.running[l] * w.now - w.totals.starts[l]) / load.weight;
      least = std::min(least, service);
      most = std::max(most, service);
    }
    if (most == 0) continue;
    gap = std::max(gap, most - least);
    ratio = std::max(ratio, most / std::max(least, 1e-9));
  }
  return {gap, ratio};
}

auto Sample(World& w) -> void {
  w.totals.gaps.push_back(Gap(w).first);
  if (getenv("DBG") && (int(w.now) % atoi(getenv("DBG")) == 0)) {
    double m = 0;
    std::vector<double> x;
    for (size_t l = 0; l < 6; l++) {
      x.push_back(w.totals.finished[l] + w.totals.running[l] * w.now - w.totals.starts[l]);
      m += x.back() / 6;
    }
    printf("%4.0f gap %6.1f x", w.now, Gap(w).first);
    for (auto v : x) printf(" %7.1f", v - m);
    printf("  n");
    for (size_t l = 0; l < 6; l++) printf(" %3d", w.totals.running[l]);
    printf("\n");
  }
  At(w, 1, [&w] { Sample(w); });
}

auto NewTable(const World& w, std::uint64_t salt) -> ShareTable {
  ShareTable table;
  table.settings = w.scenario.settings;
  table.salt = salt;
  shares::InternService(table, "service");
  const std::size_t count = w.scenario.loads.size();
  for (std::size_t l = 0; l < count + w.scenario.idle_workspaces; ++l) {
    shares::InternWorkspace(
        table, l < count ? w.scenario.loads[l].workspace : "idle-" + std::to_string(l));
  }
  return table;
}

auto Build(World& w) -> void {
  const Scenario& s = w.scenario;
  const std::size_t loads = s.loads.size();
  for (std::size_t i = 0; i < s.entry_regions.size(); ++i) {
    Entry& e = w.entries.emplace_back();
    e.region = s.entry_regions[i];
    e.table = NewTable(w, i);
    e.queues.resize(loads);
    e.announced.resize(loads);
    e.changed.resize(loads);
    e.in_flight.resize(s.endpoints.size());
  }
  for (std::size_t p = 0; p < s.endpoints.size(); ++p) {
    for (Entry& e : w.entries) shares::InternSource(e.table, "endpoint-" + std::to_string(p));
    Endpoint& e = w.endpoints.emplace_back();
    e.spec = s.endpoints[p];
    e.table = NewTable(w, 1000 + p);
    e.demand.assign(loads, std::vector<std::uint32_t>(w.entries.size()));
    e.open = e.demand;
    w.pool_slots.resize(std::max(w.pool_slots.size(), e.spec.pool + 1));
    w.pool_slots[e.spec.pool] += e.spec.slots;
    // Feeders in the endpoint's own region, spread evenly.
    std::size_t linked = 0;
    for (std::size_t k = 0; k < w.entries.size() && linked < s.feeders; ++k) {
      const std::size_t i = (p + k) % w.entries.size();
      if (w.entries[i].region != e.spec.region) continue;
      ++linked;
      e.links[i].feed = shares::Feed::own;
      Link& link = w.entries[i].endpoint_links[p];
      link.feed = shares::Feed::totals;
      link.peer = static_cast<shares::Source>(p);
      link.incarnation = 1;
    }
  }
  for (std::size_t i = 0; i < w.entries.size(); ++i) {
    for (std::size_t j = 0; j < w.entries.size(); ++j) {
      const bool feeds =
          !w.entries[i].endpoint_links.empty() && !w.entries[j].endpoint_links.empty();
      if (i != j && feeds) w.entries[i].entry_links[j].feed = shares::Feed::rows;
    }
  }
  w.totals.finished.resize(loads);
  w.totals.starts.resize(loads);
  w.totals.running.resize(loads);
  w.totals.pool_running.resize(w.pool_slots.size());
  w.totals.pool_waiting.resize(w.pool_slots.size());
  w.totals.bytes.resize(w.entries.size() + w.endpoints.size());
}

auto Percentile(std::vector<double>& values, double share) -> double {
  if (values.empty()) return 0;
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * (values.size() - 1));
  std::ranges::nth_element(values, at);
  return *at;
}

auto Summarise(World& w) -> Result {
  Integrate(w);
  Totals& t = w.totals;
  Result& r = w.result;
  std::tie(r.gap_end, r.ratio) = Gap(w);
  const auto late = t.gaps.size() > 400 ? t.gaps.end() - 400 : t.gaps.begin();
  r.gap_max = t.gaps.empty() ? 0 : *std::ranges::max_element(t.gaps);
  r.gap_late = t.gaps.empty() ? 0 : *std::max_element(late, t.gaps.end());
  r.gap_mean = std::accumulate(t.gaps.begin(), t.gaps.end(), 0.0) / t.gaps.size();
  r.busy = t.usable > 0 ? t.busy / t.usable : 1;
  r.node_bytes = *std::ranges::max_element(t.bytes) / w.scenario.seconds;
  r.region_bytes = t.region_bytes / w.scenario.seconds;
  r.wait_p50 = Percentile(t.waits, 0.5);
  r.wait_p95 = Percentile(t.waits, 0.95);
  r.wait_p99 = Percentile(t.waits, 0.99);
  r.small_p50 = Percentile(t.small_waits, 0.5);
  r.small_p99 = Percentile(t.small_waits, 0.99);
  return r;
}

}  // namespace

auto Run(const Scenario& scenario, Policy policy, std::uint64_t seed) -> Result {
  World w(scenario, policy, seed);
  Build(w);
  for (std::size_t l = 0; l < scenario.loads.size(); ++l) {
    const Load& load = scenario.loads[l];
    for (std::uint32_t c = 0; c < load.callers; ++c) {
      At(w, 0.1 * Uniform(w), [&w, l] { Arrive(w, l, true); });
    }
    if (load.rate > 0) At(w, Uniform(w) / load.rate, [&w, l] { ArriveAtRate(w, l); });
  }
  if (policy == Policy::fleet) {
    for (std::size_t i = 0; i < w.entries.size(); ++i) {
      At(w, Uniform(w) * scenario.period, [&w, i] { ExchangeFromEntry(w, i); });
    }
    for (std::size_t p = 0; p < w.endpoints.size(); ++p) {
      At(w, Uniform(w) * scenario.period, [&w, p] { ExchangeFromEndpoint(w, p); });
    }
  }
  At(w, 1, [&w] { Sample(w); });
  while (!w.events.empty() && w.events.top().time <= scenario.seconds) {
    const auto event = w.events.top();
    w.events.pop();
    w.now = event.time;
    event.run();
  }
  w.now = scenario.seconds;
  return Summarise(w);
}

}  // namespace filbertstair::bench
