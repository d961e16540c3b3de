#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <thread>

#include "filbertstair/endpoint/endpoint.h"
#include "filbertstair/net/h2.h"
#include "filbertstair/node/control.h"
#include "filbertstair/wire/request.h"
#include "libs/endpoint/src/state.h"

namespace filbertstair::endpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Tcp = boost::asio::ip::tcp;

constexpr core::Incarnation kIncarnation = 1;
constexpr milliseconds kTimeout{5000};

// An endpoint process with one slot, in front of a replica that accepts connections but never
// responds.
struct Process {
  Process() : node(this->MakeSettings(), kIncarnation), endpoint(Start(this->node)) {
    this->endpoint->admission.With([](AdmissionTable& table) {
      admission::OpenEntryStream(table.admission, "e", kIncarnation, 1, "north");
    });
  }

  auto MakeSettings() -> settings::Settings {
    settings::Settings settings;
    settings.role = core::Role::endpoint;
    settings.id = "app-1";
    settings.region = "north";
    settings.failure_domain = "n1";
    settings.workers = 1;
    settings.pool = "p";
    settings.replica = {"127.0.0.1", this->replica.local_endpoint().port()};
    for (auto* address : {&settings.peers, &settings.admin}) {
      const Tcp::acceptor free(this->io, {boost::asio::ip::address_v4::loopback(), 0});
      *address = {"127.0.0.1", free.local_endpoint().port()};
    }
    return settings;
  }

  // Issues a grant although the only slot is taken, as the process does at a high completion rate.
  auto IssueGrant() -> admission::GrantId {
    return this->endpoint->admission.With([](AdmissionTable& table) {
      auto& state = table.admission;
      const admission::DemandKey key{"s", "w", "north"};
      return admission::IssueGrant(state.grants, state.slots, state.demand, key, "e",
                                   node::Now() + seconds(10))
          .id;
    });
  }

  boost::asio::io_context io;
  Tcp::acceptor replica{this->io, {boost::asio::ip::address_v4::loopback(), 0}};
  node::Node node;
  std::shared_ptr<Endpoint> endpoint;
};

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(testStopTellsWhatBecameOfRequests);
  CPPUNIT_TEST_SUITE_END();

  // Messages received on a request stream until it ends.
  using Received = std::vector<wire::RequestMessage>;

  static auto Submit(runtime::Pool& pool, Process& process, std::uint64_t serial,
                     admission::GrantId grant) -> std::future<Received> {
    auto done = std::make_shared<std::promise<Received>>();
    auto future = done->get_future();
    pool.Post(0, [&process, serial, grant, done] {
      Received received;
      try {
        const auto address = settings::FormatAddress(process.node.settings.peers);
        const auto connection = net::Connect(address, kTimeout);
        const auto stream = connection->StartStream(std::string(node::kRequestPath));
        wire::Submit submit;
        submit.attempt = {"e", kIncarnation, serial};
        submit.grant = grant;
        submit.endpoint = kIncarnation;
        submit.service = "s";
        submit.workspace = "w";
        submit.call_class = core::CallClass::once;
        submit.remaining = seconds(30);
        submit.method = "POST";
        submit.target = "/";
        stream->Send(wire::Encode(submit));
        stream->Finish();
        const auto latest = node::Now() + kTimeout;
        while (const auto bytes = stream->ReceiveUntil(latest)) {
          received.push_back(wire::DecodeRequest(*bytes, "endpoint"));
        }
      } catch (const std::exception&) {
        // The messages received so far are checked by the test.
      }
      done->set_value(std::move(received));
    });
    return future;
  }

 public:
  // Guards against a shutdown that does not report that a staged request never ran, so that its
  // caller can't safely retry it, and against one that reports this of a request that may have run.
  auto testStopTellsWhatBecameOfRequests() -> void {
    Process process;
    runtime::Pool pool{1, [](const std::exception&) {}};
    auto running = Submit(pool, process, 1, 0);
    std::this_thread::sleep_for(milliseconds(200));
    auto staged = Submit(pool, process, 2, process.IssueGrant());
    std::this_thread::sleep_for(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, process.node.in_flight.Count());
    Drain(*process.endpoint);
    CancelRequests(*process.endpoint, node::StopScope::unanswered);
    const auto refused = staged.get();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.size());
    const auto& verdict = std::get<wire::Verdict>(refused[0]);
    CPPUNIT_ASSERT(!verdict.admitted);
    CPPUNIT_ASSERT(verdict.reason == core::Reason::draining);
    CPPUNIT_ASSERT(verdict.status == core::Outcome::not_run);
    const auto ended = running.get();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.size());
    CPPUNIT_ASSERT(std::get<wire::Verdict>(ended[0]).admitted);
    const auto& end = std::get<wire::End>(ended[1]);
    CPPUNIT_ASSERT(!end.complete);
    CPPUNIT_ASSERT(end.reason == core::Reason::connection_lost);
    CPPUNIT_ASSERT(end.outcome == core::Outcome::unknown);
    const auto late = Submit(pool, process, 3, 0).get();
    CPPUNIT_ASSERT(std::get<wire::Verdict>(late.at(0)).reason == core::Reason::draining);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace filbertstair::endpoint
