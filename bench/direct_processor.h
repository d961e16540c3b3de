#ifndef FILBERTSTAIR_BENCH_DIRECT_PROCESSOR_H_
#define FILBERTSTAIR_BENCH_DIRECT_PROCESSOR_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "filbertstair/core/types.h"

// Processor time of an entry: one worker that runs work items in order of arrival on a share of a
// core.
namespace filbertstair::bench {

// Processor time of an entry's work, in milliseconds of a whole core, and turns of its worker.
//
// A daemon on loopback with a tenth of a core and more callers than it can serve took 0.108 ms
// (1 KB) to 0.144 ms (12 KB) to refuse a request on a new connection. On the day of the incident it
// was 0.156 with all that an entry does besides, some 0.12 without. An admission of 12 KB with its
// first event took 0.14 more than a refusal. The parts of a sum are estimates.
struct DirectCosts {
  // Taking a new connection, and reading a request and finding its workspace.
  double accept = 0.035;
  double read = 0.045;
  double refuse = 0.04;
  // Accepting a connection and refusing the request on it by its head, in the same turn.
  double screen = 0.04;
  // Sending a request on to its replica, and passing on the head and first event of its answer.
  double admit = 0.095;
  double first_event = 0.095;
  // Each further event, of a daemon on loopback, and the end of an answer, taken for an event.
  double event = 0.034;
  double end = 0.034;
  // One request looked at in a round of assignments. A daemon on loopback with 60 replicas took
  // 0.33 to 0.43 ms more for a request if 16 waited, in two rounds.
  double look = 0.012;
  // One message to or from a linked entry; an estimate.
  double message = 0.02;
  // A timer without work, an estimate, and an answer to the balancer, taken for a refusal on a kept
  // connection.
  double timer = 0.008;
  double probe = 0.085;
  // Turns of the worker in which a request is read: the start and the rest of the head, and the
  // body. With accepting, answering and closing, a refusal took five or six on the day of the
  // incident, of up to 125 ms each.
  int turns_to_read = 3;
};

// A work item: its processor time in milliseconds of a whole core, and what it does at its end.
struct WorkItem {
  double ms = 0;
  std::function<void()> run;
};

// Connections that a worker accepts in one turn, as in libs/net. The others stay in the backlog, so
// that timers and answers do not wait behind all of them.
inline constexpr std::size_t kAcceptBatch = 32;

struct Processor {
  // Part of a core. Without one, work takes no time and runs at once.
  double cores = 0;
  std::deque<WorkItem> waiting;
  // New connections that are not accepted yet, and whether an item that accepts them waits.
  std::deque<WorkItem> backlog;
  bool accepting = false;
  bool busy = false;
  // End of the item that runs, with what was added to it while it ran.
  core::Time free_at{};
};

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_DIRECT_PROCESSOR_H_
