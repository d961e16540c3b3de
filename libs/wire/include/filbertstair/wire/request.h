#ifndef FILBERTSTAIR_WIRE_REQUEST_H_
#define FILBERTSTAIR_WIRE_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"

// Messages of a request stream between an entry and an endpoint process, as plain structs. Their
// encoding is internal to this library.
namespace filbertstair::wire {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Submits one attempt of a request to an endpoint process. `endpoint` is the incarnation of the
// endpoint process that the entry expects.
struct Submit {
  core::AttemptId attempt;
  // Grant redeemed by the submission, or 0.
  std::uint64_t grant = 0;
  core::Incarnation endpoint = 0;
  std::string service;
  std::string workspace;
  std::uint64_t document_version = 0;
  core::CallClass call_class = core::CallClass::repeatable;
  // Idempotency key, empty for none, and its time of issue in milliseconds since 1970.
  std::string key;
  std::uint64_t key_issued_ms = 0;
  // Time until the deadline, measured when the message was sent.
  core::Duration remaining{};
  // Caller's estimate of the cost; 0 for none.
  core::Cost cost_hint = 0;
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string request_id;
};

// Reply to a Submit. For a refused attempt, `status` is its outcome as far as the endpoint process
// knows it.
struct Verdict {
  bool admitted = false;
  core::Reason reason = core::Reason::internal_error;
  core::Outcome status = core::Outcome::unknown;
};

// Status line and headers of the replica's response.
struct Head {
  int status = 0;
  Headers headers;
};

// Part of the response body.
struct Chunk {
  std::string data;
};

// End of a response. Unless it is complete, `reason` and `outcome` tell why it was truncated.
struct End {
  bool complete = false;
  core::Reason reason = core::Reason::internal_error;
  core::Outcome outcome = core::Outcome::unknown;
  core::Cost cost = 0;
  std::string message;
};

// Cancels an attempt at the endpoint process of incarnation `endpoint`.
struct Withdraw {
  core::AttemptId attempt;
  core::Incarnation endpoint = 0;
};

// Reply to a Withdraw with the attempt's outcome.
struct Withdrawn {
  core::Outcome status = core::Outcome::unknown;
};

using RequestMessage = std::variant<Submit, Verdict, Head, Chunk, End, Withdraw, Withdrawn>;

// Returns the protobuf encoding of the message.
auto Encode(const RequestMessage& message) -> std::string;

// Decodes a message from `peer`. Throws core::Error (Step::decode) with `peer` if the bytes are not
// a valid message.
auto DecodeRequest(std::string_view bytes, const std::string& peer) -> RequestMessage;

}  // namespace filbertstair::wire

#endif  // FILBERTSTAIR_WIRE_REQUEST_H_
