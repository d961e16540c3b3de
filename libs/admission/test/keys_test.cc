#include "filbertstair/admission/keys.h"

#include <algorithm>

#include "filbertstair/core/rendezvous.h"
#include "property.h"

namespace filbertstair::admission {
namespace {

using core::Reason;
using std::chrono::milliseconds;

auto WallAt(double seconds) -> WallTime {
  return WallTime(std::chrono::hours(1)) + milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

auto KeyAt(int number, double issued) -> IdempotencyKey {
  return {"key-" + std::to_string(number), WallAt(issued)};
}

// Endpoint process whose system clock differs from the true time by `skew` seconds.
struct Endpoint {
  KeyPolicy policy;
  KeyTable table;
  OwnerHistory history;
  double skew = 0;

  Endpoint(const std::string& id, double started, double skew = 0) : skew(skew) {
    this->table.started_at = WallAt(started + skew);
    this->history.self = id;
  }

  auto Observe(const std::vector<std::string>& ids, double now) -> void {
    ObserveEndpoints(this->history, this->policy, ids, WallAt(now + this->skew));
  }

  auto Admit(const IdempotencyKey& key, double now) -> std::optional<Refusal> {
    return AdmitKey(this->table, this->history, this->policy, "certify", "office", key,
                    WallAt(now + this->skew));
  }

  auto IsRefused(const IdempotencyKey& key, double now, Reason reason, AttemptStatus status)
      -> bool {
    return this->Admit(key, now) == Refusal{reason, status};
  }
};

// Returns the number of the first key that `owner` owns among `ids`.
auto NumberOwnedBy(const std::string& owner, const std::vector<std::string>& ids) -> int {
  int number = 0;
  while (ids[core::RendezvousOwner(ScopedKeyText("certify", "office", KeyAt(number, 0)), ids)] !=
         owner) {
    ++number;
  }
  return number;
}

const std::vector<std::string> kOnlyA{"a"};
const std::vector<std::string> kAAndB{"a", "b"};

class KeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeysTest);
  CPPUNIT_TEST(testParse);
  CPPUNIT_TEST(testRepeated);
  CPPUNIT_TEST(testNotRunFreesTheKey);
  CPPUNIT_TEST(testScope);
  CPPUNIT_TEST(testTimeOfIssue);
  CPPUNIT_TEST(testStart);
  CPPUNIT_TEST(testOwnerChanges);
  CPPUNIT_TEST(testRestartedHistory);
  CPPUNIT_TEST(testEviction);
  CPPUNIT_TEST(testTwoOwnersNeverRunOneKey);
  CPPUNIT_TEST_SUITE_END();

  Endpoint endpoint{"a", -1000};

 public:
  auto setUp() -> void override {
    this->endpoint = Endpoint("a", -1000);
    this->endpoint.Observe(kOnlyA, -1000);
  }

  // Guards against accepting a key without a reliable issue time; a wrong time would disable the
  // protection against a second execution.
  auto testParse() -> void {
    const auto uuid = ParseIdempotencyKey("018d2f3c-9a00-7abc-8def-0123456789ab", std::nullopt);
    CPPUNIT_ASSERT(uuid && uuid->issued_at == WallTime(milliseconds(0x018d2f3c9a00)));
    const auto explicit_time = ParseIdempotencyKey("letter-17", "1700000000000");
    CPPUNIT_ASSERT(explicit_time &&
                   explicit_time->issued_at == WallTime(milliseconds(1700000000000)));
    CPPUNIT_ASSERT(ParseIdempotencyKey("018d2f3c-9a00-7abc-8def-0123456789ab", "1705894517248"));
    for (const auto* text :
         {"", "letter-17", "018d2f3c-9a00-4abc-8def-0123456789ab",
          "018d2f3c-9a00-7abc-cdef-0123456789ab", "018d2f3c-9a00-7abc-8def-0123456789ag",
          "018d2f3c-9a00-7abc-8def_0123456789ab"}) {
      CPPUNIT_ASSERT(!ParseIdempotencyKey(text, std::nullopt));
    }
    for (const auto* time : {"", "-1", "1e3", "17 ", "99999999999999999999", "281474976710656"}) {
      CPPUNIT_ASSERT(!ParseIdempotencyKey("letter-17", time));
    }
    CPPUNIT_ASSERT(!ParseIdempotencyKey("018d2f3c-9a00-7abc-8def-0123456789ab", "1700000000000"));
    CPPUNIT_ASSERT(!ParseIdempotencyKey(std::string(256, 'k'), "1700000000000"));
  }

  // Guards against a second execution with the same key, and against reporting a wrong status of
  // the first one.
  auto testRepeated() -> void {
    const auto key = KeyAt(1, 0);
    const auto hash = HashKey(ScopedKeyText("certify", "office", key));
    CPPUNIT_ASSERT(!this->endpoint.Admit(key, 0));
    CPPUNIT_ASSERT(this->endpoint.IsRefused(key, 1, Reason::key_repeated, AttemptStatus::running));
    CPPUNIT_ASSERT(
        this->endpoint.IsRefused(KeyAt(1, 1), 1, Reason::key_repeated, AttemptStatus::running));
    RecordKeyOutcome(this->endpoint.table, hash, core::Outcome::unknown);
    CPPUNIT_ASSERT(this->endpoint.IsRefused(key, 1, Reason::key_repeated, AttemptStatus::unknown));
    RecordKeyOutcome(this->endpoint.table, hash, core::Outcome::ran);
    CPPUNIT_ASSERT(this->endpoint.IsRefused(key, 1, Reason::key_repeated, AttemptStatus::ran));
  }

  // Guards against a key that cannot be reused after its attempt did not run.
  auto testNotRunFreesTheKey() -> void {
    const auto key = KeyAt(1, 0);
    CPPUNIT_ASSERT(!this->endpoint.Admit(key, 0));
    RecordKeyOutcome(this->endpoint.table, HashKey(ScopedKeyText("certify", "office", key)),
                     core::Outcome::not_run);
    CPPUNIT_ASSERT(this->endpoint.table.by_issue_time.empty());
    CPPUNIT_ASSERT(!this->endpoint.Admit(key, 0));
  }

  // Guards against one workspace's key causing the refusal of another workspace's call.
  auto testScope() -> void {
    CPPUNIT_ASSERT(ScopedKeyText("a", "bc", {"k", {}}) != ScopedKeyText("ab", "c", {"k", {}}));
    CPPUNIT_ASSERT(ScopedKeyText("a", "b", {"k", {}}) != ScopedKeyText("a", "c", {"k", {}}));
  }

  // Guards against accepting a key after its lifetime, when its record may have been evicted, and
  // against one issued by a clock too far ahead, for which the history is not known yet.
  auto testTimeOfIssue() -> void {
    const auto not_run = AttemptStatus::not_run;
    CPPUNIT_ASSERT(
        this->endpoint.IsRefused(KeyAt(1, 2.001), 0, Reason::invalid_idempotency_key, not_run));
    CPPUNIT_ASSERT(!this->endpoint.Admit(KeyAt(2, 2), 0));
    CPPUNIT_ASSERT(this->endpoint.IsRefused(KeyAt(3, 0), 600, Reason::key_history_lost,
                                            AttemptStatus::unknown));
    CPPUNIT_ASSERT(!this->endpoint.Admit(KeyAt(4, 0), 599));
  }

  // Guards against a restarted process that runs a key that its previous incarnation may have run.
  auto testStart() -> void {
    Endpoint restarted("a", 0);
    restarted.Observe(kOnlyA, 1);
    CPPUNIT_ASSERT(restarted.IsRefused(KeyAt(1, 14.999), 20, Reason::key_history_lost,
                                       AttemptStatus::unknown));
    CPPUNIT_ASSERT(!restarted.Admit(KeyAt(1, 15), 20));
    Endpoint without_endpoints("a", -1000);
    CPPUNIT_ASSERT(
        without_endpoints.IsRefused(KeyAt(1, 15), 20, Reason::wrong_owner, AttemptStatus::not_run));
  }

  // Guards against running a key that another endpoint owned, or may have taken over, around its
  // issue time.
  auto testOwnerChanges() -> void {
    const auto of_a = NumberOwnedBy("a", kAAndB);
    const auto of_b = NumberOwnedBy("b", kAAndB);
    const auto unknown = AttemptStatus::unknown;
    this->endpoint.Observe(kAAndB, 0);
    CPPUNIT_ASSERT(
        this->endpoint.IsRefused(KeyAt(of_b, 5), 5, Reason::wrong_owner, AttemptStatus::not_run));
    CPPUNIT_ASSERT(!this->endpoint.Admit(KeyAt(of_a, 5), 5));
    this->endpoint.Observe(kOnlyA, 100);
    CPPUNIT_ASSERT(
        this->endpoint.IsRefused(KeyAt(of_b, 114), 120, Reason::key_history_lost, unknown));
    CPPUNIT_ASSERT(!this->endpoint.Admit(KeyAt(of_b, 114.001), 120));
    this->endpoint.Observe({"b"}, 200);
    CPPUNIT_ASSERT(
        this->endpoint.IsRefused(KeyAt(7, 200), 200, Reason::wrong_owner, AttemptStatus::not_run));
    this->endpoint.Observe(kOnlyA, 201);
    CPPUNIT_ASSERT(this->endpoint.IsRefused(KeyAt(7, 214), 230, Reason::key_history_lost, unknown));
    this->endpoint.Observe(kOnlyA, 2000);
    CPPUNIT_ASSERT(this->endpoint.history.removed.empty());
  }

  // Guards against a suspended process that relies on an outdated endpoint set.
  auto testRestartedHistory() -> void {
    RestartHistory(this->endpoint.history, WallAt(0));
    CPPUNIT_ASSERT(this->endpoint.IsRefused(KeyAt(1, 5), 20, Reason::key_history_lost,
                                            AttemptStatus::unknown));
    CPPUNIT_ASSERT(!this->endpoint.Admit(KeyAt(1, 14), 20));
  }

  // Guards against unbounded memory, and against a second execution with an evicted key.
  auto testEviction() -> void {
    this->endpoint.policy.max_keys = 2;
    for (const auto number : {0, 1, 2}) {
      CPPUNIT_ASSERT(!this->endpoint.Admit(KeyAt(number, number), 10));
    }
    EvictKeys(this->endpoint.table, this->endpoint.policy, WallAt(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->endpoint.table.keys.size());
    CPPUNIT_ASSERT(this->endpoint.IsRefused(KeyAt(0, 0), 10, Reason::key_history_lost,
                                            AttemptStatus::unknown));
    CPPUNIT_ASSERT(
        this->endpoint.IsRefused(KeyAt(1, 1), 10, Reason::key_repeated, AttemptStatus::running));
    EvictKeys(this->endpoint.table, this->endpoint.policy, WallAt(700));
    CPPUNIT_ASSERT(this->endpoint.table.keys.empty() && this->endpoint.table.by_issue_time.empty());
  }

  // Guards against two endpoints that run the same key while the endpoint set changes. Each process
  // observes each change with a delay shorter than the quiet period; clocks differ by up to
  // max_skew; processes restart without records.
  auto testTwoOwnersNeverRunOneKey() -> void {
    int refused = 0;
    int ran = 0;
    CheckProperty(2000, [&] {
      struct Event {
        double time = 0;
        std::size_t process = 0;
        // 0 to 99: index of the endpoint set to observe. 100 and above: 100 plus the number of the
        // key to admit. Negative: restart of the process.
        int action = 0;
      };
      const std::vector<std::vector<std::string>> sets{{"a"}, {"b"}, {"a", "b"}, {"a", "b", "c"}};
      const std::vector<std::string> names{"a", "b"};
      const auto words = *RandomWords();
      std::vector<Event> events;
      std::vector<IdempotencyKey> keys;
      std::vector<double> last_observed{0, 0};
      double time = 0;
      for (const auto word : words) {
        Choices choices{word};
        const auto kind = choices.Next(4);
        time += static_cast<double>(choices.Next(40)) / 8;
        if (kind == 0) {
          const auto set = static_cast<int>(choices.Next(sets.size()));
          for (std::size_t process = 0; process < 2; ++process) {
            // Each process observes the changes in order.
            const auto delay = static_cast<double>(choices.Next(100)) / 10;
            last_observed[process] = std::max(last_observed[process], time + delay);
            events.push_back({last_observed[process], process, set});
          }
        } else if (kind == 1 && choices.Next(4) == 0) {
          events.push_back({time, choices.Next(2), -1});
        } else {
          const auto number = static_cast<int>(keys.size());
          const auto skew = static_cast<double>(choices.Next(40)) / 10 - 2;
          keys.push_back(KeyAt(number, time + skew));
          for (std::size_t process = 0; process < 2; ++process) {
            events.push_back({time + static_cast<double>(choices.Next(20)), process, 100 + number});
          }
        }
      }
      std::stable_sort(events.begin(), events.end(),
                       [](const Event& a, const Event& b) { return a.time < b.time; });
      const auto skew = *rc::gen::inRange(0, 21);
      std::vector<Endpoint> processes{Endpoint("a", -1000), Endpoint("b", -1000, skew / 10.0)};
      std::vector<int> set{2, 2};
      for (auto& process : processes) process.Observe(sets[2], -1000);
      std::vector<int> runs(keys.size());
      for (const auto& event : events) {
        auto& process = processes[event.process];
        if (event.action < 0) {
          process = Endpoint(names[event.process], event.time, process.skew);
          process.Observe(sets[set[event.process]], event.time);
        } else if (event.action < 100) {
          set[event.process] = event.action;
          process.Observe(sets[event.action], event.time);
        } else if (const auto refusal = process.Admit(keys[event.action - 100], event.time)) {
          refused += refusal->reason == Reason::key_history_lost ? 1 : 0;
        } else {
          ++ran;
          RC_ASSERT(++runs[event.action - 100] <= 1);
        }
      }
    });
    // The property is vacuous unless many keys run and many are refused.
    CPPUNIT_ASSERT(ran > 1000 && refused > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeysTest);

}  // namespace
}  // namespace filbertstair::admission
