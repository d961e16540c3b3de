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

// Messages of a request stream between an entry and an endpoint process, as plain structs. Only
// this library knows their encoding.
namespace filbertstair::wire {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Submit {
  core::AttemptId attempt;
  // Grant redeemed by the submission, or 0.
  std::uint64_t grant = 0;
  core::Incarnation endpoint = 0;
  std::string service;
  std::string workspace;
  std::uint64_t document_version = 0;
  core::CallClass call_class = core::CallClass::repeatable;
  // Idempotency key and its time of issue in milliseconds since 1970; empty for none.
  std::string key;
  std::uint64_t key_issued_ms = 0;
  // Time left until the deadline when the message was sent.
  core::Duration remaining{};
  // Caller's hint of the cost; 0 for none.
  core::Cost cost_hint = 0;
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string request_id;
};

// Answer to a Submit. `status` is what the endpoint process knows about the attempt if it is
// refused.
struct Verdict {
  bool admitted = false;
  core::Reason reason = core::Reason::internal_error;
  core::Outcome status = core::Outcome::unknown;
};

struct Head {
  int status = 0;
  Headers headers;
};

struct Chunk {
  std::string data;
};

// End of an answer. Unless it is complete, `reason` and `outcome` tell why it was cut.
struct End {
  bool complete = false;
  core::Reason reason = core::Reason::internal_error;
  core::Outcome outcome = core::Outcome::unknown;
  core::Cost cost = 0;
  std::string message;
};

struct Withdraw {
  core::AttemptId attempt;
  core::Incarnation endpoint = 0;
};

struct Withdrawn {
  core::Outcome status = core::Outcome::unknown;
};

using RequestMessage = std::variant<Submit, Verdict, Head, Chunk, End, Withdraw, Withdrawn>;

auto Encode(const RequestMessage& message) -> std::string;

// Throws core::Error (Step::decode) with `peer` if the bytes are no valid message.
auto DecodeRequest(std::string_view bytes, const std::string& peer) -> RequestMessage;

}  // namespace filbertstair::wire

#endif  // FILBERTSTAIR_WIRE_REQUEST_H_
