// Measures how the cost of the config and membership decisions grows, for the capacity page. Prints
// one Markdown table per slope, which bench/config-slopes.md quotes.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "filbertstair/config/delta.h"
#include "filbertstair/config/fanout.h"
#include "filbertstair/config/table.h"
#include "filbertstair/membership/table.h"
#include "filbertstair/membership/view.h"
#include "filbertstair/membership/vm_list.h"

namespace filbertstair {
namespace {

using config::ObjectKind;

// Microseconds of one call: the least of several rounds, each long enough for the clock.
auto Measure(const std::function<void()>& call) -> double {
  using Clock = std::chrono::steady_clock;
  double best = 1e18;
  for (int round = 0; round < 5; ++round) {
    int calls = 0;
    const auto start = Clock::now();
    std::chrono::duration<double, std::micro> spent{};
    do {
      call();
      ++calls;
      spent = Clock::now() - start;
    } while (spent.count() < 20'000);
    best = std::min(best, spent.count() / calls);
  }
  return best;
}

auto HeapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

auto Id(const char* prefix, std::size_t i) -> std::string { return prefix + std::to_string(i); }

auto Ids(const char* prefix, std::size_t count) -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < count; ++i) ids.push_back(Id(prefix, i));
  return ids;
}

// List of `count` VMs, a tenth of them entries, as the platform publishes it.
auto ListText(std::uint64_t revision, std::size_t count) -> std::string {
  std::ostringstream text;
  text << "{\"revision\": " << revision << ", \"vms\": [";
  for (std::size_t i = 0; i < count; ++i) {
    const auto* role = i % 10 == 0 ? "entry" : "endpoint";
    text << (i == 0 ? "" : ", ") << "{\"id\": \"" << role << "-" << i << "\", \"role\": \"" << role
         << "\", \"address\": \"127.0.0.1:" << 1 + i << "\", \"region\": \"region-" << i % 3
         << "\", \"failure_domain\": \"region-" << i % 3 << "-1\", \"pool\": \""
         << (i % 10 == 0 ? "" : "chat") << "\", \"state\": \""
         << (i == revision ? "leaving" : "live") << "\"}";
  }
  text << "]}";
  return text.str();
}

auto Objects(std::size_t count, std::size_t bytes, std::uint64_t version) -> config::ConfigTable {
  config::ConfigTable table;
  for (std::size_t i = 0; i < count; ++i) {
    config::OfferObject(table,
                        config::MakeObject(ObjectKind::document, Id("service-", i), version,
                                           std::string(bytes, 'x')),
                        {}, core::Time{});
  }
  return table;
}

auto DigestSlopes() -> void {
  std::printf(
      "\n| objects | make digest us | compare equal summary us | compare all rows us | "
      "bytes per object besides the content |\n| --: | --: | --: | --: | --: |\n");
  for (const std::size_t count : {8, 64, 512, 4096}) {
    const auto before = HeapBytes();
    const auto table = Objects(count, 1000, 1);
    const auto bytes = (HeapBytes() - before) / static_cast<double>(count) - 1000;
    const auto newer = Objects(count, 1000, 2);
    const auto summary = config::MakeDigest(table, config::DigestScope::summary);
    const auto all = config::MakeDigest(newer, config::DigestScope::all);
    const auto make = Measure([&] { config::MakeDigest(table, config::DigestScope::summary); });
    const auto equal = Measure([&] { config::CompareDigest(table, summary); });
    const auto rows = Measure([&] { config::CompareDigest(table, all); });
    std::printf("| %zu | %.2f | %.2f | %.2f | %.0f |\n", count, make, equal, rows, bytes);
  }
}

auto ListSlopes() -> void {
  std::printf(
      "\n| VMs | list bytes | parse ms | observe ms | evaluate ms | table bytes per VM | "
      "make delta ms | apply delta ms | delta bytes of one row |\n"
      "| --: | --: | --: | --: | --: | --: | --: | --: | --: |\n");
  for (const std::size_t count : {112, 1120, 5600, 11200}) {
    const auto text = ListText(1, count);
    const auto list = *membership::ParseVmList(text, "vms").list;
    const auto parse = Measure([&] { membership::ParseVmList(text, "vms"); }) / 1000;
    const auto before = HeapBytes();
    membership::MemberTable table;
    membership::ApplyVmList(table, list);
    const auto bytes = (HeapBytes() - before) / static_cast<double>(count);
    auto next = list;
    const auto observe = Measure([&] {
                           ++next.revision;
                           membership::ApplyVmList(table, next);
                         }) /
                         1000;
    const auto evaluate =
        Measure([&] { membership::EvaluateSuspicion(table, core::Time{}); }) / 1000;
    const auto old_list = config::MakeObject(ObjectKind::vm_list, "vms", 1, text);
    const auto new_list =
        config::MakeObject(ObjectKind::vm_list, "vms", 2, ListText(count / 2, count));
    const auto make = Measure([&] { config::MakeDelta(*old_list, *new_list); }) / 1000;
    const auto delta = config::MakeDelta(*old_list, *new_list);
    const auto apply = Measure([&] { config::ApplyDelta(*old_list, delta); }) / 1000;
    std::printf("| %zu | %zu | %.2f | %.2f | %.3f | %.0f | %.2f | %.2f | %zu |\n", count,
                text.size(), parse, observe, evaluate, bytes, make, apply,
                config::DeltaBytes(delta));
  }
}

auto ViewSlopes() -> void {
  std::printf(
      "\n| entries | endpoints | entries per endpoint | links per entry, mean | largest | "
      "view ms | links changed per entry by one entry less, mean |\n"
      "| --: | --: | --: | --: | --: | --: | --: |\n");
  for (const std::size_t entries : {12, 120, 600, 1200}) {
    const auto endpoints = Ids("endpoint-", entries * 25 / 3);
    const auto ids = Ids("entry-", entries);
    const auto fewer = Ids("entry-", entries - 1);
    const auto copies = membership::LinksPerEndpoint(entries, endpoints.size(), 64, 0);
    std::size_t total = 0;
    std::size_t largest = 0;
    std::size_t changed = 0;
    for (const auto& id : fewer) {
      const auto links = membership::SelectLinkedEndpoints(id, ids, endpoints, copies, 64).size();
      total += links;
      largest = std::max(largest, links);
      changed += membership::SelectLinkedEndpoints(id, fewer, endpoints, copies, 64).size() - links;
    }
    const auto others = static_cast<double>(fewer.size());
    const auto time =
        Measure([&] { membership::SelectLinkedEndpoints(ids[0], ids, endpoints, copies, 64); }) /
        1000;
    std::printf("| %zu | %zu | %zu | %.1f | %zu | %.2f | %.3f |\n", entries, endpoints.size(),
                std::min(copies, entries), static_cast<double>(total) / others, largest, time,
                static_cast<double>(changed) / others);
  }
}

auto FanoutSlopes() -> void {
  std::printf(
      "\n| entries | peers per entry, mean | largest | announcements of one change per "
      "entry | hops to all from six | choose peers ms |\n"
      "| --: | --: | --: | --: | --: | --: |\n");
  for (const std::size_t entries : {12, 120, 600, 1200, 2400}) {
    std::vector<config::Peer> peers;
    for (std::size_t i = 0; i < entries; ++i) {
      peers.push_back({Id("entry-", i), std::to_string(i % 3)});
    }
    std::vector<std::set<std::size_t>> links(entries);
    for (std::size_t i = 0; i < entries; ++i) {
      for (const auto j : config::ChoosePeerLinks(peers[i].id, peers, {})) {
        links[i].insert(j);
        links[j].insert(i);
      }
    }
    std::size_t total = 0;
    std::size_t largest = 0;
    std::size_t announced = 0;
    // Each entry announces a change to its peers except the one that it learned it from.
    for (const auto& own : links) {
      total += own.size();
      largest = std::max(largest, own.size());
      announced += std::min(own.size() - 1, config::FanoutRules{}.max_announce_targets);
    }
    std::set<std::size_t> reached{0, 1, 2, 3, 4, 5};
    int hops = 0;
    while (reached.size() < entries && hops < 20) {
      auto next = reached;
      for (const auto i : reached) next.insert(links[i].begin(), links[i].end());
      reached = next;
      ++hops;
    }
    const auto count = static_cast<double>(entries);
    const auto time = Measure([&] { config::ChoosePeerLinks(peers[0].id, peers, {}); }) / 1000;
    std::printf("| %zu | %.1f | %zu | %.1f | %d | %.3f |\n", entries,
                static_cast<double>(total) / count, largest, static_cast<double>(announced) / count,
                hops, time);
  }
}

}  // namespace
}  // namespace filbertstair

auto main() -> int {
  filbertstair::DigestSlopes();
  filbertstair::ListSlopes();
  filbertstair::ViewSlopes();
  filbertstair::FanoutSlopes();
  return 0;
}
