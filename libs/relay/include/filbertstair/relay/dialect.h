#ifndef FILBERTSTAIR_RELAY_DIALECT_H_
#define FILBERTSTAIR_RELAY_DIALECT_H_

#include <optional>
#include <string>
#include <string_view>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/kept.h"
#include "filbertstair/direct/replicas.h"
#include "filbertstair/net/http_client.h"
#include "filbertstair/net/http_server.h"

namespace filbertstair::relay {

// Fields decoded from the headers of a caller's request; host and path are used as they are.
struct RequestHead {
  // The caller's id of this request; empty if the header is missing.
  std::string request_id;
  std::string credential;
  // Time that remains until the caller stops waiting for the end of the response.
  std::optional<core::Duration> remaining;
  // Present if the request is for a model.
  std::optional<direct::Prompt> prompt;
  // Id of the event after which a stream resumes; empty for a new stream.
  std::string resume_after;
};

// Fields that an entry adds to a request that it forwards.
struct ForwardContext {
  core::Duration remaining{};
  // Id of the intended replica: a different replica at the same address refuses the request.
  std::string_view replica;
  // Empty if the route is public.
  std::string_view workspace;
  std::string_view resume_after;
};

// Fields decoded from the head of a replica's response.
struct ResponseHead {
  // The request id that the replica echoes.
  std::string request_id;
  // Whether the replica states that it did not run the request and never will.
  bool refused = false;
  // Whether the refusal means that a different replica now has the address.
  bool misdirected = false;
  // Whether the response carries a replica's receipt; a success without one is rejected.
  bool has_receipt = false;
  // Whether the body has a content encoding, which no caller requests; a success with one is
  // rejected.
  bool is_encoded = false;
  std::optional<direct::LoadReport> load;
  // Whether the replica says that it leaves and wants no further requests.
  bool leaving = false;
  // Time for which a replica that turned the request away wants no further ones, if it states one,
  // and whether it states one that can't be understood.
  std::optional<core::Duration> closed_for;
  bool invalid_closed_for = false;
  // Time for which the replica is still cold, if it states one.
  std::optional<core::Duration> cold_left;
  // Time for which the replica keeps an idle connection open, if it states one.
  std::optional<core::Duration> keep_alive;
};

// Functions that decode and encode the headers of requests and responses between callers, entries
// and replicas. The relay itself knows no header names.
struct Dialect {
  auto(*parse_request)(const net::HttpRequest& request) -> RequestHead = nullptr;
  // Returns the headers of the request that is sent to the replica.
  auto(*make_request_headers)(const net::HttpRequest& request, const ForwardContext& forward)
      -> net::Headers = nullptr;
  auto(*parse_response)(const net::HttpResponseHead& answer) -> ResponseHead = nullptr;
  // Returns the headers of the response that is sent to the caller.
  auto(*make_response_headers)(const net::HttpResponseHead& answer) -> net::Headers = nullptr;
};

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_DIALECT_H_
