#ifndef FILBERTSTAIR_NET_SRC_PEEK_H_
#define FILBERTSTAIR_NET_SRC_PEEK_H_

#include <boost/asio/ip/tcp.hpp>

namespace filbertstair::net::detail {

// Checks the socket for incoming data without consuming it or blocking. Returns no error if data is
// available, would_block if the connection is open and idle, or the reason why no more data will
// arrive.
inline auto Peek(boost::asio::ip::tcp::socket& socket) -> boost::system::error_code {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
  return error;
}

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_PEEK_H_
