#ifndef FILBERTSTAIR_NODE_REFUSAL_H_
#define FILBERTSTAIR_NODE_REFUSAL_H_

#include <string>

#include "filbertstair/core/error.h"
#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Error result of a request that ends without a complete response from a replica.
struct RequestRefusal {
  core::Reason reason = core::Reason::internal_error;
  core::Outcome outcome = core::Outcome::not_run;
  core::Step step = core::Step::route;
  std::string peer;
  std::string message;
  // Value of the Retry-After header for statuses 429 and 503.
  core::Duration retry_after = std::chrono::seconds(1);
};

// Returns the refusal of a request that could not be read.
auto ToRequestRefusal(net::RequestFault fault) -> RequestRefusal;

// Counts and logs the refusal, and returns the response with the JSON error object. The request id
// `id` and `workspace` are empty if they are not known.
auto MakeRefusalResponse(Node& node, const std::string& id, const std::string& workspace,
                         const RequestRefusal& refusal) -> net::HttpResponse;

// Counts and logs the refusal, and sends the response of MakeRefusalResponse.
auto SendRefusal(Node& node, const std::string& id, const std::string& workspace,
                 const RequestRefusal& refusal, net::Responder& responder) -> void;

// Counts and logs a response that was aborted after it had started.
auto LogTruncatedResponse(Node& node, const std::string& id, const std::string& workspace,
                          const RequestRefusal& refusal) -> void;

// Adds the end of a request to its trace. `refusal` is null if the request succeeded.
auto RecordRequestEnd(Node& node, const std::string& id, const RequestRefusal* refusal) -> void;

// Returns a request id that is unique across processes and incarnations.
auto NextRequestId(const Node& node) -> std::string;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_REFUSAL_H_
