#ifndef FILBERTSTAIR_NET_SRC_SCREEN_H_
#define FILBERTSTAIR_NET_SRC_SCREEN_H_

#include <functional>
#include <optional>
#include <string>

#include "filbertstair/net/http_server.h"

namespace filbertstair::net::detail {

// Returns what has arrived on the socket and takes it from there, without waiting. At most a
// request of usual size is taken.
auto ReceiveAvailable(int socket) -> std::string;

// Returns the request if its head and its whole body have arrived, with an empty body. Anything
// else, and what takes more than one answer, is left to the connection's own fiber.
auto ParseCompleteRequest(const std::string& received, const HttpLimits& limits)
    -> std::optional<HttpRequest>;

// Sends the answer with "Connection: close" as far as the socket takes it at once.
auto SendNonBlocking(int socket, const HttpResponse& response) -> void;

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_SCREEN_H_
