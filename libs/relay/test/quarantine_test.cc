#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <optional>

#include "fixture.h"

namespace filbertstair::relay {
namespace {

// Shared blocks: the first one of all prompts, one of sound prompts, and one that crashes replicas.
const std::string kSoundBlocks = "12";
const std::string kDeadlyBlocks = "13";

auto StreamHead(const std::string& id) -> std::string {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nReceipt: r\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto EventChunk() -> std::string { return "11\r\nid: 1\ndata: abc\n\n\r\n"; }

// A replica that crashes when it begins the answer to a request whose id starts with "deadly".
struct FragileReplica {
  explicit FragileReplica(const std::string& id)
      : replica(id, [this](int, const std::string& request, const RawReplica::Writer& write) {
          if (this->replica.HasCrashed()) return;
          write(StreamHead(request));
          if (request.starts_with("deadly")) {
            ++this->deadly_requests;
            std::this_thread::sleep_for(milliseconds(20));
            this->replica.Crash();
            return;
          }
          write(EventChunk());
          write("0\r\n\r\n");
        }) {}

  std::atomic<int> deadly_requests = 0;
  RawReplica replica;
};

struct FragileReplicas {
  explicit FragileReplicas(int count) {
    for (int i = 0; i < count; ++i) {
      this->items.push_back(std::make_unique<FragileReplica>("r" + std::to_string(i)));
    }
  }

  auto ListAt(TestEntry& entry) -> void {
    for (auto& item : this->items) entry.List(item->replica);
  }
  auto CountCrashed() const -> std::ptrdiff_t {
    return std::count_if(this->items.begin(), this->items.end(),
                         [](const auto& item) { return item->replica.HasCrashed(); });
  }
  auto CountDeadlyRequests() const -> int {
    int count = 0;
    for (const auto& item : this->items) count += item->deadly_requests;
    return count;
  }

  std::vector<std::unique_ptr<FragileReplica>> items;
};

auto PromptRequest(const std::string& id, const std::string& blocks,
                   const std::string& target = "/stream/x") -> net::HttpRequest {
  auto request = Get(target, id);
  request.headers.emplace_back("Blocks", blocks);
  return request;
}

// A request whose prompt has `fillers` shared blocks after the given ones.
auto LongPromptRequest(const std::string& id, const std::string& blocks, int fillers)
    -> net::HttpRequest {
  auto request = PromptRequest(id, blocks);
  request.headers.emplace_back("Filler-Blocks", std::to_string(fillers));
  return request;
}

// Returns the value of a metric of the entry, or nothing if it is not exported.
auto ReadMetric(TestEntry& entry, const std::string& name) -> std::optional<double> {
  const auto text = "\n" + entry.Call(Get("/metrics"), true).body;
  const auto found = text.find("\n" + name + " ");
  if (found == std::string::npos) return std::nullopt;
  return std::stod(text.substr(found + name.size() + 2));
}

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(testPromptThatCrashesReplicasIsHeldBack);
  CPPUNIT_TEST(testEntryThatStartsLaterHoldsThePromptBack);
  CPPUNIT_TEST(testAttemptsAtReplicasEndWithTheQuarantine);
  CPPUNIT_TEST(testReplicaThatCrashesBeforeItAnswers);
  CPPUNIT_TEST(testRequestsSentOnceCrashReplicasBeforeTheyAnswer);
  CPPUNIT_TEST(testReplicasThatCrashBehindAnOpenAddress);
  CPPUNIT_TEST(testRequestsSentOnceAtManyEntries);
  CPPUNIT_TEST(testSilenceBeforeARestartIsNoEvidence);
  CPPUNIT_TEST(testCutResponsesOfLiveReplicasAreNoEvidence);
  CPPUNIT_TEST(testSoundPlainResponsesOffsetCrashes);
  CPPUNIT_TEST(testCrashUnderALongPromptTakesLittleMemory);
  CPPUNIT_TEST(testDeadlyBlockOfLongPromptsIsHeldBack);
  CPPUNIT_TEST(testLinkThatMissedUpdatesGetsAllEvidence);
  CPPUNIT_TEST(testAllEvidenceFitsIntoAMessage);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that share a prompt block crashing one replica after the other, and
  // against refusing sound requests that share another block with them.
  auto testPromptThatCrashesReplicasIsHeldBack() -> void {
    FragileReplicas replicas(10);
    TestEntry first;
    TestEntry second(LinkedTo(first));
    for (auto* entry : {&first, &second}) {
      entry->Configure(MakeFleetConfig());
      replicas.ListAt(*entry);
    }
    CallerResponse last;
    for (int i = 0; i < 8; ++i) {
      auto& entry = i % 2 == 0 ? first : second;
      last = entry.Call(PromptRequest("deadly-" + std::to_string(i), kDeadlyBlocks));
      const auto sound = entry.Call(PromptRequest("sound-" + std::to_string(i), kSoundBlocks));
      CPPUNIT_ASSERT_EQUAL(200, sound.status);
      CPPUNIT_ASSERT(sound.whole);
      // Longer than two entries take to tell each other.
      std::this_thread::sleep_for(milliseconds(300));
    }
    CPPUNIT_ASSERT(replicas.CountCrashed() < 5);
    CPPUNIT_ASSERT_EQUAL(503, last.status);
    CPPUNIT_ASSERT(last.body.find("\"outcome\":\"not_run\"") != std::string::npos);
    CPPUNIT_ASSERT(!net::FindHeader(last.headers, "Retry-After").empty());
  }

  // Guards against an entry that was restarted sending what the others hold back.
  auto testEntryThatStartsLaterHoldsThePromptBack() -> void {
    FragileReplicas replicas(6);
    TestEntry first;
    first.Configure(MakeFleetConfig());
    replicas.ListAt(first);
    CrashReplicas(first);
    TestEntry second(LinkedTo(first));
    second.Configure(MakeFleetConfig());
    replicas.ListAt(second);
    std::this_thread::sleep_for(milliseconds(1500));
    const auto sent_before = replicas.CountDeadlyRequests();
    CPPUNIT_ASSERT_EQUAL(503, second.Call(PromptRequest("deadly-9", kDeadlyBlocks)).status);
    CPPUNIT_ASSERT_EQUAL(sent_before, replicas.CountDeadlyRequests());
    CPPUNIT_ASSERT_EQUAL(200, second.Call(PromptRequest("sound-9", kSoundBlocks)).status);
  }

  // Guards against requests that reached a replica before the quarantine crashing it later: the
  // attempt is ended, and its caller is told that the request may have run.
  auto testAttemptsAtReplicasEndWithTheQuarantine() -> void {
    std::atomic<int> waiting = 0;
    RawReplica busy("busy", [&](int, const std::string&, const RawReplica::Writer&) {
      ++waiting;
      std::this_thread::sleep_for(milliseconds(100));
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(busy);
    auto sent = std::async(std::launch::async,
                           [&] { return entry.Call(PromptRequest("deadly-sent", kDeadlyBlocks)); });
    while (waiting == 0) std::this_thread::sleep_for(milliseconds(5));
    FragileReplicas replicas(4);
    AcceptDelisting(*entry.relay, "busy");
    replicas.ListAt(entry);
    TestEntry second(LinkedTo(entry));
    second.Configure(MakeFleetConfig());
    replicas.ListAt(second);
    CrashReplicas(second);
    CPPUNIT_ASSERT(sent.wait_for(seconds(2)) == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(502, sent.get().status);
  }

  // Guards against prompts that crash replicas before any response begins.
  auto testReplicaThatCrashesBeforeItAnswers() -> void {
    CPPUNIT_ASSERT(CountCrashesBeforeAnswers("/stream/x", 4) < 5);
  }

  // Guards against requests of a route with one attempt that crash replicas before any response
  // begins: none of them loses two replicas.
  auto testRequestsSentOnceCrashReplicasBeforeTheyAnswer() -> void {
    CPPUNIT_ASSERT(CountCrashesBeforeAnswers("/stream-once/x", 8) < 5);
  }

  // Guards against requests that crash one replica after the other whose addresses go on accepting
  // connections: only their new starts show that they ended.
  auto testReplicasThatCrashBehindAnOpenAddress() -> void {
    std::atomic<int> deadly_requests = 0;
    std::vector<std::unique_ptr<RawReplica>> replicas;
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    std::array<std::atomic<int>, 8> starts{};
    std::array<int, 8> listed{};
    std::array<std::string, 8> ids;
    replicas.reserve(starts.size());
    for (std::size_t i = 0; i < starts.size(); ++i) {
      ids[i] = "r" + std::to_string(i);
      replicas.push_back(std::make_unique<RawReplica>(
          ids[i], [&, i](int, const std::string& request, const RawReplica::Writer& write) {
            ++deadly_requests;
            write(StreamHead(request));
            std::this_thread::sleep_for(milliseconds(20));
            ++starts[i];
            replicas[i]->EndConnections();
          }));
      entry.List(*replicas.back());
    }
    for (int i = 0; i < 8; ++i) {
      entry.Call(PromptRequest("deadly-" + std::to_string(i), kDeadlyBlocks));
      for (std::size_t r = 0; r < starts.size(); ++r) {
        if (starts[r] == listed[r]) continue;
        direct::Listing listing;
        listing.id = ids[r] + "'";
        listing.service = "s";
        listing.address = replicas[r]->address;
        listing.slots = 8;
        AcceptListing(*entry.relay, listing);
        AcceptDelisting(*entry.relay, std::exchange(ids[r], listing.id));
        listed[r] = starts[r];
      }
    }
    CPPUNIT_ASSERT(deadly_requests < 5);
  }

  // Guards against requests of a route with one attempt that crash one replica for each entry: the
  // users allow three after the fifth crash.
  auto testRequestsSentOnceAtManyEntries() -> void {
    std::vector<std::unique_ptr<RawReplica>> replicas;
    std::vector<std::unique_ptr<TestEntry>> entries;
    replicas.reserve(16);
    entries.reserve(10);
    for (int i = 0; i < 16; ++i) {
      replicas.push_back(std::make_unique<RawReplica>(
          "r" + std::to_string(i),
          [&replicas, i](int, const std::string&, const auto&) { replicas[i]->Crash(); }));
    }
    for (int i = 0; i < 10; ++i) {
      auto settings = MakeSettings("entry-" + std::to_string(i));
      if (i > 0) settings.seeds = {entries.front()->node.settings.peers};
      entries.push_back(std::make_unique<TestEntry>(std::move(settings)));
      entries.back()->Configure(MakeFleetConfig());
      for (const auto& replica : replicas) entries.back()->List(*replica);
    }
    for (std::size_t i = 0; i < 24; ++i) {
      entries[i % entries.size()]->Call(
          PromptRequest("deadly-" + std::to_string(i), kDeadlyBlocks, "/stream-once/x"));
      for (const auto& replica : replicas) {
        if (!replica->HasCrashed()) continue;
        for (const auto& entry : entries) AcceptDelisting(*entry->relay, replica->id);
      }
      // Longer than two entries take to tell each other.
      std::this_thread::sleep_for(milliseconds(300));
    }
    CPPUNIT_ASSERT(std::count_if(replicas.begin(), replicas.end(),
                                 [](const auto& replica) { return replica->HasCrashed(); }) <= 8);
  }

  // Guards against refusing sound prompts because replicas that hang are left for others and then
  // restarted: this entry ended those connections, not the replicas.
  auto testSilenceBeforeARestartIsNoEvidence() -> void {
    const auto hang = [](int, const std::string&, const RawReplica::Writer&) {};
    std::vector<std::unique_ptr<RawReplica>> replicas;
    replicas.reserve(10);
    for (int i = 0; i < 10; ++i) {
      replicas.push_back(std::make_unique<RawReplica>("r" + std::to_string(i), hang));
    }
    auto policies = RunningPolicies();
    policies.budget.fleet_constant = 1000;
    TestEntry entry(MakeSettings("entry-1"), policies);
    auto fleet = MakeFleetConfig();
    for (auto& route : fleet.routes) {
      route.latency_objective = milliseconds(300);
      route.timeout = milliseconds(2000);
    }
    entry.Configure(std::move(fleet));
    const auto list = [&](std::int64_t started_ms) {
      for (const auto& replica : replicas) {
        direct::Listing listing;
        listing.id = replica->id;
        listing.service = "s";
        listing.address = replica->address;
        listing.started_ms = started_ms;
        AcceptListing(*entry.relay, listing);
      }
    };
    list(1);
    std::vector<std::future<CallerResponse>> calls;
    calls.reserve(5);
    for (int i = 0; i < 5; ++i) {
      calls.push_back(std::async(std::launch::async, [&entry, i] {
        return entry.Call(PromptRequest("sound-" + std::to_string(i), kSoundBlocks));
      }));
    }
    for (auto& call : calls) call.wait();
    list(2);
    const auto last = entry.Call(PromptRequest("sound", kSoundBlocks));
    CPPUNIT_ASSERT(last.body.find("crashed") == std::string::npos);
  }

  // Guards against refusing sound prompts because replicas that live on broke off responses.
  auto testCutResponsesOfLiveReplicasAreNoEvidence() -> void {
    RawReplica replica("a", [](int, const std::string& id, const RawReplica::Writer& write) {
      write(StreamHead(id));
      if (id.starts_with("cut")) {
        write.Close();
        return;
      }
      write(EventChunk());
      write("0\r\n\r\n");
    });
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    entry.List(replica);
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(
          502, entry.Call(PromptRequest("cut-" + std::to_string(i), kSoundBlocks)).status);
    }
    std::this_thread::sleep_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, entry.Call(PromptRequest("sound", kSoundBlocks)).status);
  }

  // Guards against quarantining popular blocks of routes whose responses are not streams.
  auto testSoundPlainResponsesOffsetCrashes() -> void {
    FragileReplicas replicas(4);
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    replicas.ListAt(entry);
    entry.Call(PromptRequest("deadly-1", kDeadlyBlocks));
    const auto is_suspected = [&](const std::string& block) {
      const auto status = entry.Call(Get("/status"), true).body;
      return status.find("\"block\":\"" + block + "\"") != std::string::npos;
    };
    CPPUNIT_ASSERT(is_suspected("1") && is_suspected("3"));
    for (const auto* id : {"sound-1", "sound-2"}) {
      auto request = PromptRequest(id, kSoundBlocks);
      request.target = "/again/x";
      CPPUNIT_ASSERT_EQUAL(200, entry.Call(request).status);
    }
    CPPUNIT_ASSERT(!is_suspected("1") && is_suspected("3"));
  }

  // Guards against evidence that grows with the square of the prompt: one crash would take an entry
  // over its memory, and its message to each other entry over the limit on messages.
  auto testCrashUnderALongPromptTakesLittleMemory() -> void {
    constexpr int blocks = 2646;
    constexpr double max_bytes_per_block = 256;
    FragileReplicas replicas(1);
    TestEntry first;
    TestEntry second(LinkedTo(first));
    for (auto* entry : {&first, &second}) {
      entry->Configure(MakeFleetConfig());
      replicas.ListAt(*entry);
    }
    first.Call(LongPromptRequest("deadly-1", kDeadlyBlocks, blocks));
    double bytes = 0;
    for (const auto* holder : {"table", "updates"}) {
      const auto held = ReadMetric(
          first, "filbertstair_crash_evidence_bytes{holder=\"" + std::string(holder) + "\"}");
      CPPUNIT_ASSERT(held && *held > 0);
      bytes += *held;
    }
    CPPUNIT_ASSERT(bytes < blocks * max_bytes_per_block);
    const auto knows_crash = [&] {
      return second.Call(Get("/status"), true).body.find("\"crashes\":1") != std::string::npos;
    };
    const auto deadline = std::chrono::steady_clock::now() + seconds(5);
    while (!knows_crash() && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(50));
    }
    CPPUNIT_ASSERT(knows_crash());
  }

  // Guards against a deadly block that is never held back because its prompts have more blocks than
  // are remembered of a crash.
  auto testDeadlyBlockOfLongPromptsIsHeldBack() -> void {
    constexpr int blocks = 700;
    FragileReplicas replicas(10);
    TestEntry first;
    TestEntry second(LinkedTo(first));
    for (auto* entry : {&first, &second}) {
      entry->Configure(MakeFleetConfig());
      replicas.ListAt(*entry);
    }
    for (int i = 0; i < 8; ++i) {
      auto& entry = i % 2 == 0 ? first : second;
      entry.Call(LongPromptRequest("deadly-" + std::to_string(i), kDeadlyBlocks, blocks));
      const auto sound =
          entry.Call(LongPromptRequest("sound-" + std::to_string(i), kSoundBlocks, blocks));
      CPPUNIT_ASSERT_EQUAL(200, sound.status);
      // Longer than two entries take to tell each other.
      std::this_thread::sleep_for(milliseconds(300));
    }
    CPPUNIT_ASSERT(replicas.CountCrashed() < 5);
    CPPUNIT_ASSERT_EQUAL(503,
                         first.Call(LongPromptRequest("deadly-9", kDeadlyBlocks, blocks)).status);
  }

  // Guards against a crash that another entry never hears of because too many updates came after it
  // before its link sent the next message.
  auto testLinkThatMissedUpdatesGetsAllEvidence() -> void {
    constexpr std::uint64_t retained = 10;
    DispatchTable table;
    const direct::Prompt prompt{"m", 10, 10, {{1, 1}, {3, 1}, {4, 1}}};
    direct::AddEvidence(table.quarantine, {}, direct::CollectEvidence(prompt, {"r1", node::Now()}));
    std::optional<std::uint64_t> sent_count = 0;
    table.quarantine_update_count = retained + 1;
    for (std::uint64_t i = 0; i < retained; ++i) table.quarantine_updates.push_back({{}, {5}});
    wire::EntryState message;
    CollectQuarantineUpdates(table, sent_count, message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, message.crashes.size());
    CPPUNIT_ASSERT_EQUAL(prompt.blocks.size(), message.crashes.front().blocks.size());
    CPPUNIT_ASSERT_EQUAL(table.quarantine_update_count, sent_count.value());
  }

  // Guards against a full table of evidence that no other entry accepts: a link takes messages of
  // up to 4 MiB, of which other state needs a part.
  auto testAllEvidenceFitsIntoAMessage() -> void {
    constexpr std::size_t max_bytes = std::size_t{1} << 20;
    constexpr std::uint64_t blocks = 2700;
    constexpr std::uint64_t crashes = 20;
    DispatchTable table;
    const direct::QuarantinePolicy policy;
    for (std::uint64_t crash = 0; crash < crashes; ++crash) {
      direct::Prompt prompt{"m", 10, 10, {}};
      for (std::uint64_t i = 0; i < blocks; ++i) {
        prompt.blocks.push_back({crash / 4 * blocks + i, 1});
      }
      direct::AddEvidence(
          table.quarantine, policy,
          direct::CollectEvidence(prompt, {"replica-" + std::to_string(crash), node::Now()}));
    }
    const auto pieces = direct::CountEvidence(table.quarantine);
    CPPUNIT_ASSERT(pieces <= policy.max_evidence);
    CPPUNIT_ASSERT(pieces > policy.max_evidence - policy.max_crashes_per_block);
    std::optional<std::uint64_t> sent_count;
    wire::EntryState message;
    CollectQuarantineUpdates(table, sent_count, message);
    CPPUNIT_ASSERT(wire::Encode(message).size() < max_bytes);
  }

 private:
  static auto LinkedTo(const TestEntry& entry) -> settings::Settings {
    auto settings = MakeSettings("entry-2");
    settings.seeds = {entry.node.settings.peers};
    return settings;
  }

  // Sends requests that crash replicas until the entry holds them back.
  static auto CrashReplicas(TestEntry& entry) -> void {
    for (int i = 0; i < 4; ++i) {
      if (entry.Call(PromptRequest("deadly-" + std::to_string(i), kDeadlyBlocks)).status == 503) {
        return;
      }
    }
    CPPUNIT_FAIL("the prompt is not held back");
  }

  // Sends requests that crash replicas before any response begins. Returns how many of eight ended.
  static auto CountCrashesBeforeAnswers(const std::string& target, int requests) -> std::ptrdiff_t {
    std::vector<std::unique_ptr<RawReplica>> replicas;
    TestEntry entry;
    entry.Configure(MakeFleetConfig());
    for (int i = 0; i < 8; ++i) {
      replicas.push_back(std::make_unique<RawReplica>(
          "r" + std::to_string(i),
          [&replicas, i](int, const std::string&, const auto&) { replicas[i]->Crash(); }));
      entry.List(*replicas.back());
    }
    for (int i = 0; i < requests; ++i) {
      entry.Call(PromptRequest("deadly-" + std::to_string(i), "13", target));
    }
    return std::count_if(replicas.begin(), replicas.end(),
                         [](const auto& replica) { return replica->HasCrashed(); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}  // namespace
}  // namespace filbertstair::relay
