#include "tests/fleet/load.h"

#include <array>
#include <random>

namespace filbertstair::fleet {
namespace {

using std::chrono::milliseconds;
using Random = std::mt19937_64;

// Longer than the request timeout of the documents, so that the fleet answers first.
constexpr auto kCallTimeout = std::chrono::seconds(12);

// Pause of a caller between two calls; keeps the machine's load low.
constexpr milliseconds kPause{10};

// Longest wait before a key is repeated once its first calls are answered.
constexpr std::uint64_t kRepeatMs = 300;

constexpr std::array kWorkspaces{"inspectors", "vendors", "buyers"};

auto Send(Load& load, const Call& call) -> void {
  auto outcome = Invoke(call, "caller", *load.recorder);
  const std::lock_guard lock(load.mutex);
  load.outcomes.push_back(std::move(outcome));
}

// Returns the address of an entry that the load balancer offers; empty if there is none.
auto PickAddress(const Load& load, Random& random) -> std::string {
  std::vector<const Target*> open;
  for (const auto& target : load.targets) {
    if (target->open) open.push_back(target.get());
  }
  return open.empty() ? "" : open[random() % open.size()]->address;
}

// Sends one call with a key twice at the same time and once more later, at random entries.
auto SendKeyed(Load& load, Random& random, Call call) -> void {
  auto repeat = call;
  repeat.id += "-b";
  repeat.address = PickAddress(load, random);
  std::thread other([&] { Send(load, repeat); });
  Send(load, call);
  other.join();
  std::this_thread::sleep_for(milliseconds(random() % kRepeatMs));
  call.id += "-c";
  call.address = PickAddress(load, random);
  if (!call.address.empty()) Send(load, call);
}

auto RunCaller(Load& load, std::uint64_t index) -> void {
  Random random(load.seed * 1000 + index);
  for (std::uint64_t serial = 0; !load.stop; ++serial) {
    const auto kind = core::kNames<CallKind>[random() % core::kNames<CallKind>.size()].first;
    const auto* workspace = kWorkspaces[random() % kWorkspaces.size()];
    const auto entropy = random();
    const auto address = PickAddress(load, random);
    std::this_thread::sleep_for(kPause);
    if (address.empty()) continue;
    const auto id =
        std::to_string(index) + "-" + std::to_string(serial) + "-" + std::string(core::Name(kind));
    auto call = MakeCall(kind, address, id, workspace, entropy);
    if (kind == CallKind::keyed) {
      call.key = MakeKey(index << 32 | serial);
      SendKeyed(load, random, std::move(call));
    } else {
      Send(load, call);
    }
  }
}

}  // namespace

auto MakeCall(CallKind kind, const std::string& address, const std::string& id,
              const std::string& workspace, std::uint64_t entropy) -> Call {
  Call call;
  call.address = address;
  call.id = id;
  call.workspace = workspace;
  call.timeout = kCallTimeout;
  const auto model = [&](const std::string& stream) {
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.service = "reports";
    call.headers["X-Test-Tokens"] = std::to_string(4 + entropy % 60);
    call.body = R"({"model":"reports-8b","prompt":"report","stream":)" + stream + "}";
  };
  const auto application = [&](const std::string& method, const std::string& path) {
    call.method = method;
    call.target = path;
    call.host = "certificates.example";
    call.service = "certificates";
    call.headers["X-Test-Service-Ms"] = std::to_string(5 + entropy % 100);
  };
  switch (kind) {
    case CallKind::whole:
      model("false");
      break;
    case CallKind::streamed:
      model("true");
      break;
    case CallKind::lookup:
      application("GET", "/lookup/7");
      break;
    case CallKind::once:
    case CallKind::keyed:
      application("POST", "/issue");
      call.body = R"({"certificate":17})";
      call.call_class = core::CallClass::once;
      break;
  }
  return call;
}

auto StartLoad(Load& load, int callers) -> void {
  for (int i = 0; i < callers; ++i) {
    load.threads.emplace_back([&load, i] { RunCaller(load, static_cast<std::uint64_t>(i)); });
  }
}

auto StopLoad(Load& load) -> void {
  load.stop = true;
  for (auto& thread : load.threads) thread.join();
  load.threads.clear();
}

auto Summarize(const Load& load) -> std::map<std::string, int> {
  std::map<std::string, int> counts;
  for (const auto& event : load.outcomes) {
    std::string name(core::Name(event.kind));
    if (event.kind == EventKind::refuse) {
      name += " " + std::string(event.outcome ? core::Name(*event.outcome) : "?") + " ";
      name += event.reason;
    }
    ++counts[name];
  }
  return counts;
}

}  // namespace filbertstair::fleet
