#ifndef FILBERTSTAIR_NET_TEST_TEST_PORT_H_
#define FILBERTSTAIR_NET_TEST_TEST_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace filbertstair::net {

// Returns a loopback address with a currently free port chosen by the kernel.
inline auto FreeAddress() -> std::string {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_TEST_TEST_PORT_H_
