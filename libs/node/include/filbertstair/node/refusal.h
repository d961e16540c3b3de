#ifndef FILBERTSTAIR_NODE_REFUSAL_H_
#define FILBERTSTAIR_NODE_REFUSAL_H_

#include <string>

#include "filbertstair/core/error.h"
#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// A request that ends without an answer from a replica.
struct RequestRefusal {
  core::Reason reason = core::Reason::internal_error;
  core::Outcome outcome = core::Outcome::not_run;
  core::Step step = core::Step::route;
  std::string peer;
  std::string message;
  // Time after which the caller should come back, for statuses 429 and 503.
  core::Duration retry_after = std::chrono::seconds(1);
};

// Returns how a request that could not be read is refused.
auto ToRequestRefusal(net::RequestFault fault) -> RequestRefusal;

// Counts and logs the refusal, and returns the answer with the error object. `id` and `workspace`
// are empty if they are not known.
auto MakeRefusalResponse(Node& node, const std::string& id, const std::string& workspace,
                         const RequestRefusal& refusal) -> net::HttpResponse;

// Sends that answer.
auto SendRefusal(Node& node, const std::string& id, const std::string& workspace,
                 const RequestRefusal& refusal, net::Responder& responder) -> void;

// Counts and logs an answer that was cut short after it had begun.
auto LogTruncatedResponse(Node& node, const std::string& id, const std::string& workspace,
                          const RequestRefusal& refusal) -> void;

// Records the end of a request, with the refusal if there is one.
auto RecordRequestEnd(Node& node, const std::string& id, const RequestRefusal* refusal) -> void;

// Returns an id for a request that no other process or start of this process uses.
auto NextRequestId(const Node& node) -> std::string;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_REFUSAL_H_
