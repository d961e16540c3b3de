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

// What a request's headers say, beside host and path.
struct RequestHead {
  // The caller's id of this request; empty if there is none.
  std::string request_id;
  std::string credential;
  // Time that the caller waits for the end of the answer.
  std::optional<core::Duration> remaining;
  // Present if the request asks a model.
  std::optional<direct::Prompt> prompt;
  // Event after which a stream is to continue; empty for a new stream.
  std::string last_event_id;
};

// What an entry adds to a request that it passes on.
struct ForwardContext {
  core::Duration remaining{};
  // Id of the replica that is meant: another one at its address refuses.
  std::string_view replica;
  // Empty if the request needs no credential.
  std::string_view workspace;
  std::string_view last_event_id;
};

// What the head of a replica's answer says.
struct ResponseHead {
  // The request's id as the replica repeats it.
  std::string request_id;
  // Whether the replica states that it did not run the request, and never will.
  bool refused = false;
  // Whether the refusal is because another replica has the address now.
  bool misdirected = false;
  // Whether the answer carries a replica's receipt, without which a success is not a replica's.
  bool has_receipt = false;
  // Whether the body is encoded, which no caller asks for.
  bool is_encoded = false;
  std::optional<direct::LoadReport> load;
  // Time for which the replica keeps an idle connection open, if it says so.
  std::optional<core::Duration> keep_alive;
};

// How a request and an answer are encoded between callers, entries and replicas.
struct Dialect {
  auto(*parse_request)(const net::HttpRequest& request) -> RequestHead = nullptr;
  // Returns the headers of the request as the replica gets it.
  auto(*make_request_headers)(const net::HttpRequest& request, const ForwardContext& forward)
      -> net::Headers = nullptr;
  auto(*parse_response)(const net::HttpResponseHead& answer) -> ResponseHead = nullptr;
  // Returns the headers of the answer as the caller gets it.
  auto(*make_response_headers)(const net::HttpResponseHead& answer) -> net::Headers = nullptr;
};

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_DIALECT_H_
