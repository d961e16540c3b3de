#ifndef FILBERTSTAIR_NET_SRC_SCREEN_H_
#define FILBERTSTAIR_NET_SRC_SCREEN_H_

#include <functional>
#include <optional>
#include <string>

#include "filbertstair/net/http_server.h"

namespace filbertstair::net::detail {

// Reads and returns the bytes that have arrived on the socket, without blocking. Reads at most 64
// KiB, enough for a request of usual size.
auto ReceiveAvailable(int socket) -> std::string;

// Returns the request, with an empty body, if its head and its whole body have arrived. Returns
// nothing for incomplete or malformed requests, chunked bodies, HEAD, and Expect, which takes more
// than one response; the connection's fiber handles them.
auto ParseCompleteRequest(const std::string& received, const HttpLimits& limits)
    -> std::optional<HttpRequest>;

// Sends the response with "Connection: close" without blocking. Bytes that the socket's send buffer
// does not accept are dropped.
auto SendNonBlocking(int socket, const HttpResponse& response) -> void;

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_SCREEN_H_
