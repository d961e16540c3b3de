#ifndef FILBERTSTAIR_NET_HTTP_SERVER_H_
#define FILBERTSTAIR_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// HTTP/1.1 towards callers and operators, by Boost.Beast on fibers.
namespace filbertstair::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header called `name` (case-insensitive), or an empty view.
auto FindHeader(const Headers& headers, std::string_view name) -> std::string_view;

struct HttpRequest {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string peer;
  // Whether the listener's screen took the request in.
  bool admitted = false;
};

// A whole answer.
struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

// What a listener's screen says of a request.
struct ScreenResult {
  // The answer, if the request is refused.
  std::optional<HttpResponse> refusal{};
  // Whether the request was taken in, so that its handler need not judge it again.
  bool admitted = false;
};

// Why a request could not be read.
enum class RequestFault { none, malformed, header_too_large, body_too_large };

// What tells a reader that an answer has come to its end.
enum class Framing {
  // The answer itself: its length, its last chunk, or that it has no body.
  self_delimited,
  // Only the end of the connection. A reset one means that the answer was cut.
  close_delimited
};

namespace detail {
struct ServerExchange;
}  // namespace detail

// The answer to one request. Used by the fiber that handles the request.
class Responder {
 public:
  explicit Responder(detail::ServerExchange& exchange) : exchange(exchange) {}

  // Sends a whole answer.
  auto Respond(int status, const Headers& headers, std::string_view body) -> void;

  // Begins a streamed answer. With a Content-Length header the body is sent as it is, else chunked,
  // or up to the end of the connection. Such a connection is closed in order only after End, and
  // reset otherwise, also by the end of this process. Throws core::Error (Step::respond), as the
  // functions below, if the caller is gone.
  auto Begin(int status, const Headers& headers, Framing framing = Framing::self_delimited) -> void;
  auto Write(std::string_view data) -> void;
  auto End() -> void;

  // Closes the connection without ending the answer, so that the caller sees that it was cut. A
  // connection on which nothing was sent is closed too.
  auto Abort() -> void;

  auto HasBegun() const -> bool;

  // Calls `gone` once if the caller closes its connection while the request is handled. The
  // callback runs on a fiber of the same worker.
  auto OnCallerDisconnect(std::function<void()> on_disconnect) -> void;

  // Returns whether the caller has closed its connection, also if OnCallerDisconnect's fiber has
  // not run since because the worker is behind.
  auto IsCallerDisconnected() -> bool;

 private:
  detail::ServerExchange& exchange;
};

struct HttpLimits {
  std::uint32_t max_header_bytes = 16u << 10;
  std::uint64_t max_body_bytes = 8u << 20;
  // Longest wait for the next request on a kept connection, for a request's header once it has
  // begun, and for each part of its body.
  std::chrono::milliseconds max_idle_time = std::chrono::seconds(75);
  std::chrono::milliseconds max_header_time = std::chrono::seconds(30);
  std::chrono::milliseconds max_body_read_time = std::chrono::seconds(30);
  // Connections of the listener. Further ones are screened as full, and closed if nothing that can
  // be answered has arrived on them.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

struct HttpHandlers {
  std::function<void(const HttpRequest&, Responder&)> request;
  // Answers a request that could not be read. The connection is closed afterwards.
  std::function<void(RequestFault, Responder&)> fault;
  // Whether to answer with "Connection: close", as while draining.
  std::function<bool()> should_close;
  // The limits in force, asked before each request. Without it the listener's own hold.
  std::function<HttpLimits()> limits{};
  // Whether new connections are screened: a request that has arrived whole when its connection is
  // accepted goes to `screen` without its body, and with the word whether the listener has as many
  // connections as it may. If that returns an answer, the answer is sent and the connection closed,
  // at a fraction of the cost of a fiber of its own. Neither may suspend.
  std::function<bool()> should_screen{};
  std::function<ScreenResult(const HttpRequest&, bool full)> screen{};
};

// Handle on the connections of one worker's listener.
class HttpListener {
 public:
  // Stops accepting and closes connections on which no request is being handled.
  auto Drain() -> void;

  // Whether the listener has as many connections as it may.
  auto IsFull() const -> bool;

  struct State;
  explicit HttpListener(std::shared_ptr<State> state) : state(std::move(state)) {}

 private:
  std::shared_ptr<State> state;
};

// Accepts connections on the caller's worker, one fiber each. Throws core::Error (Step::listen) if
// the address can't be bound. Several workers may listen on one address.
auto ListenHttp(const std::string& address, HttpLimits limits, HttpHandlers handlers)
    -> HttpListener;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_HTTP_SERVER_H_
