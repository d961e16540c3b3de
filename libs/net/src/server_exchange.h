#ifndef FILBERTSTAIR_NET_SRC_SERVER_EXCHANGE_H_
#define FILBERTSTAIR_NET_SRC_SERVER_EXCHANGE_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "filbertstair/net/http_server.h"

namespace filbertstair::net::detail {

// State of one request and its response, shared by the connection's fiber and the fiber that
// watches for the caller's disconnect.
struct ServerExchange {
  ServerExchange(boost::beast::tcp_stream& stream, std::string peer, bool keep_alive)
      : stream(stream), peer(std::move(peer)), keep_alive(keep_alive) {}

  boost::beast::tcp_stream& stream;
  std::string peer;
  bool keep_alive;
  bool is_head_request = false;
  // HTTP/1.0 has no chunked encoding.
  bool supports_chunked = true;
  bool begun = false;
  bool ended = false;
  bool chunked = false;
  // Whether the end of the connection marks the end of the response.
  bool close_delimited = false;
  bool aborted = false;
  bool watching_disconnect = false;
  // Limits on writing, as in HttpLimits, and who counts a write that exceeds them.
  std::chrono::milliseconds write_grace = HttpLimits().write_grace;
  std::size_t min_read_rate = HttpLimits().min_read_rate;
  LimitObserver on_limit;
};

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_SERVER_EXCHANGE_H_
