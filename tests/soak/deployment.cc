#include "tests/soak/deployment.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "tests/standins/history.h"

namespace filbertstair::soak {
namespace {

using std::chrono::milliseconds;

constexpr auto kReadyTime = std::chrono::seconds(20);
// Values of the small deployments.
constexpr const char* kCores = "0.19";
constexpr const char* kMemoryMb = "260";
// Delay before a process that has ended is started again.
constexpr std::int64_t kRestartDelayUs = 100'000;
// Revisions of the store between two of its starts.
constexpr int kRevisionStep = 100'000;
// The same of versions of the configuration: an entry takes no older one.
constexpr int kVersionStep = 100;
// Time for which the store and replicas are waited for.
constexpr milliseconds kStandinTime{10'000};
// Longest wait for one answer about readiness. Faults are applied by the same thread and must not
// be late by a slow entry.
constexpr milliseconds kProbeTime{100};

auto ReadFile(const std::filesystem::path& path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("cannot read " + path.string());
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

auto Replace(std::string& text, const std::string& placeholder, const std::string& value) -> void {
  for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
    text.replace(at, placeholder.size(), value);
  }
}

// Fills in the template of the deploy file.
auto MakeSettings(const Deployment& deployment, const Entry& entry) -> std::string {
  auto text = ReadFile(FILBERTSTAIR_SOURCE_DIR "/deploy/entry.yaml");
  Replace(text, "{{#zones}} { name: \"{{@}}\", region: \"{{.}}\" }{{,}}{{/zones}}",
          "{ name: \"n1\", region: \"north\" }");
  Replace(text, "{{node-name}}", "entry-" + std::to_string(entry.index));
  Replace(text, "{{region}}", "north");
  Replace(text, "{{zone}}", "n1");
  Replace(text, "{{limits.cpu-quota}}", kCores);
  Replace(text, "{{limits.ram-mb}}", kMemoryMb);
  Replace(text, "{{listen.front}}", entry.callers);
  Replace(text, "{{listen.admin}}", entry.peers);
  Replace(text, "{{listen.readiness}}", entry.admin);
  Replace(text, "{{seed-nodes}}", deployment.entries.front().peers);
  Replace(text, "{{platform.address}}", deployment.store_relay_address);
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("unknown placeholder in deploy/entry.yaml");
  }
  return text;
}

auto Describe(const Replica& replica, const std::string& address) -> std::string {
  return replica.id + " " + replica.service + " " + address;
}

auto LogPath(const Deployment& deployment, const std::string& name) -> std::string {
  return (deployment.directory / (name + ".log")).string();
}

auto AddReplicas(Deployment& deployment) -> void {
  for (int i = 0; i < deployment.plan.replicas; ++i) {
    Replica replica;
    // Every second one is an application replica.
    const bool model = i % 2 == 0;
    replica.id = (model ? "m" : "a") + std::to_string(i);
    replica.service = model ? "llm" : "app";
    replica.address = fleet::FreeAddress();
    replica.relay_address = fleet::FreeAddress();
    replica.relay = std::make_unique<fleet::Relay>(replica.relay_address, replica.address);
    deployment.replicas.push_back(std::move(replica));
  }
}

auto AddEntries(Deployment& deployment) -> void {
  for (int i = 0; i < deployment.plan.entries; ++i) {
    Entry entry;
    entry.index = i;
    entry.callers = fleet::FreeAddress();
    entry.peers = fleet::FreeAddress();
    entry.admin = fleet::FreeAddress();
    entry.relay_address = fleet::FreeAddress();
    entry.relay = std::make_unique<fleet::Relay>(entry.relay_address, entry.callers);
    deployment.entries.push_back(std::move(entry));
  }
}

auto IsReady(const Entry& entry) -> bool {
  if (entry.frozen > 0) return false;
  fleet::Call call;
  call.address = entry.admin;
  call.target = "/readyz";
  call.timeout = kProbeTime;
  return fleet::Send(call).status == 200;
}

auto RecordEnd(Entry& entry) -> void {
  if (!entry.process) return;
  const auto status = entry.process->Wait(milliseconds(0));
  if (!status) return;
  entry.runs.back().ended_at = standins::NowUs();
  entry.runs.back().status = *status;
  entry.process.reset();
  entry.frozen = 0;
}

}  // namespace

auto Control(const std::string& address, const std::string& command) -> bool {
  fleet::Call call;
  call.address = address;
  call.target = "/control/" + command;
  call.timeout = std::chrono::seconds(2);
  return fleet::Send(call).status == 200;
}

auto StartReplica(Deployment& deployment, Replica& replica) -> void {
  replica.process = std::make_unique<fleet::Process>(
      fleet::ProgramPath("standin_users_platform"),
      std::vector<std::string>{"--store", "", "--replica", Describe(replica, replica.address),
                               "--history", (deployment.directory / "replicas.jsonl").string(),
                               "--event-ms", "20"},
      LogPath(deployment, replica.id));
}

auto StartStore(Deployment& deployment) -> void {
  const int start = deployment.store_starts++;
  std::vector<std::string> arguments = {"--store",    deployment.store,
                                        "--revision", std::to_string(10 + start * kRevisionStep),
                                        "--version",  std::to_string(1 + start * kVersionStep)};
  if (deployment.revoked_at > 0) arguments.emplace_back("--revoked");
  for (const auto& replica : deployment.replicas) {
    arguments.insert(arguments.end(), {"--listed", Describe(replica, replica.relay_address)});
  }
  deployment.store_process = std::make_unique<fleet::Process>(
      fleet::ProgramPath("standin_users_platform"), arguments, LogPath(deployment, "store"));
  if (!fleet::WaitFor(kStandinTime, [&] { return Control(deployment.store, "runs"); })) {
    throw std::runtime_error("the store does not answer");
  }
}

auto StartEntry(Deployment& deployment, Entry& entry) -> void {
  EntryRun run;
  run.entry = entry.index;
  run.started_at = standins::NowUs();
  entry.process =
      std::make_unique<fleet::Process>(fleet::ProgramPath("filbertstaird"),
                                       std::vector<std::string>{"--settings", entry.settings_path},
                                       LogPath(deployment, "entry-" + std::to_string(entry.index)));
  entry.runs.push_back(run);
}

auto StartDeployment(const Plan& plan, const std::filesystem::path& directory) -> Deployment {
  Deployment out;
  out.plan = plan;
  out.directory = directory;
  out.store = fleet::FreeAddress();
  out.store_relay_address = fleet::FreeAddress();
  out.store_relay = std::make_unique<fleet::Relay>(out.store_relay_address, out.store);
  AddReplicas(out);
  AddEntries(out);
  for (auto& replica : out.replicas) StartReplica(out, replica);
  StartStore(out);
  for (auto& entry : out.entries) {
    entry.settings = MakeSettings(out, entry);
    entry.settings_path = (directory / ("entry-" + std::to_string(entry.index) + ".yaml")).string();
    std::ofstream(entry.settings_path) << entry.settings;
    StartEntry(out, entry);
  }
  for (auto& entry : out.entries) {
    if (!fleet::WaitReady(entry.admin, kReadyTime)) {
      throw std::runtime_error("entry " + std::to_string(entry.index) + " is not ready");
    }
    entry.runs.back().ready_at = standins::NowUs();
    entry.usage_before = ReadUsage(entry.process->Pid());
  }
  return out;
}

auto ReadUsage(pid_t pid) -> Usage {
  Usage out;
  const auto directory = std::filesystem::path("/proc") / std::to_string(pid);
  std::ifstream status(directory / "status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) out.resident = std::stoll(line.substr(6)) * 1024;
    if (line.starts_with("Threads:")) out.threads = std::stoi(line.substr(8));
  }
  std::error_code error;
  for (auto at = std::filesystem::directory_iterator(directory / "fd", error);
       !error && at != std::filesystem::directory_iterator(); at.increment(error)) {
    ++out.descriptors;
  }
  return out;
}

auto Supervise(Deployment& deployment) -> void {
  for (auto& entry : deployment.entries) {
    RecordEnd(entry);
    if (!entry.process) {
      const bool due = standins::NowUs() >= entry.runs.back().ended_at + kRestartDelayUs;
      if (entry.wanted && due) StartEntry(deployment, entry);
      continue;
    }
    const auto usage = ReadUsage(entry.process->Pid());
    entry.peak_resident = std::max(entry.peak_resident, usage.resident);
    auto& run = entry.runs.back();
    if (run.ready_at == 0 && IsReady(entry)) run.ready_at = standins::NowUs();
  }
  for (auto& replica : deployment.replicas) {
    if (replica.process && !replica.process->Running()) StartReplica(deployment, replica);
  }
}

auto StopEntries(Deployment& deployment, milliseconds time) -> void {
  for (auto& entry : deployment.entries) {
    entry.wanted = false;
    if (!entry.process) continue;
    entry.usage_after = ReadUsage(entry.process->Pid());
    entry.process->Signal(SIGCONT);
    entry.process->Signal(SIGTERM);
    auto& run = entry.runs.back();
    if (run.terminated_at == 0) run.terminated_at = standins::NowUs();
  }
  for (auto& entry : deployment.entries) {
    if (entry.process) entry.process->Wait(time);
    RecordEnd(entry);
    if (!entry.process) continue;
    entry.runs.back().killed_at = standins::NowUs();
    entry.process.reset();
  }
}

}  // namespace filbertstair::soak
