#include "harness.h"

#include <algorithm>
#include <array>
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
using shares::ExchangeLink;
using shares::ShareTable;

// HTTP/2 frame header and length prefix of a control message.
constexpr std::size_t kMessageBytes = 14;
// Encoded grant or grant return; encoded demand of one workspace.
constexpr std::size_t kGrantBytes = 24;
constexpr std::size_t kDemandBytes = 10;
// A queue that is longer than this need not be announced more precisely.
constexpr std::uint32_t kMostAnnounced = 32;
// Announced demand from which grants are issued in advance; shorter queues are often empty when the
// grant arrives.
constexpr std::uint32_t kDeepQueue = 8;
// Time for which changes of demand are collected into one message: growth, then the rest.
constexpr double kDemandDelay = 0.02;
// The same for changes that endpoints are told of which are not near.
constexpr double kLateDemandDelay = 0.1;
// The same while the entry has more than kManyQueues queues, and for those that became empty then.
// A grant that is returned costs little in that case, and a queue that fills again sends nothing.
constexpr double kSlowDemandDelay = 2;
constexpr std::ptrdiff_t kManyQueues = 50;
// Endpoints of a pool and region that are near.
constexpr std::size_t kNear = 4;
// Shortest time between two reports of an endpoint about its free slots.
constexpr double kReportDelay = 0.1;

// Kinds of control messages.
enum class Message { demand, grant, room, counters };

// Seconds after which requests admitted to the idle fleet have ended, and the rest of a run of 400
// s.
constexpr std::ptrdiff_t kSettling = 60;
constexpr std::ptrdiff_t kLateWindow = 340;
constexpr std::ptrdiff_t kBlock = 34;

struct Request {
  std::size_t load = 0;
  std::size_t entry = 0;
  double arrival = 0;
  double cost = 0;
  bool closed = false;
  std::uint64_t grant = 0;
  std::size_t id = 0;
};

struct Entry {
  int region = 0;
  ShareTable table;
  // Per load.
  std::vector<std::deque<Request>> queues;
  std::vector<std::uint32_t> announced;
  std::vector<std::uint32_t> announced_far;
  // Loads whose change of demand is not announced yet, to near endpoints and to others.
  std::array<std::vector<bool>, 2> changed;
  std::array<std::vector<std::size_t>, 2> changes;
  // Per endpoint: requests in flight there as last reported, for least_load.
  std::vector<std::uint32_t> in_flight;
  // Per endpoint: whether it last reported a free slot that no request waits for.
  std::vector<bool> free;
  std::map<std::size_t, ExchangeLink> endpoint_links;
  std::map<std::size_t, ExchangeLink> entry_links;
  std::size_t next = 0;
};

struct Endpoint {
  EndpointSpec spec;
  ShareTable table;
  std::uint32_t running = 0;
  std::deque<Request> staged;
  // Grants on their way, to entries of the own region and of others.
  std::array<std::uint32_t, 2> granted{};
  // Per load and entry: announced demand, and grants that were not answered yet.
  std::vector<std::vector<std::uint32_t>> demand;
  std::vector<std::vector<std::uint32_t>> open;
  std::vector<std::size_t> demanded;
  std::vector<bool> is_demanded;
  std::map<std::size_t, ExchangeLink> links;
  // Per entry: whether it was told of a free slot; and whether a report is due.
  std::vector<bool> told;
  bool reporting = false;
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
  // Per pool and region.
  std::vector<std::vector<std::uint32_t>> busy_slots;
  std::vector<std::vector<std::uint32_t>> waiting;
  // Per pool: requests that have waited long enough for a slot of another region.
  std::vector<std::uint32_t> aged;
  // Per request: whether it has begun, and whether it counts in `aged`.
  std::vector<bool> begun;
  std::vector<bool> is_aged;
  std::vector<double> bytes;
  double region_bytes = 0;
  double messages = 0;
  std::array<double, 4> kinds{};
  // Per pool: integrals of the busy slots and of those that were busy or usable.
  std::vector<double> busy;
  std::vector<double> usable;
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
  // Slots and endpoints per pool and region.
  std::vector<std::vector<std::uint32_t>> slots;
  std::vector<std::vector<std::uint32_t>> counts;
  std::size_t regions = 1;
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

// Returns 0 for an entry and an endpoint of one region, else 1.
auto Distance(const World& w, std::size_t entry, std::size_t endpoint) -> std::size_t {
  return w.entries[entry].region == w.endpoints[endpoint].spec.region ? 0 : 1;
}

auto Delay(const World& w, std::size_t entry, std::size_t endpoint) -> double {
  return Distance(w, entry, endpoint) == 0 ? w.scenario.local_delay : w.scenario.region_delay;
}

// Counts a control message between two nodes; endpoints are numbered after the entries.
auto CountBytes(World& w, std::size_t from, std::size_t to, Message kind, std::size_t bytes)
    -> void {
  const auto region = [&](std::size_t node) {
    return node < w.entries.size() ? w.entries[node].region
                                   : w.endpoints[node - w.entries.size()].spec.region;
  };
  const auto size = static_cast<double>(bytes + kMessageBytes);
  w.totals.bytes[from] += size;
  w.totals.bytes[to] += size;
  w.totals.messages += 1;
  w.totals.kinds[static_cast<std::size_t>(kind)] += size;
  if (region(from) != region(to)) w.totals.region_bytes += size;
}

// Integrates busy and usable slots up to now. Called before a count changes. A waiting request
// could use a slot of its own region at once, and one of another region once it has waited for as
// long as a demand, a grant and a submission take on a link between regions.
auto Integrate(World& w) -> void {
  Totals& t = w.totals;
  const double dt = w.now - t.last;
  t.last = w.now;
  for (std::size_t pool = 0; dt > 0 && pool < w.slots.size(); ++pool) {
    std::uint32_t used = 0;
    std::uint32_t free = 0;
    std::uint32_t waiting = 0;
    for (std::size_t r = 0; r < w.regions; ++r) {
      const std::uint32_t idle = w.slots[pool][r] - t.busy_slots[pool][r];
      const std::uint32_t taken = std::min(idle, t.waiting[pool][r]);
      t.busy[pool] += dt * t.busy_slots[pool][r];
      used += t.busy_slots[pool][r] + taken;
      free += idle - taken;
      waiting += t.waiting[pool][r] - taken;
    }
    t.usable[pool] += dt * (used + std::min({free, waiting, t.aged[pool]}));
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
  ++t.busy_slots[e.spec.pool][e.spec.region];
  --t.waiting[e.spec.pool][w.entries[request.entry].region];
  if (t.is_aged[request.id]) --t.aged[e.spec.pool];
  t.begun[request.id] = true;
  ++t.running[request.load];
  t.starts[request.load] += w.now;
  w.result.largest = std::max(w.result.largest, request.cost);
  (w.scenario.loads[request.load].backlogged ? t.waits : t.small_waits)
      .push_back(w.now - request.arrival);
  if (w.policy == Policy::fleet) shares::StartCharge(e.table, request.grant, ClockOf(w.now));
  At(w, request.cost, [&w, endpoint, request] { Complete(w, endpoint, request); });
}

// --- grants by fleet-wide shares ---

auto Grant(World& w, std::size_t endpoint) -> void;
auto ReportRoom(World& w, std::size_t endpoint) -> void;

// Whether an endpoint is among the few of the entry's region that learn of a load's demand first.
auto IsNear(const World& w, std::size_t entry, std::size_t load, std::size_t endpoint) -> bool {
  const EndpointSpec& spec = w.endpoints[endpoint].spec;
  const std::size_t every = std::max<std::size_t>(w.counts[spec.pool][spec.region] / kNear, 1);
  return Distance(w, entry, endpoint) == 0 && (endpoint / w.regions + entry + load) % every == 0;
}

// Sends the current demand of some loads to the near endpoints, or to the others.
auto Announce(World& w, std::size_t entry, const std::vector<std::size_t>& loads, bool remote)
    -> void {
  Entry& e = w.entries[entry];
  auto& announced = remote ? e.announced_far : e.announced;
  for (std::size_t p = 0; p < w.endpoints.size(); ++p) {
    const EndpointSpec& spec = w.endpoints[p].spec;
    std::vector<std::pair<std::size_t, std::uint32_t>> mine;
    for (const std::size_t l : loads) {
      if (w.scenario.loads[l].pool != spec.pool || IsNear(w, entry, l, p) == remote) continue;
      mine.emplace_back(l,
                        std::min(static_cast<std::uint32_t>(e.queues[l].size()), kMostAnnounced));
    }
    if (mine.empty()) continue;
    CountBytes(w, entry, w.entries.size() + p, Message::demand, mine.size() * kDemandBytes);
    At(w, Delay(w, entry, p), [&w, entry, p, mine] {
      Endpoint& to = w.endpoints[p];
      for (const auto& [l, count] : mine) {
        if (!to.is_demanded[l]) to.demanded.push_back(l);
        to.is_demanded[l] = true;
        to.demand[l][entry] = count;
      }
      Grant(w, p);
      ReportRoom(w, p);
    });
  }
  for (const std::size_t l : loads) {
    announced[l] = std::min(static_cast<std::uint32_t>(e.queues[l].size()), kMostAnnounced);
  }
}

// Whether a queue became empty or non-empty, or grew to four times of what was announced. Endpoints
// learn of a shorter queue from returned grants, so that a queue of changing length sends little.
auto Differs(std::size_t count, std::uint32_t announced) -> bool {
  if (count == 0 || announced == 0) return (count == 0) != (announced == 0);
  return announced < kMostAnnounced && count >= std::size_t{announced} * 4;
}

// Announces changes that were collected, once `delay` is over and if they still exist.
auto AnnounceLater(World& w, std::size_t entry, std::size_t load, bool remote) -> void {
  Entry& e = w.entries[entry];
  auto& changes = e.changes[remote ? 1 : 0];
  auto& changed = e.changed[remote ? 1 : 0];
  if (changed[load]) return;
  changed[load] = true;
  changes.push_back(load);
  if (changes.size() > 1) return;
  const auto queued = std::ranges::count_if(e.queues, [](const auto& q) { return !q.empty(); });
  double delay = remote ? kLateDemandDelay : kDemandDelay;
  if (queued > kManyQueues && (remote || e.queues[load].empty())) delay = kSlowDemandDelay;
  At(w, delay, [&w, entry, remote] {
    Entry& from = w.entries[entry];
    std::vector<std::size_t> loads;
    loads.swap(from.changes[remote ? 1 : 0]);
    const auto& announced = remote ? from.announced_far : from.announced;
    for (const std::size_t l : loads) from.changed[remote ? 1 : 0][l] = false;
    std::erase_if(loads, [&](std::size_t l) {
      const std::size_t count = from.queues[l].size();
      return !Differs(count, announced[l]);
    });
    if (!loads.empty()) Announce(w, entry, loads, remote);
  });
}

// Announces a new queue to near endpoints at once, other changes there together after a short time,
// and to all other endpoints only if they last.
auto NoteDemand(World& w, std::size_t entry, std::size_t load) -> void {
  Entry& e = w.entries[entry];
  const std::size_t count = e.queues[load].size();
  if (count > 0 && e.announced[load] == 0) {
    Announce(w, entry, {load}, false);
  } else if (Differs(count, e.announced[load])) {
    AnnounceLater(w, entry, load, false);
  }
  if (Differs(count, e.announced_far[load])) {
    AnnounceLater(w, entry, load, true);
  }
}

auto Submit(World& w, std::size_t endpoint, const Request& request) -> void {
  Endpoint& e = w.endpoints[endpoint];
  --e.granted[Distance(w, request.entry, endpoint)];
  --e.open[request.load][request.entry];
  if (e.running < e.spec.slots) {
    Begin(w, endpoint, request);
  } else {
    e.staged.push_back(request);
  }
}

auto HasRoom(const Endpoint& e) -> bool {
  return e.running + e.granted[0] + e.granted[1] + e.staged.size() < e.spec.slots &&
         e.demanded.empty();
}

// Tells the entries whether the endpoint has room, if that changed.
auto ReportRoom(World& w, std::size_t endpoint) -> void {
  Endpoint& e = w.endpoints[endpoint];
  const bool room = HasRoom(e);
  if (e.reporting || std::ranges::find(e.told, !room) == e.told.end()) return;
  e.reporting = true;
  At(w, kReportDelay, [&w, endpoint] {
    Endpoint& from = w.endpoints[endpoint];
    from.reporting = false;
    const bool has = HasRoom(from);
    for (std::size_t i = 0; i < w.entries.size(); ++i) {
      if (from.told[i] == has) continue;
      from.told[i] = has;
      CountBytes(w, w.entries.size() + endpoint, i, Message::room, kDemandBytes);
      At(w, Delay(w, i, endpoint), [&w, i, endpoint, has] { w.entries[i].free[endpoint] = has; });
    }
  });
}

// Runs a request that came without a grant, or refuses it so that the entry queues it.
auto Admit(World& w, std::size_t endpoint, Request request) -> void {
  Endpoint& e = w.endpoints[endpoint];
  Integrate(w);
  ++w.totals.waiting[e.spec.pool][w.entries[request.entry].region];
  if (!HasRoom(e)) {
    e.told[request.entry] = false;
    ReportRoom(w, endpoint);
    At(w, Delay(w, request.entry, endpoint), [&w, endpoint, request] {
      Entry& entry = w.entries[request.entry];
      entry.free[endpoint] = false;
      Enqueue(w, request);
    });
    return;
  }
  request.grant = ++w.grants;
  const auto workspace = static_cast<shares::Workspace>(request.load);
  const Load& load = w.scenario.loads[request.load];
  shares::AddCharge(
      e.table, request.grant, workspace, 0,
      shares::EstimateCost(e.table, workspace, 0, CostOf(load.mean * load.hint_error)));
  Begin(w, endpoint, request);
  ReportRoom(w, endpoint);
}

// Sends a request to an endpoint that reported room, if nothing of its workspace is queued; an
// endpoint in the entry's region first.
auto SendAtOnce(World& w, const Request& request) -> bool {
  Entry& e = w.entries[request.entry];
  if (!e.queues[request.load].empty()) return false;
  for (const bool remote : {false, true}) {
    for (std::size_t k = 0; k < w.endpoints.size(); ++k) {
      const std::size_t p = ++e.next % w.endpoints.size();
      const EndpointSpec& spec = w.endpoints[p].spec;
      if (!e.free[p] || spec.pool != w.scenario.loads[request.load].pool ||
          (spec.region != e.region) != remote) {
        continue;
      }
      // On its way to a free slot, the request could not use another one.
      Integrate(w);
      --w.totals.waiting[spec.pool][e.region];
      At(w, Delay(w, request.entry, p), [&w, p, request] { Admit(w, p, request); });
      return true;
    }
  }
  return false;
}

// Uses a grant for the oldest request of its workspace, or returns it.
auto Redeem(World& w, std::size_t entry, std::size_t endpoint, std::size_t load,
            std::uint64_t grant) -> void {
  Entry& e = w.entries[entry];
  auto& queue = e.queues[load];
  const double delay = Delay(w, entry, endpoint);
  if (queue.empty()) {
    CountBytes(w, entry, w.entries.size() + endpoint, Message::grant, kGrantBytes);
    At(w, delay, [&w, entry, endpoint, load, grant] {
      Endpoint& to = w.endpoints[endpoint];
      shares::RefundCharge(to.table, grant);
      --to.granted[Distance(w, entry, endpoint)];
      --to.open[load][entry];
      to.demand[load][entry] = 0;
      Grant(w, endpoint);
      ReportRoom(w, endpoint);
    });
    (IsNear(w, entry, load, endpoint) ? e.announced : e.announced_far)[load] = 0;
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
  return static_cast<std::uint32_t>(std::lround(ends + 2 * std::sqrt(ends)));
}

// Issues grants while slots are free, and in advance.
auto Grant(World& w, std::size_t endpoint) -> void {
  Endpoint& e = w.endpoints[endpoint];
  const core::Time now = ClockOf(w.now);
  while (true) {
    // A slot for which a grant is on its way to another region still serves local demand; the
    // request from the other region then waits here for the next slot.
    const auto taken = static_cast<std::uint32_t>(e.running + e.staged.size()) + e.granted[0];
    const bool local = taken < e.spec.slots + InAdvance(e, w.scenario.local_delay);
    const bool remote = w.regions > 1 &&
                        taken + e.granted[1] < e.spec.slots + InAdvance(e, w.scenario.region_delay);
    if (!local && !remote) return;
    std::vector<Candidate> candidates;
    std::vector<std::pair<std::size_t, std::size_t>> places;
    std::erase_if(e.demanded, [&](std::size_t l) {
      std::uint32_t most[2] = {0, 0};
      std::size_t best[2] = {0, 0};
      for (std::size_t i = 0; i < w.entries.size(); ++i) {
        const std::size_t distance = Distance(w, i, endpoint);
        const std::uint32_t open = e.open[l][i];
        const std::uint32_t count = e.demand[l][i] > open ? e.demand[l][i] - open : 0;
        if (count > most[distance]) {
          most[distance] = count;
          best[distance] = i;
        }
      }
      const auto add = [&](std::size_t distance) {
        candidates.push_back({static_cast<shares::Workspace>(l), w.scenario.loads[l].weight,
                              distance == 1, most[distance]});
        places.emplace_back(l, best[distance]);
      };
      if (most[0] > 0) add(0);
      if (remote && most[1] >= (taken < e.spec.slots ? 1 : kDeepQueue)) add(1);
      if (most[0] + most[1] > 0) return false;
      e.is_demanded[l] = false;
      shares::DeactivateWorkspace(e.table, static_cast<shares::Workspace>(l), now);
      return true;
    });
    const auto picked = shares::PickCandidate(e.table, candidates, now);
    if (!picked) return;
    const std::size_t load = places[*picked].first;
    const std::size_t entry = places[*picked].second;
    if (!local && !candidates[*picked].remote) return;
    const std::uint64_t id = ++w.grants;
    const Load& l = w.scenario.loads[load];
    const core::Cost hint = CostOf(l.mean * l.hint_error);
    const auto workspace = static_cast<shares::Workspace>(load);
    shares::AddCharge(e.table, id, workspace, 0, shares::EstimateCost(e.table, workspace, 0, hint));
    ++e.granted[Distance(w, entry, endpoint)];
    ++e.open[load][entry];
    CountBytes(w, w.entries.size() + endpoint, entry, Message::grant, kGrantBytes);
    At(w, Delay(w, entry, endpoint),
       [&w, entry, endpoint, load, id] { Redeem(w, entry, endpoint, load, id); });
  }
}

// --- exchange of counters ---

auto Send(World& w, std::size_t from, std::size_t to, double delay, const ShareTable& table,
          ExchangeLink& link, std::function<void(const shares::Update&)> merge) -> void {
  const auto updates = shares::SelectUpdates(table, link, w.scenario.budget);
  if (updates.empty()) return;
  CountBytes(w, from, to, Message::counters, updates.size() * shares::kUpdateBytes);
  At(w, delay, [updates, merge = std::move(merge)] {
    for (const shares::Update& update : updates) merge(update);
  });
}

auto ExchangeFromEndpoint(World& w, std::size_t p) -> void {
  Endpoint& e = w.endpoints[p];
  shares::AccrueSlotTime(e.table, ClockOf(w.now));
  for (auto& [i, link] : e.links) {
    Send(w, w.entries.size() + p, i, Delay(w, i, p), e.table, link,
         [&w, i = i, p](const shares::Update& u) {
           shares::MergeCounter(w.entries[i].table, u.workspace, static_cast<shares::Source>(p), 1,
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
           shares::MergeOthersTotal(w.endpoints[p].table, u.workspace, u.counter, u.running);
         });
  }
  for (auto& [j, link] : e.entry_links) {
    const double delay =
        e.region == w.entries[j].region ? w.scenario.local_delay : w.scenario.region_delay;
    Send(w, i, j, delay, e.table, link, [&w, j = j, region = e.region](const shares::Update& u) {
      ShareTable& table = w.entries[j].table;
      const auto domain = shares::InternSource(table, "region-" + std::to_string(region));
      shares::MergeCounter(table, u.workspace, domain, 0, u.counter, u.running);
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
    CountBytes(w, w.entries.size() + endpoint, i, Message::room, kDemandBytes);
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
    shares::RefundCharge(entry.table, request.grant);
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
    const auto picked = shares::PickCandidate(e.table, candidates, ClockOf(w.now));
    if (!picked) return;
    const std::size_t load = candidates[*picked].workspace;
    const std::size_t endpoint = targets[*picked];
    Request request = e.queues[load].front();
    e.queues[load].pop_front();
    if (e.queues[load].empty()) {
      shares::DeactivateWorkspace(e.table, static_cast<shares::Workspace>(load), ClockOf(w.now));
    }
    request.grant = ++w.grants;
    const auto workspace = static_cast<shares::Workspace>(load);
    shares::AddCharge(e.table, request.grant, workspace, 0,
                      shares::EstimateCost(e.table, workspace, 0, std::nullopt));
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
  if (w.policy == Policy::fleet && SendAtOnce(w, request)) return;
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
      Uniform(w) < l.at_home
          ? l.home
          : static_cast<std::size_t>(Uniform(w) * static_cast<double>(w.entries.size()));
  Request request{load, entry, w.now, SampleCost(w, l), closed, 0, 0};
  if (!closed && w.entries[entry].queues[load].size() >= l.max_waiting) {
    ++w.result.refused;
    return;
  }
  Integrate(w);
  Totals& t = w.totals;
  request.id = t.begun.size();
  t.begun.push_back(false);
  t.is_aged.push_back(false);
  ++t.waiting[l.pool][w.entries[entry].region];
  At(w, 3 * w.scenario.region_delay, [&w, id = request.id, pool = l.pool] {
    if (w.totals.begun[id]) return;
    Integrate(w);
    w.totals.is_aged[id] = true;
    ++w.totals.aged[pool];
  });
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
  --t.busy_slots[e.spec.pool][e.spec.region];
  --t.running[request.load];
  t.starts[request.load] -= w.now - request.cost;
  t.finished[request.load] += request.cost;
  ++w.result.finished;
  e.interval += 0.1 * (w.now - e.last_end - e.interval);
  e.last_end = w.now;
  if (w.policy == Policy::fleet) shares::SettleCharge(e.table, request.grant, CostOf(request.cost));
  At(w, Delay(w, request.entry, endpoint), [&w, request] {
    if (w.policy == Policy::least_load) {
      shares::SettleCharge(w.entries[request.entry].table, request.grant, CostOf(request.cost));
    }
    if (request.closed) Arrive(w, request.load, true);
  });
  if (!e.staged.empty()) {
    const Request next = e.staged.front();
    e.staged.pop_front();
    Begin(w, endpoint, next);
  }
  if (w.policy == Policy::fleet) {
    Grant(w, endpoint);
    ReportRoom(w, endpoint);
  }
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
    w.regions = std::max(w.regions, static_cast<std::size_t>(e.region) + 1);
    e.table = NewTable(w, i);
    e.queues.resize(loads);
    e.announced.resize(loads);
    e.announced_far.resize(loads);
    for (auto& changed : e.changed) changed.resize(loads);
    e.in_flight.resize(s.endpoints.size());
    e.free.assign(s.endpoints.size(), true);
  }
  for (std::size_t p = 0; p < s.endpoints.size(); ++p) {
    for (Entry& e : w.entries) shares::InternSource(e.table, "endpoint-" + std::to_string(p));
    Endpoint& e = w.endpoints.emplace_back();
    e.spec = s.endpoints[p];
    e.table = NewTable(w, 1000 + p);
    if (s.extrapolate) {
      e.table.settings.peer_count = static_cast<double>(
          std::ranges::count(s.endpoints, e.spec.pool, &EndpointSpec::pool) - 1);
    }
    e.told.assign(w.entries.size(), true);
    e.demand.assign(loads, std::vector<std::uint32_t>(w.entries.size()));
    e.open = e.demand;
    e.is_demanded.resize(loads);
    w.pool_slots.resize(std::max(w.pool_slots.size(), e.spec.pool + 1));
    w.pool_slots[e.spec.pool] += e.spec.slots;
  }
  // The first entries of each region exchange counters with all endpoints there, and each with its
  // counterparts in the other regions.
  std::map<int, std::vector<std::size_t>> feeders;
  for (std::size_t i = 0; i < w.entries.size(); ++i) {
    auto& mine = feeders[w.entries[i].region];
    if (mine.size() < s.feeders) mine.push_back(i);
  }
  for (const auto& [region, mine] : feeders) {
    for (std::size_t k = 0; k < mine.size(); ++k) {
      Entry& e = w.entries[mine[k]];
      for (std::size_t p = 0; p < w.endpoints.size(); ++p) {
        if (w.endpoints[p].spec.region != region) continue;
        w.endpoints[p].links[mine[k]].feed = shares::Feed::own;
        shares::MarkSourceLinked(e.table, static_cast<shares::Source>(p));
        ExchangeLink& link = e.endpoint_links[p];
        link.feed = shares::Feed::totals;
        link.peer = static_cast<shares::Source>(p);
        link.incarnation = 1;
      }
      for (const auto& [other, theirs] : feeders) {
        if (other != region) e.entry_links[theirs[k]].feed = shares::Feed::domain;
      }
    }
  }
  w.totals.finished.resize(loads);
  w.totals.starts.resize(loads);
  w.totals.running.resize(loads);
  w.slots.assign(w.pool_slots.size(), std::vector<std::uint32_t>(w.regions));
  w.counts = w.slots;
  for (const EndpointSpec& spec : s.endpoints) {
    w.slots[spec.pool][spec.region] += spec.slots;
    ++w.counts[spec.pool][spec.region];
  }
  w.totals.busy_slots.assign(w.pool_slots.size(), std::vector<std::uint32_t>(w.regions));
  w.totals.waiting = w.totals.busy_slots;
  w.totals.busy.resize(w.pool_slots.size());
  w.totals.usable.resize(w.pool_slots.size());
  w.totals.aged.resize(w.pool_slots.size());
  w.totals.bytes.resize(w.entries.size() + w.endpoints.size());
}

auto Percentile(std::vector<double>& values, double share) -> double {
  if (values.empty()) return 0;
  const auto at =
      values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, at);
  return *at;
}

// Means of consecutive blocks of gaps, kLateWindow samples from `first`.
auto Blocks(const std::vector<double>& gaps, std::ptrdiff_t first) -> std::vector<double> {
  std::vector<double> means;
  for (std::ptrdiff_t i = 0; i + kBlock <= kLateWindow; i += kBlock) {
    const auto begin = gaps.begin() + first + i;
    means.push_back(std::accumulate(begin, begin + kBlock, 0.0) / kBlock);
  }
  return means;
}

auto Summarise(World& w) -> Result {
  Integrate(w);
  Totals& t = w.totals;
  Result& r = w.result;
  std::tie(r.gap_end, r.ratio) = Gap(w);
  const auto late = t.gaps.size() > kLateWindow ? t.gaps.end() - kLateWindow : t.gaps.begin();
  const auto samples = static_cast<std::ptrdiff_t>(t.gaps.size());
  if (samples >= kSettling + kLateWindow) {
    r.early_blocks = Blocks(t.gaps, kSettling);
    r.late_blocks = Blocks(t.gaps, samples - kLateWindow);
  }
  r.gap_max = t.gaps.empty() ? 0 : *std::ranges::max_element(t.gaps);
  r.gap_late = t.gaps.empty() ? 0 : *std::max_element(late, t.gaps.end());
  r.gap_mean =
      std::accumulate(t.gaps.begin(), t.gaps.end(), 0.0) / static_cast<double>(t.gaps.size());
  r.busy = std::accumulate(t.busy.begin(), t.busy.end(), 0.0) /
           std::max(std::accumulate(t.usable.begin(), t.usable.end(), 0.0), 1e-9);
  r.node_bytes = *std::ranges::max_element(t.bytes) / w.scenario.seconds;
  r.region_bytes = t.region_bytes / w.scenario.seconds;
  r.demand_bytes = t.kinds[0] / w.scenario.seconds;
  r.grant_bytes = t.kinds[1] / w.scenario.seconds;
  r.room_bytes = t.kinds[2] / w.scenario.seconds;
  r.counter_bytes = t.kinds[3] / w.scenario.seconds;
  const auto steady = t.gaps.size() > kSettling ? t.gaps.begin() + kSettling : t.gaps.begin();
  r.gap_steady = t.gaps.empty() ? 0 : *std::max_element(steady, t.gaps.end());
  r.node_messages = 2 * t.messages / static_cast<double>(t.bytes.size()) / w.scenario.seconds;
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
