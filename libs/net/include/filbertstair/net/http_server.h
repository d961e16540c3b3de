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

#include "filbertstair/core/types.h"
#include "filbertstair/net/byte_budget.h"

// HTTP/1.1 server for callers and operators: Boost.Beast on fibers.
namespace filbertstair::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with that name (case-insensitive), or an empty view.
auto FindHeader(const Headers& headers, std::string_view name) -> std::string_view;

struct HttpRequest {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  // Address of the caller ("ip:port"). Set only in requests passed to HttpHandlers::request.
  std::string peer;
  // Whether the listener's screening has admitted the request.
  bool admitted = false;
  // Time at which the first bytes of the request arrived at this machine, or later if bytes that
  // followed waited with them. Set only in requests passed to HttpHandlers::request.
  core::Time began_at{};
  // Time for which its first bytes had arrived at this machine before they were read: at least
  // this, zero if the socket does not tell. Set with `began_at`.
  core::Duration unread_wait{};
};

// Complete response with its body.
struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

// Result of screening a request.
struct ScreenResult {
  // The response to send if the request is refused.
  std::optional<HttpResponse> refusal{};
  // Whether the request was admitted, so that its handler need not decide on it again.
  bool admitted = false;
};

// Why a request could not be read. `none` means that the connection was closed, failed or timed
// out; `no_memory` that the byte budget has no room for its body.
enum class RequestFault {
  none,
  malformed,
  header_too_large,
  too_many_fields,
  body_too_large,
  no_memory
};

// How a reader detects the end of a response.
enum class Framing {
  // By the response itself: a Content-Length, the last chunk, or a status without a body.
  self_delimited,
  // By the end of the connection. A reset means that the response was truncated.
  close_delimited
};

namespace detail {
struct ServerExchange;
}  // namespace detail

// Sends the response to one request. Used by the fiber that handles the request.
class Responder {
 public:
  explicit Responder(detail::ServerExchange& exchange) : exchange(exchange) {}

  // Sends a complete response. Throws core::Error (Step::respond) if the caller has disconnected.
  auto Respond(int status, const Headers& headers, std::string_view body) -> void;

  // Begins a streamed response. With a Content-Length header the body is sent unchanged; otherwise
  // it is chunked, or close-delimited if `framing` says so or the caller speaks HTTP/1.0. A
  // close-delimited connection is closed in order only after End, and reset otherwise, also if this
  // process exits. Like Write and End, throws core::Error (Step::respond) if the caller has
  // disconnected.
  auto Begin(int status, const Headers& headers, Framing framing = Framing::self_delimited) -> void;
  auto Write(std::string_view data) -> void;
  auto End() -> void;

  // Closes the connection without ending the response, so that the caller sees it as truncated.
  // Also closes a connection on which nothing was sent.
  auto Abort() -> void;

  auto HasBegun() const -> bool;

  // Calls `on_disconnect` once if the caller closes its connection while the request is handled.
  // The callback runs on another fiber of the same worker.
  auto OnCallerDisconnect(std::function<void()> on_disconnect) -> void;

  // Returns whether the caller has closed its connection. Checks the socket itself, since the fiber
  // of OnCallerDisconnect runs late on an overloaded worker.
  auto IsCallerDisconnected() -> bool;

 private:
  detail::ServerExchange& exchange;
};

struct HttpLimits {
  std::uint32_t max_header_bytes = 16u << 10;
  std::uint64_t max_body_bytes = 8u << 20;
  // Longest wait for the next request on an idle keep-alive connection, for the header of a request
  // that has begun, and for its body.
  std::chrono::milliseconds max_idle_time = std::chrono::seconds(75);
  std::chrono::milliseconds max_header_time = std::chrono::seconds(30);
  std::chrono::milliseconds max_body_read_time = std::chrono::seconds(30);
  // Maximum number of header fields. Clients send up to a few dozen; each costs about 150 bytes
  // besides its text, which for 16 KiB of fields without a value is a megabyte.
  std::size_t max_header_fields = 256;
  // Minimum rate of a body in bytes per second, measured over each `rate_window`. Far below that of
  // the slowest mobile networks.
  std::size_t min_body_rate = 1024;
  std::chrono::milliseconds rate_window = std::chrono::seconds(10);
  // A part of a response has to be taken by the caller within `write_grace` and the time that it
  // takes at `min_read_rate`, in bytes per second. The grace is as long as a caller may leave a
  // connection idle; the rate lets a buffered response of 256 KiB be held for another 32 s.
  std::chrono::milliseconds write_grace = std::chrono::seconds(15);
  std::size_t min_read_rate = std::size_t{8} << 10;
  // Maximum number of open connections of the listener. Further connections are screened with
  // `full` set and then closed. Has no effect without HttpHandlers::screen.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

struct HttpHandlers {
  std::function<void(const HttpRequest&, Responder&)> request;
  // Responds to a request that could not be read. The connection is closed afterwards.
  std::function<void(RequestFault, Responder&)> fault;
  // Returns whether responses carry "Connection: close", for example while draining.
  std::function<bool()> should_close;
  // Returns the current limits; called before each request. If empty, the limits passed to
  // ListenHttp apply.
  std::function<HttpLimits()> limits{};
  // Returns whether new connections are screened. Screening handles a request that has arrived
  // completely when its connection is accepted: `screen` gets it without its body, and `full` tells
  // whether the listener has reached max_connections. A returned refusal is sent and the connection
  // closed, at a fraction of the cost of a fiber for the connection. On a full listener `screen`
  // has to refuse every request, and gets an empty one for bytes that are no complete request.
  // Neither function may suspend.
  std::function<bool()> should_screen{};
  std::function<ScreenResult(const HttpRequest&, bool full)> screen{};
  // Decides on a request whose body has not arrived completely, before any of the body is stored.
  // Gets the request without its body. A returned refusal is sent and the connection closed. May be
  // empty.
  std::function<ScreenResult(const HttpRequest&)> check_head{};
  // Budget from which the connections and bodies of the listener are taken; null for none.
  std::shared_ptr<ByteBudget> budget{};
  // Called for each refusal and closed connection for which it has a reason. May be empty.
  LimitObserver on_limit{};
  // Called when the first bytes of a request have arrived. The result is released once the request
  // has its response, or its connection ends.
  std::function<std::shared_ptr<void>()> begin_work{};
};

// Connections at the moment at which a listener was drained.
struct DrainCounts {
  // Accepted from the backlog.
  std::size_t accepted = 0;
  // Closed, since no request had arrived.
  std::size_t idle = 0;
  // Kept, since a request had arrived that was not read yet.
  std::size_t unread = 0;
};

// Handle of one worker's listener and its connections.
class HttpListener {
 public:
  // Accepts the connections that are pending, and no more after that. Closes connections once no
  // request is being handled on them and none has arrived.
  auto Drain() -> DrainCounts;

  // Returns whether the listener has reached max_connections.
  auto IsFull() const -> bool;

  struct State;
  explicit HttpListener(std::shared_ptr<State> state) : state(std::move(state)) {}

 private:
  std::shared_ptr<State> state;
};

// Accepts connections on the caller's worker and serves each on its own fiber. Throws core::Error
// (Step::listen) if the address can't be bound. Several workers may listen on the same address.
auto ListenHttp(const std::string& address, HttpLimits limits, HttpHandlers handlers)
    -> HttpListener;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_HTTP_SERVER_H_
