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
struct CallHead {
  // The caller's id of this request; empty if there is none.
  std::string attempt;
  std::string credential;
  // Time that the caller waits for the end of the answer.
  std::optional<core::Duration> remaining;
  // Present if the request asks a model.
  std::optional<direct::Prompt> prompt;
  // Event after which a stream is to continue; empty for a new stream.
  std::string last_event;
};

// What an entry adds to a request that it passes on.
struct Forward {
  core::Duration remaining{};
  // Id of the replica that is meant: another one at its address refuses.
  std::string_view replica;
  // Empty if the request needs no credential.
  std::string_view workspace;
  std::string_view last_event;
};

// What the head of a replica's answer says.
struct AnswerHead {
  // The request's id as the replica repeats it.
  std::string attempt;
  // Whether the replica states that it did not run the request, and never will.
  bool refused = false;
  // Whether the refusal is because another replica has the address now.
  bool other_replica = false;
  // Whether the answer carries a replica's receipt, without which a success is not a replica's.
  bool receipt = false;
  // Whether the body is encoded, which no caller asks for.
  bool encoded = false;
  std::optional<direct::LoadReport> load;
  // Time for which the replica keeps an idle connection open, if it says so.
  std::optional<core::Duration> keep_alive;
};

// How a request and an answer are encoded between callers, entries and replicas.
struct Dialect {
  auto(*read_call)(const net::HttpRequest& request) -> CallHead = nullptr;
  // Returns the headers of the request as the replica gets it.
  auto(*forward_headers)(const net::HttpRequest& request, const Forward& forward)
      -> net::Headers = nullptr;
  auto(*read_answer)(const net::HttpResponseHead& answer) -> AnswerHead = nullptr;
  // Returns the headers of the answer as the caller gets it.
  auto(*answer_headers)(const net::HttpResponseHead& answer) -> net::Headers = nullptr;
};

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_DIALECT_H_
