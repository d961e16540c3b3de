#ifndef FILBERTSTAIR_REVIEW_STANDINS_MEMORY_H_
#define FILBERTSTAIR_REVIEW_STANDINS_MEMORY_H_

#include "kit.h"

// The platform's limit on the memory of a process, and callers that notice what its end costs.
namespace review {

inline constexpr int kMemoryMb = 260;   // ram-mb of the sites' edge machines
inline constexpr int kAllowedLost = 3;  // LOST allows three

// A process of the deployment as the platform treats it: it is ended beyond its memory, and started
// again.
struct Machine {
  std::unique_ptr<Entry> entry;
  int over_memory = 0;
  int peak_mb = 0;
  int other_ends = 0;
};

inline auto Summary(const Machine& machine) -> std::string {
  return machine.entry->Name() + ": peak " + std::to_string(machine.peak_mb) + " MB, ended " +
         std::to_string(machine.over_memory) + " times over its memory, " +
         std::to_string(machine.other_ends) + " times otherwise";
}

inline auto Watch(Machine& machine, Record& record, const std::atomic<bool>& done) -> void {
  auto& entry = *machine.entry;
  while (!done) {
    SleepMs(20);
    const int memory = entry.MemoryMb();
    machine.peak_mb = std::max(machine.peak_mb, memory);
    const bool ended = entry.HasEnded();
    if (!ended && memory <= kMemoryMb) continue;
    if (ended) {
      ++machine.other_ends;
      record.Line(entry.Name() + " ended by itself");
    } else {
      ++machine.over_memory;
      record.Line(entry.Name() + " has " + std::to_string(memory) + " MB and is ended");
      entry.Kill();
    }
    SleepMs(1000);
    entry.Start();
  }
}

// Requests that sound replicas of the application began to run.
struct Runs {
  std::mutex mutex;
  std::set<std::string> ids;

  auto Has(const std::string& id) -> bool {
    const std::lock_guard lock(this->mutex);
    return this->ids.contains(id);
  }
};

struct Counts {
  std::atomic<int> served = 0;
  std::atomic<int> lost = 0;
};

// Sends certificates to stamp over a kept connection, one after the other, and counts those that
// were passed on to a replica and got no answer because the entry's connection ended.
inline auto StampOverKeptConnection(const std::string& name, int port, Runs& runs, Counts& counts,
                                    Record& record, const std::atomic<bool>& done) -> void {
  std::shared_ptr<Connection> connection;
  int on_connection = 0;
  for (int i = 0; !done; ++i) {
    if (connection == nullptr) {
      connection = Connection::Open(port);
      on_connection = 0;
    }
    if (connection == nullptr) {
      SleepMs(200);
      continue;
    }
    const auto id = name + "-" + std::to_string(i);
    const bool sent = connection->Send(RequestText(
        {.id = id, .target = "/stamp/lot", .key = "key-1", .body = "lot", .deadline_ms = 2000}));
    const auto reply = connection->Read(true, milliseconds(3000));
    counts.served += Status(reply) == 200 ? 1 : 0;
    const bool no_answer = sent && reply.first.empty() && !connection->TimedOut();
    if (no_answer && on_connection > 0 && runs.Has(id)) {
      ++counts.lost;
      record.Line(id +
                  " was passed on to a sound replica, and its kept connection ended without an "
                  "answer");
    }
    ++on_connection;
    if (!reply.complete || Find(reply.headers, "Connection") == "close") connection = nullptr;
  }
}

}  // namespace review

#endif  // FILBERTSTAIR_REVIEW_STANDINS_MEMORY_H_
