#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/json.hpp>
#include <memory>

#include "filbertstair/net/h2.h"
#include "filbertstair/node/control.h"
#include "filbertstair/node/start.h"
#include "fixture.h"
#include "libs/relay/src/state.h"

namespace filbertstair::relay {
namespace {

// Returns a value of the replica from the entry's status.
auto ReplicaFigure(TestEntry& entry, const std::string& replica, std::string_view name)
    -> std::int64_t {
  const auto status = boost::json::parse(entry.Call(Get("/status"), true).body).as_object();
  for (const auto& item : status.at("replicas").as_array()) {
    const auto& row = item.as_object();
    if (row.at("id").as_string() == replica) {
      return boost::json::value_to<std::int64_t>(row.at(name));
    }
  }
  return -1;
}

// Returns the number of requests that other entries have reported at the replica.
auto RemoteInFlight(TestEntry& entry, const std::string& replica) -> std::int64_t {
  return ReplicaFigure(entry, replica, "elsewhere");
}

auto IsReady(TestEntry& entry) -> bool { return entry.Call(Get("/readyz"), true).status == 200; }

auto WaitFor(const std::function<bool()>& condition, seconds timeout = seconds(8)) -> bool {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return condition();
}

// Addresses that an entry reported to a peer.
struct ReceivedAddresses {
  std::mutex mutex;
  std::vector<std::string> known;
};

// Handlers of a peer that pushes `state` every second and records the addresses that it receives.
auto PeerHandlers(const std::shared_ptr<ReceivedAddresses>& received, const wire::EntryState& state)
    -> node::ControlHandlers {
  node::ControlHandlers handlers;
  handlers.accept_peer = [](const wire::Hello&, const std::shared_ptr<node::Outbox>&) {
    return true;
  };
  handlers.on_message = [received](const wire::Hello&, const wire::ControlMessage& message) {
    const auto* state_message = std::get_if<wire::EntryState>(&message);
    if (state_message == nullptr || state_message->known_addresses.empty()) return;
    const std::lock_guard lock(received->mutex);
    received->known = state_message->known_addresses;
  };
  handlers.push_update = [state](const wire::Hello&, node::Outbox& outbox, bool period_over) {
    if (period_over) outbox.Push(state);
  };
  handlers.on_close = [](const wire::Hello&) {};
  return handlers;
}

class PeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(testEntriesLearnOfEachOthersRequests);
  CPPUNIT_TEST(testReadyAsSoonAsNoPeerIsBetterOff);
  CPPUNIT_TEST(testKeptPartsAreTold);
  CPPUNIT_TEST(testEnoughEntriesStayInRotation);
  CPPUNIT_TEST(testOddAddressesAreNotLearnt);
  CPPUNIT_TEST(testEntriesBeyondTheLinksAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against entries that overload a replica because they don't know of each other's
  // requests, also if they are connected only through a third entry.
  auto testEntriesLearnOfEachOthersRequests() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      runtime::SleepFor(seconds(2));
      responder.Respond(200, AnswerHeaders(request), "");
    });
    auto settings = MakeSettings("entry-2");
    TestEntry seed;
    settings.seeds = {seed.node.settings.peers};
    TestEntry second(settings);
    auto last = MakeSettings("entry-3");
    last.seeds = {seed.node.settings.peers};
    TestEntry third(last);
    for (auto* entry : {&seed, &second, &third}) {
      entry->Configure(MakeFleetConfig());
      entry->List(replica);
    }
    std::vector<std::future<CallerResponse>> answers;
    CPPUNIT_ASSERT(WaitFor([&] {
      if (answers.empty()) {
        answers.push_back(
            std::async(std::launch::async, [&] { return second.Call(Get("/once/x")); }));
      }
      return RemoteInFlight(third, "a") == 1 && RemoteInFlight(seed, "a") == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(200, answers.front().get().status);
    CPPUNIT_ASSERT(WaitFor([&] { return RemoteInFlight(third, "a") == 0; }));
  }

  // Guards against so many entries of a failure domain leaving the rotation in a flood that the
  // balancer falls back to all of them: of three overloaded entries only the weakest leaves.
  auto testEnoughEntriesStayInRotation() -> void {
    std::vector<std::unique_ptr<TestEntry>> entries;
    std::vector<settings::Address> seeds;
    for (const auto& [id, cores] : {std::pair("strong", 0.5), {"weak", 0.2}, {"weakest", 0.1}}) {
      auto settings = MakeSettings(id);
      settings.cores = cores;
      settings.seeds = seeds;
      seeds.push_back(settings.peers);
      entries.push_back(std::make_unique<TestEntry>(settings));
      entries.back()->Configure(MakeFleetConfig());
    }
    // Returns which entries are not ready. All are confirmed first, so that none is out for lack of
    // a confirmation.
    const auto left = [&] {
      for (auto& entry : entries) RecordConfirmation(*entry->relay, TimeSinceBoot());
      std::vector<bool> out;
      out.reserve(entries.size());
      for (auto& entry : entries) out.push_back(!IsReady(*entry));
      return out;
    };
    const std::vector<bool> none(3, false);
    const std::vector<bool> weakest = {false, false, true};
    const auto linked = [&](std::size_t i) {
      const auto status = boost::json::parse(entries[i]->Call(Get("/status"), true).body);
      return status.as_object().at("neighbors").as_array().size() == 2;
    };
    CPPUNIT_ASSERT(WaitFor([&] { return linked(0) && linked(1) && linked(2); }));
    std::atomic<bool> busy = true;
    for (auto& entry : entries) {
      entry->node.pool.Post(0, [&busy] {
        while (busy) {
          std::this_thread::sleep_for(milliseconds(30));
          runtime::SleepFor(milliseconds(1));
        }
      });
    }
    const bool one_left = WaitFor([&] { return left() == weakest; }, seconds(20));
    std::this_thread::sleep_for(milliseconds(1500));
    const bool stays = left() == weakest;
    busy = false;
    CPPUNIT_ASSERT(one_left);
    CPPUNIT_ASSERT(stays);
    CPPUNIT_ASSERT(WaitFor([&] { return left() == none; }, seconds(20)));
  }

  // Guards against shared prefix blocks that are computed again at a third replica because the
  // entry does not know which replicas cache them, also if the entry linked up after they were
  // cached.
  auto testKeptPartsAreTold() -> void {
    FakeReplica replica("a", [](const net::HttpRequest& request, net::Responder& responder) {
      responder.Respond(200, AnswerHeaders(request), "");
    });
    TestEntry first;
    auto settings = MakeSettings("entry-2");
    settings.seeds = {first.node.settings.peers};
    TestEntry second(settings);
    for (auto* entry : {&first, &second}) {
      entry->Configure(MakeFleetConfig());
      entry->List(replica);
    }
    auto request = Get("/once/x");
    request.headers.emplace_back("Shared-Tokens", "4000");
    CPPUNIT_ASSERT_EQUAL(200, first.Call(request).status);
    CPPUNIT_ASSERT(WaitFor([&] { return ReplicaFigure(second, "a", "kept_tokens") == 4000; }));
    auto last = MakeSettings("entry-3");
    last.seeds = {first.node.settings.peers};
    TestEntry third(last);
    third.Configure(MakeFleetConfig());
    third.List(replica);
    CPPUNIT_ASSERT(WaitFor([&] { return ReplicaFigure(third, "a", "kept_tokens") == 4000; }));
  }

  // Guards against an entry that stays out of rotation for a peer whose configuration lapsed after
  // the peer's last message. Both configurations lapse within 200 ms, and messages are a second
  // apart.
  auto testReadyAsSoonAsNoPeerIsBetterOff() -> void {
    const auto confirm_for = [](TestEntry& entry, core::Duration lease) {
      RecordConfirmation(*entry.relay, TimeSinceBoot() - direct::kCredentialLease + lease);
    };
    // Overload is no subject here: an entry whose timers run late beside other processes leaves the
    // rotation for 3 s, whatever the configurations. No mean of samples reaches this threshold.
    Policies policies;
    policies.overload.overload_threshold = 2 * policies.overload.max_delay_sample;
    TestEntry first(MakeSettings("entry-1"), policies);
    auto settings = MakeSettings("entry-2");
    settings.seeds = {first.node.settings.peers};
    TestEntry second(settings, policies);
    first.Configure(MakeFleetConfig());
    second.Configure(MakeFleetConfig());
    for (const milliseconds phase : {milliseconds(0), milliseconds(300), milliseconds(600)}) {
      confirm_for(first, seconds(4));
      confirm_for(second, seconds(4));
      CPPUNIT_ASSERT(WaitFor([&] { return IsReady(first); }));
      std::this_thread::sleep_for(milliseconds(1500));
      confirm_for(first, core::Duration::zero());
      CPPUNIT_ASSERT(!IsReady(first));
      std::this_thread::sleep_for(phase);
      confirm_for(second, milliseconds(1500));
      // Longer than the time between two messages.
      std::this_thread::sleep_for(milliseconds(1200));
      CPPUNIT_ASSERT(!IsReady(first));
      std::this_thread::sleep_for(milliseconds(500));
      CPPUNIT_ASSERT(IsReady(first));
    }
  }

  // Guards against storing addresses that no entry can connect to: each would be retried
  // repeatedly, displace a real one, and spread to all entries.
  auto testOddAddressesAreNotLearnt() -> void {
    const auto received = std::make_shared<ReceivedAddresses>();
    const auto settings = MakeSettings("entry-2");
    wire::EntryState state;
    state.address = settings::FormatAddress(settings.peers);
    state.known_addresses = {"",
                             "text",
                             "127.0.0.1:70000",
                             "127.0.0.1:0",
                             "127.0.0.1",
                             "localhost:80",
                             "127.0.0.1:80 ",
                             "::1:80",
                             "127.0.0.1:-1",
                             "a\nb:80"};
    TestEntry tested_entry;
    node::Node peer(settings, 1);
    node::RunOnWorker(peer, 0, [&] {
      net::ListenStreams(state.address,
                         [&peer, received](const std::shared_ptr<net::Stream>& stream) {
                           node::RunControl(peer, stream, PeerHandlers(received, {}));
                         });
    });
    const auto address = settings::FormatAddress(tested_entry.node.settings.peers);
    peer.pool.Post(0, [&peer, received, state, address] {
      const auto connection = net::Connect(address, milliseconds(1000));
      const auto stream = connection->StartStream(std::string(node::kControlPath));
      node::RunControl(peer, stream, PeerHandlers(received, state));
    });
    const auto known = [&] {
      const std::lock_guard lock(received->mutex);
      return received->known;
    };
    CPPUNIT_ASSERT(WaitFor([&] { return !known().empty(); }));
    CPPUNIT_ASSERT(known() == std::vector<std::string>{state.address});
  }

  // Guards against a large fleet whose entries each count only those that they are linked to, at
  // most 48, and so together use a multiple of the constant of retries.
  auto testEntriesBeyondTheLinksAreCounted() -> void {
    constexpr int reported = 120;
    const auto settings = MakeSettings("entry-2");
    wire::EntryState state;
    state.address = settings::FormatAddress(settings.peers);
    for (int i = 0; i < reported; ++i) {
      state.known_addresses.push_back("127.0.1." + std::to_string(i + 1) + ":1");
    }
    TestEntry tested_entry;
    node::Node peer(settings, 1);
    const auto address = settings::FormatAddress(tested_entry.node.settings.peers);
    const auto received = std::make_shared<ReceivedAddresses>();
    peer.pool.Post(0, [&peer, received, state, address] {
      const auto connection = net::Connect(address, milliseconds(1000));
      const auto stream = connection->StartStream(std::string(node::kControlPath));
      node::RunControl(peer, stream, PeerHandlers(received, state));
    });
    CPPUNIT_ASSERT(WaitFor([&] { return CountEntries(*tested_entry.relay) == reported + 2; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

}  // namespace
}  // namespace filbertstair::relay
