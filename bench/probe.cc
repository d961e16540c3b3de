#include "probe.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace filbertstair::bench {
namespace {

constexpr double kNanosecond = 1e-9;
constexpr double kKibibyte = 1024;
const std::string kControlSent = "filbertstair_control_sent_bytes_total";

// Processor time of all threads. The ticks of /proc are too coarse for idle processes.
auto CpuSeconds(pid_t pid) -> double {
  clockid_t clock = 0;
  timespec time{};
  if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &time) != 0) {
    throw std::runtime_error("no processor time of process " + std::to_string(pid));
  }
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNanosecond;
}

auto MemoryBytes(pid_t pid) -> double {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (in >> word) {
    if (word != "VmRSS:") continue;
    double kibibytes = 0;
    in >> kibibytes;
    return kibibytes * kKibibyte;
  }
  throw std::runtime_error("no VmRSS of process " + std::to_string(pid));
}

auto Get(const std::string& address, const std::string& target) -> std::string {
  fleet::Call call;
  call.address = address;
  call.target = target;
  const auto reply = fleet::Send(call);
  if (reply.status != 200) throw std::runtime_error("GET " + address + target + ": " + reply.error);
  return reply.body;
}

auto ReadMetrics(const std::string& address) -> std::map<std::string, double> {
  std::map<std::string, double> metrics;
  std::istringstream in(Get(address, "/metrics"));
  std::string line;
  while (std::getline(in, line)) {
    const auto space = line.rfind(' ');
    if (line.starts_with('#') || space == std::string::npos) continue;
    metrics[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
  }
  return metrics;
}

auto SentByKind(const NodeSample& node) -> std::map<std::string, double> {
  std::map<std::string, double> kinds;
  for (const auto& [name, value] : node.metrics) {
    if (!name.starts_with(kControlSent)) continue;
    const auto begin = name.find('"') + 1;
    kinds[name.substr(begin, name.rfind('"') - begin)] = value;
  }
  return kinds;
}

}  // namespace

auto TakeSample(const fleet::Fleet& fleet, Bound bound) -> FleetSample {
  FleetSample sample;
  sample.nodes.resize(fleet.nodes.size());
  const auto read_clocks = [&] {
    sample.at = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      const auto& node = *fleet.nodes[i];
      sample.nodes[i].role = node.spec.role;
      sample.nodes[i].cpu_seconds = CpuSeconds(node.daemon->Pid());
      sample.nodes[i].memory_bytes = MemoryBytes(node.daemon->Pid());
      if (node.relay) sample.relayed_bytes += static_cast<double>(node.relay->Bytes());
    }
  };
  if (bound == Bound::end) read_clocks();
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    sample.nodes[i].metrics = ReadMetrics(fleet.nodes[i]->admin);
  }
  const auto counts = boost::json::parse(fleet::ControlPlatform(fleet, "/counts"));
  sample.platform_calls = counts.at("total").to_number<double>();
  if (bound == Bound::begin) read_clocks();
  return sample;
}

auto Seconds(const FleetSample& begin, const FleetSample& end) -> double {
  return std::chrono::duration<double>(end.at - begin.at).count();
}

auto UseOf(const FleetSample& begin, const FleetSample& end, core::Role role) -> RoleUse {
  RoleUse use;
  const double seconds = Seconds(begin, end);
  for (std::size_t i = 0; i < end.nodes.size(); ++i) {
    const auto& last = end.nodes[i];
    if (last.role != role) continue;
    ++use.nodes;
    const double cpu = (last.cpu_seconds - begin.nodes[i].cpu_seconds) / seconds;
    use.cpu_share += cpu;
    use.largest_cpu_share = std::max(use.largest_cpu_share, cpu);
    use.memory_bytes += last.memory_bytes;
    use.largest_memory_bytes = std::max(use.largest_memory_bytes, last.memory_bytes);
    double bytes = 0;
    auto before = SentByKind(begin.nodes[i]);
    for (const auto& [kind, value] : SentByKind(last)) {
      const double rate = (value - before[kind]) / seconds;
      bytes += rate;
      use.kinds[kind] += rate;
    }
    use.control_bytes += bytes;
    use.largest_control_bytes = std::max(use.largest_control_bytes, bytes);
  }
  const auto nodes = static_cast<double>(std::max<std::size_t>(1, use.nodes));
  use.cpu_share /= nodes;
  use.memory_bytes /= nodes;
  use.control_bytes /= nodes;
  for (auto& [kind, rate] : use.kinds) rate /= nodes;
  return use;
}

auto Growth(const FleetSample& begin, const FleetSample& end, const std::string& metric) -> double {
  double total = 0;
  for (std::size_t i = 0; i < end.nodes.size(); ++i) {
    const auto last = end.nodes[i].metrics.find(metric);
    if (last == end.nodes[i].metrics.end()) continue;
    const auto first = begin.nodes[i].metrics.find(metric);
    total += last->second - (first == begin.nodes[i].metrics.end() ? 0 : first->second);
  }
  return total;
}

auto MeanMemory(const FleetSample& sample, core::Role role) -> double {
  double nodes = 0;
  double bytes = 0;
  for (const auto& node : sample.nodes) {
    if (node.role != role) continue;
    ++nodes;
    bytes += node.memory_bytes;
  }
  return nodes > 0 ? bytes / nodes : 0;
}

auto LoadAverage() -> double {
  std::array<double, 1> average{};
  return getloadavg(average.data(), 1) == 1 ? average[0] : 0;
}

}  // namespace filbertstair::bench
