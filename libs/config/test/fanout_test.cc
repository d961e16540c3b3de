#include "filbertstair/config/fanout.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <queue>

#include "filbertstair/config/delta.h"
#include "filbertstair/config/fetch.h"
#include "filbertstair/config/table.h"

namespace filbertstair::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 1200;
constexpr core::Duration kHop = milliseconds(1);
constexpr core::Duration kFarHop = milliseconds(60);
// Bytes of a message besides its fields: IP and TCP headers with options, the HTTP/2 frame header
// and the length of the message.
constexpr double kOverhead = 64;
constexpr double kRowBytes = 28;

struct Node {
  ConfigTable table;
  FetchTable fetches;
  std::vector<std::size_t> links;
  std::vector<std::string> linked;
  core::Time learned{};
  bool frozen = false;
};

struct Action {
  core::Time at;
  std::size_t serial;
  std::function<void()> run;
  auto operator<(const Action& other) const -> bool {
    return std::tie(other.at, other.serial) < std::tie(this->at, this->serial);
  }
};

auto Region(std::size_t node) -> std::size_t { return node % 3; }
auto Id(std::size_t node) -> std::string { return "entry-" + std::to_string(node); }

// 1,200 entries on a virtual clock that exchange digests, requests and objects over their links.
struct Fleet {
  FanoutRules rules;
  std::vector<Node> nodes{kNodes};
  std::priority_queue<Action> queue;
  std::size_t serial = 0;
  core::Time now{};
  double digest_bytes = 0;
  double change_bytes = 0;
  std::function<bool(std::size_t, std::size_t)> cut = [](auto, auto) { return false; };

  // Opens the links that the entries choose when they suspect every frozen one.
  auto Relink() -> void {
    std::vector<Peer> peers;
    for (std::size_t i = 0; i < kNodes; ++i) {
      peers.push_back({Id(i), std::to_string(Region(i)), this->nodes[i].frozen});
      this->nodes[i].links.clear();
      this->nodes[i].linked.clear();
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (const auto j : PeerLinks(Id(i), peers, this->rules)) {
        this->Link(i, j);
        this->Link(j, i);
      }
    }
  }

  auto Link(std::size_t from, std::size_t to) -> void {
    this->nodes[from].links.push_back(to);
    this->nodes[from].linked.push_back(Id(to));
  }

  auto Schedule(core::Time at, std::function<void()> run) -> void {
    this->queue.push({at, this->serial++, std::move(run)});
  }

  auto Send(std::size_t from, std::size_t to, double& counter, double bytes,
            std::function<void()> receive) -> void {
    counter += kOverhead + bytes;
    if (this->cut(from, to)) return;
    const auto delay = Region(from) == Region(to) ? kHop : kFarHop;
    this->Schedule(this->now + delay, [this, to, receive = std::move(receive)] {
      if (!this->nodes[to].frozen) receive();
    });
  }

  auto SendDigest(std::size_t from, std::size_t to, const Digest& digest, double& counter) -> void {
    this->Send(from, to, counter, 16 + kRowBytes * static_cast<double>(digest.rows.size()),
               [this, from, to, digest] { this->ReceiveDigest(to, from, digest); });
  }

  auto ReceiveDigest(std::size_t self, std::size_t peer, const Digest& digest) -> void {
    auto& node = this->nodes[self];
    const auto result = Compare(node.table, digest);
    for (const auto& row : result.to_request) {
      if (!BeginFetch(node.fetches, row, Id(peer), this->now)) continue;
      const auto have = Find(node.table, row.key);
      const auto stamp = have ? have->stamp : Stamp{};
      this->Send(self, peer, this->change_bytes, kRowBytes, [this, self, peer, row, stamp] {
        const auto reply = MakeReply(this->nodes[peer].table, row.key, stamp);
        const auto bytes = reply.whole ? reply.whole->content.size() : DeltaBytes(reply.delta);
        this->Send(peer, self, this->change_bytes, kRowBytes + static_cast<double>(bytes),
                   [this, self, peer, reply, row] {
                     const auto base = Find(this->nodes[self].table, row.key);
                     const auto object =
                         reply.whole || !base ? reply.whole : ApplyDelta(*base, reply.delta);
                     if (object) this->Receive(self, object, Id(peer));
                   });
      });
    }
    if (result.rows_wanted) {
      this->SendDigest(self, peer, MakeDigest(node.table, DigestScope::all), this->change_bytes);
    } else if (!result.to_send.empty()) {
      auto news = MakeDigest(node.table, DigestScope::summary);
      news.rows = result.to_send;
      this->SendDigest(self, peer, news, this->change_bytes);
    }
  }

  auto Receive(std::size_t self, const ObjectPtr& object, const std::string& from) -> void {
    auto& node = this->nodes[self];
    const auto before = Find(node.table, object->key);
    const auto decision = Offer(node.table, object, {}, this->now).decision;
    const auto after = Find(node.table, object->key);
    CPPUNIT_ASSERT(!before || after->stamp >= before->stamp);
    EndFetch(node.fetches, object->key, object->stamp);
    if (decision != Decision::accepted) return;
    node.learned = this->now;
    const auto news = MakeDigest(node.table, object->key);
    for (const auto i : PushTargets(Id(self), *object, node.linked, from, this->rules)) {
      this->SendDigest(self, node.links[i], news, this->change_bytes);
    }
  }

  // Sends the periodic digests of one node from now on, at a phase of its own.
  auto Tick(std::size_t self) -> void {
    if (!this->nodes[self].frozen) {
      const auto digest = MakeDigest(this->nodes[self].table, DigestScope::summary);
      for (const auto to : this->nodes[self].links) {
        this->SendDigest(self, to, digest, this->digest_bytes);
      }
    }
    this->Schedule(this->now + this->rules.digest_period, [this, self] { this->Tick(self); });
  }

  auto RunUntil(core::Time end) -> void {
    while (!this->queue.empty() && this->queue.top().at <= end) {
      const auto action = this->queue.top();
      this->queue.pop();
      this->now = action.at;
      action.run();
    }
    this->now = end;
  }
};

// A document of about 40 KB in which each version changes one number.
auto Document(std::uint64_t version) -> ObjectPtr {
  std::string text = "name: chat\nworkspaces:\n";
  for (std::uint64_t i = 0; i < 1000; ++i) {
    text += "  - {id: workspace-" + std::to_string(i) + ", weight: ";
    text += std::to_string(i == version ? 2 : 1) + "}\n";
  }
  return MakeObject(ObjectKind::document, "chat", version, text);
}

struct Scenario {
  std::string name;
  // Share of the nodes, in percent, that is frozen.
  std::size_t frozen = 0;
  // Share of the links, in percent, that is cut.
  std::size_t links_cut = 0;
  // Regions in which two nodes learn a change from the platform.
  std::size_t informed_regions = 3;
  bool regions_cut = false;
};

// Guards against a change that does not reach every entry within the 5 s of guarantee G8, and
// against control traffic above a node's budget.
class FanoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FanoutTest);
  CPPUNIT_TEST(testSmallFleetIsFullyLinked);
  CPPUNIT_TEST(testPushSkipsTheSender);
  CPPUNIT_TEST(testEveryNodeLearnsInTime);
  CPPUNIT_TEST_SUITE_END();

  static auto Hash(std::size_t a, std::size_t b) -> std::size_t {
    return ContentHash(std::to_string(std::min(a, b)) + "-" + std::to_string(std::max(a, b))) % 100;
  }

  static auto Publish(Fleet& fleet, const Scenario& scenario, std::uint64_t version) -> void {
    const auto object = Document(version);
    for (std::size_t region = 0; region < scenario.informed_regions; ++region) {
      std::size_t informed = 0;
      for (std::size_t i = region; informed < 2; i += 3) {
        if (fleet.nodes[i].frozen) continue;
        fleet.Receive(i, object, "");
        ++informed;
      }
    }
  }

  // Time until all nodes that are not frozen have `version`; fails after 5 s.
  static auto TimeToLearn(Fleet& fleet, const Scenario& scenario, std::uint64_t version,
                          bool relink = false) -> core::Duration {
    const auto start = fleet.now;
    // Nodes that froze at `start` are suspected after 3 s.
    fleet.RunUntil(start + seconds(3));
    if (relink) fleet.Relink();
    fleet.RunUntil(start + seconds(5));
    auto last = start;
    for (const auto& node : fleet.nodes) {
      if (node.frozen) continue;
      const auto object = Find(node.table, {ObjectKind::document, "chat"});
      CPPUNIT_ASSERT_MESSAGE(scenario.name, object && object->stamp.version == version);
      last = std::max(last, node.learned);
    }
    return last - start;
  }

  static auto Run(const Scenario& scenario) -> void {
    Fleet fleet;
    fleet.Relink();
    for (std::size_t i = 0; i < kNodes; ++i) {
      Offer(fleet.nodes[i].table, Document(1), {}, fleet.now);
      const auto phase = fleet.rules.digest_period * static_cast<std::int64_t>(i * 7 % kNodes) /
                         static_cast<std::int64_t>(kNodes);
      fleet.Schedule(fleet.now + phase, [&fleet, i] { fleet.Tick(i); });
    }
    fleet.cut = [scenario](std::size_t a, std::size_t b) {
      return (scenario.regions_cut && Region(a) != Region(b)) || Hash(a, b) < scenario.links_cut;
    };
    fleet.RunUntil(fleet.now + seconds(2));
    fleet.digest_bytes = 0;
    for (std::size_t i = 0; i < kNodes; ++i) {
      fleet.nodes[i].frozen = Hash(i, i) < scenario.frozen;
    }
    core::Duration longest{};
    for (std::uint64_t version = 2; version <= 4; ++version) {
      Publish(fleet, scenario, version);
      longest = std::max(longest, TimeToLearn(fleet, scenario, version, version == 2));
    }
    const auto digests = fleet.digest_bytes / kNodes / 15;
    const auto change = fleet.change_bytes / kNodes / 3;
    // Frozen nodes wake with old versions and catch up; the cut ends.
    for (auto& node : fleet.nodes) node.frozen = false;
    fleet.cut = [](auto, auto) { return false; };
    const auto wake = TimeToLearn(fleet, scenario, 4);
    std::cerr << "\n  " << std::left << std::setw(30) << scenario.name << std::right << std::fixed
              << std::setprecision(0) << " all nodes after " << longest.count() / 1000
              << " ms, woken after " << wake.count() / 1000 << " ms; sent per node: digests "
              << digests << " B/s, " << change << " B/change, at 29,000 changes a day "
              << digests + change * 29000 / 86400 << " B/s";
    CPPUNIT_ASSERT_MESSAGE(scenario.name, digests + change * 29000 / 86400 < 5000);
  }

 public:
  auto testSmallFleetIsFullyLinked() -> void {
    const std::vector<Peer> peers{{"a", "north"}, {"b", "north"}, {"c", "south"}, {"d", "south"}};
    std::map<std::pair<std::size_t, std::size_t>, int> pairs;
    for (std::size_t i = 0; i < peers.size(); ++i) {
      for (const auto j : PeerLinks(peers[i].id, peers, {})) ++pairs[std::minmax(i, j)];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pairs.size());
    for (const auto& [pair, connections] : pairs) CPPUNIT_ASSERT_EQUAL(1, connections);
    CPPUNIT_ASSERT(PeerLinks("unlisted", peers, {}).empty());
  }

  auto testPushSkipsTheSender() -> void {
    std::vector<std::string> linked;
    for (std::size_t i = 0; i < 20; ++i) linked.push_back(Id(i));
    const auto targets = PushTargets("self", *Document(1), linked, Id(3), {});
    CPPUNIT_ASSERT_EQUAL(FanoutRules{}.announce, targets.size());
    CPPUNIT_ASSERT(std::count(targets.begin(), targets.end(), std::size_t{3}) == 0);
  }

  auto testEveryNodeLearnsInTime() -> void {
    Run({.name = "no fault"});
    Run({.name = "20 % frozen", .frozen = 20});
    Run({.name = "40 % frozen", .frozen = 40});
    Run({.name = "20 % of links cut", .links_cut = 20});
    Run({.name = "platform seen by one region", .informed_regions = 1});
    Run({.name = "one region sees it, 20 % frozen", .frozen = 20, .informed_regions = 1});
    Run({.name = "regions cut, 20 % frozen", .frozen = 20, .regions_cut = true});
    std::cerr << "\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FanoutTest);

}  // namespace
}  // namespace filbertstair::config
