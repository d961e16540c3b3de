#ifndef FILBERTSTAIR_DIRECT_ASSIGNMENT_H_
#define FILBERTSTAIR_DIRECT_ASSIGNMENT_H_

#include <cstdint>
#include <string>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/queue.h"
#include "filbertstair/direct/replicas.h"

namespace filbertstair::direct {

// A request's place at a replica, and what its workspace was charged for it.
struct Assignment {
  std::string service;
  std::string workspace;
  std::string replica;
  std::string address;
  // Service that was charged: tokens for a model, 1 otherwise.
  double cost = 1;
  core::Time charged_at{};
  // Prompt tokens that still count as unread at the replica for this request.
  std::uint64_t prefill_tokens = 0;
  // Whether the first part of the answer has come.
  bool started = false;
};

// Tables and bounds that an assignment changes.
struct AssignmentTables {
  FairQueue& queue;
  const QueuePolicy& queue_policy;
  ReplicaTable& replicas;
  const ReplicaPolicy& replica_policy;
};

// Takes a slot of the chosen replica for the request and charges its workspace.
auto AssignRequest(const AssignmentTables& tables, const std::string& service,
                   const std::string& workspace, const ReplicaChoice& choice, const Prompt& prompt,
                   double cost, core::Time now) -> Assignment;

// Records the first part of the answer: the prompt has been read.
auto RecordResponseStart(const AssignmentTables& tables, Assignment& assignment) -> void;

// Records that the request is no longer at the replica and gives its slot back. A request that had
// not begun gave its workspace nothing, so what is left of the charge is given back too.
auto FinishAssignment(const AssignmentTables& tables, Assignment& assignment, core::Time now)
    -> void;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_ASSIGNMENT_H_
