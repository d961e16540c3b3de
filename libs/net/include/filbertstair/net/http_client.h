#ifndef FILBERTSTAIR_NET_HTTP_CLIENT_H_
#define FILBERTSTAIR_NET_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "filbertstair/net/http_server.h"

namespace filbertstair::net {

namespace detail {
struct ClientConnection;
}  // namespace detail

// How far a request had come when its exchange failed.
enum class Progress { not_sent, sent, head_received };

struct HttpResponseHead {
  int status = 0;
  Headers headers;
  Framing framing = Framing::self_delimited;
};

// Exchanges with a server over one HTTP/1.1 connection, one after the other, with each answer's
// body read piece by piece as it arrives. Belongs to the worker that created it.
class HttpExchange {
 public:
  HttpExchange();
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  auto operator=(const HttpExchange&) -> HttpExchange& = delete;

  // The steps of an exchange. Each throws core::Error. A request names its own Host.
  auto Connect(const std::string& address, std::chrono::milliseconds timeout) -> void;
  auto Send(const HttpRequest& request, std::chrono::milliseconds timeout) -> void;
  // Reads the head of the next answer, past interim ones. May be called again for a further answer
  // to one request.
  auto ReadHead(std::chrono::milliseconds timeout) -> HttpResponseHead;

  // Whether the last answer was read to its end and the connection may carry another request: the
  // server keeps it open and nothing follows the answer.
  auto IsReusable() const -> bool;

  // Whether nothing has arrived on the idle connection, not even its end.
  auto IsIdle() -> bool;

  // Connects, sends the request with the address as its Host, and reads the answer's head. Throws
  // core::Error; GetProgress then tells whether the server may have seen the request.
  auto StartRequest(const std::string& address, const HttpRequest& request,
                    std::chrono::milliseconds connect_timeout,
                    std::chrono::milliseconds head_timeout) -> HttpResponseHead;

  // Returns the next piece of the body, or an empty string after its end. Throws core::Error if the
  // body is cut short or nothing arrives in time. With Framing::close_delimited, a connection that
  // was closed in order in the middle of the body can't be told from the end.
  auto ReadBody(std::chrono::milliseconds timeout) -> std::string;

  // Closes the connection. May be called from another fiber of the worker while Start or Read
  // waits.
  auto Cancel() -> void;

  auto GetProgress() const -> Progress { return this->progress; }

 private:
  std::unique_ptr<detail::ClientConnection> connection;
  Progress progress = Progress::not_sent;
};

// Runs a whole exchange and returns the body in `body`. Throws core::Error, also if only the end of
// the connection marks that of the answer: nothing tells then that the body is whole.
auto Fetch(const std::string& address, const HttpRequest& request,
           std::chrono::milliseconds timeout, std::string& body) -> HttpResponseHead;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_HTTP_CLIENT_H_
