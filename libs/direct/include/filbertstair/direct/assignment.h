#ifndef FILBERTSTAIR_DIRECT_ASSIGNMENT_H_
#define FILBERTSTAIR_DIRECT_ASSIGNMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/queue.h"
#include "filbertstair/direct/replicas.h"

namespace filbertstair::direct {

// How far the response of an attempt has come: the request was sent, the head of the response was
// received, or a whole event or the whole body.
enum class AttemptStage { sent, head, content };

// A request that occupies a slot at a replica, and the service charged to its workspace.
struct Assignment {
  std::string service;
  std::string workspace;
  std::string replica;
  std::string address;
  // Charged service: tokens for a model, 1 otherwise.
  double cost = 1;
  core::Time charged_at{};
  // Prompt tokens of this request that count as pending prefill at the replica; 0 once the prefill
  // is done.
  std::uint64_t prefill_tokens = 0;
  // Time after which the first part of the response was expected, without the learnt ratio; zero if
  // it is not known.
  core::Duration calculated_start{};
  AttemptStage stage = AttemptStage::sent;
  // Time at which the head of the response was received; zero before that.
  core::Time head_received_at{};
  // Present if the replica was cold when the request was assigned or sent.
  std::optional<ColdTurn> cold_turn;
};

// Tables that an assignment changes, and the policies that apply to them.
struct AssignmentTables {
  FairQueue& queue;
  const QueuePolicy& queue_policy;
  ReplicaTable& replicas;
  const ReplicaPolicy& replica_policy;
};

// Occupies a slot of the chosen replica, adds the request's pending prefill tokens to it and
// charges `cost` to the workspace. The replica must be in the table.
auto AssignRequest(const AssignmentTables& tables, const std::string& service,
                   const std::string& workspace, const ReplicaChoice& choice, const Prompt& prompt,
                   double cost, core::Time now) -> Assignment;

// Records that the head of the response was received.
auto RecordResponseHead(Assignment& assignment, core::Time now) -> void;

// Records that the first part of the response has arrived, so the prompt has been prefilled.
auto RecordResponseStart(const AssignmentTables& tables, Assignment& assignment, core::Time now)
    -> void;

// Records that the request is no longer at the replica and releases its slot. If no response had
// started, the workspace got no service, so the charge that has not yet decayed is refunded.
auto FinishAssignment(const AssignmentTables& tables, Assignment& assignment, core::Time now)
    -> void;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::AttemptStage, 3> kNames<direct::AttemptStage>{
    {{direct::AttemptStage::sent, "sent"},
     {direct::AttemptStage::head, "head"},
     {direct::AttemptStage::content, "content"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_ASSIGNMENT_H_
