#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

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

auto PromptRequest(const std::string& id, const std::string& blocks) -> net::HttpRequest {
  auto request = Get("/stream/x", id);
  request.headers.emplace_back("Blocks", blocks);
  return request;
}

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(testPromptThatCrashesReplicasIsHeldBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that share a prompt block crashing one replica after the other, and
  // against refusing sound requests that share another block with them.
  auto testPromptThatCrashesReplicasIsHeldBack() -> void {
    FragileReplicas replicas(10);
    TestEntry first;
    auto settings = MakeSettings("entry-2");
    settings.seeds = {first.node.settings.peers};
    TestEntry second(settings);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}  // namespace
}  // namespace filbertstair::relay
