#ifndef FILBERTSTAIR_NET_HTTP_CLIENT_H_
#define FILBERTSTAIR_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertstair/net/http_server.h"

namespace filbertstair::net {

namespace detail {
// Socket, read buffer and response parser of an HttpExchange.
struct ClientConnection;
}  // namespace detail

// How far an exchange got before it failed: whether the request was sent at all, and whether the
// head of its response was received.
enum class Progress { not_sent, sent, head_received };

struct HttpResponseHead {
  int status = 0;
  Headers headers;
  Framing framing = Framing::self_delimited;
};

// Client of one HTTP/1.1 connection. Sends requests one after the other and streams each response's
// body as it arrives. Belongs to the worker that created it.
class HttpExchange {
 public:
  HttpExchange();
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  auto operator=(const HttpExchange&) -> HttpExchange& = delete;

  // The steps of an exchange. Each throws core::Error: Connect with Step::resolve, Step::connect,
  // or Step::allocate if the process or the system is out of file descriptors; Send with
  // Step::write; ReadHead with Step::read. The request must carry its own Host header.
  auto Connect(const std::string& address, std::chrono::milliseconds timeout) -> void;
  auto Send(const HttpRequest& request, std::chrono::milliseconds timeout) -> void;
  // Sends the request with `body` in place of its own, so that a large one need not be copied.
  auto Send(const HttpRequest& request, std::string_view body, std::chrono::milliseconds timeout)
      -> void;
  // Reads the head of the next response and skips interim (1xx) responses. A status outside 100 to
  // 599 is an error. May be called again if the server sends a further response to the same
  // request.
  auto ReadHead(std::chrono::milliseconds timeout) -> HttpResponseHead;

  // Returns whether the connection can carry another request: the last response was read to its
  // end, the server keeps the connection open, and no bytes follow the response.
  auto IsReusable() const -> bool;

  // Returns whether the connection is open and no bytes have arrived on it since the last response.
  auto IsIdle() -> bool;

  // Connects, sends the request with `address` as its Host, and reads the response's head. Throws
  // core::Error as the steps do; GetProgress then tells whether the server may have received the
  // request.
  auto StartRequest(const std::string& address, const HttpRequest& request,
                    std::chrono::milliseconds connect_timeout,
                    std::chrono::milliseconds head_timeout) -> HttpResponseHead;

  // Returns the next part of the body, of at most 16 KiB, or an empty string after its end. Throws
  // core::Error (Step::read) if the body is truncated or nothing arrives within `timeout`. With
  // Framing::close_delimited, an orderly close in the middle of the body can't be distinguished
  // from its end.
  auto ReadBody(std::chrono::milliseconds timeout) -> std::string;

  // Returns whether the end of the body has been received, so that ReadBody does not wait.
  auto IsBodyComplete() const -> bool;

  // Closes the connection. May be called from another fiber of the worker while StartRequest or
  // ReadBody waits.
  auto Cancel() -> void;

  // Address of the last Connect.
  auto GetAddress() const -> const std::string&;

  auto GetProgress() const -> Progress { return this->progress; }

 private:
  std::unique_ptr<detail::ClientConnection> connection;
  Progress progress = Progress::not_sent;
};

// Returns whether connections to `address` are refused, as after the end of the server's process.
// Opens a connection and closes it; a server that does not answer within `timeout` does not refuse.
auto RefusesConnections(const std::string& address, std::chrono::milliseconds timeout) -> bool;

// Limits on reading a body that is kept as a whole.
struct BodyLimits {
  std::size_t max_bytes = 0;
  // Longest wait for the next part, and for the whole body.
  std::chrono::milliseconds max_pause{};
  std::chrono::milliseconds max_time{};
};

// Reads the rest of a response's body. Throws core::Error (Step::read) as ReadBody does, and if the
// body exceeds a limit.
auto ReadWholeBody(HttpExchange& exchange, const BodyLimits& limits) -> std::string;

// Runs a complete exchange and stores the body, of at most 16 MiB, in `body`. `timeout` holds for
// each step, and for the whole body. Throws core::Error as HttpExchange and ReadWholeBody do, and
// with Step::read for a close-delimited response, since it can't be verified to be complete.
auto Fetch(const std::string& address, const HttpRequest& request,
           std::chrono::milliseconds timeout, std::string& body) -> HttpResponseHead;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_HTTP_CLIENT_H_
