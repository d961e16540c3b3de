#ifndef FILBERTSTAIR_NET_SRC_PEEK_H_
#define FILBERTSTAIR_NET_SRC_PEEK_H_

#include <boost/asio/ip/tcp.hpp>

namespace filbertstair::net::detail {

// Looks at the next byte of the socket without taking it or waiting. Returns no error if there is
// one, would_block if the connection is open and silent, or why nothing more will come.
inline auto Peek(boost::asio::ip::tcp::socket& socket) -> boost::system::error_code {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
  return error;
}

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_PEEK_H_
