#ifndef FILBERTSTAIR_NET_ADDRESS_H_
#define FILBERTSTAIR_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace filbertstair::net {

// Parses "ip:port" or "[ip6]:port". Throws core::Error with Step::resolve; names are not resolved.
auto ParseAddress(const std::string& text) -> boost::asio::ip::tcp::endpoint;

// Throws core::Error (Step::listen) if another process listens on `address`. Workers share their
// listeners by SO_REUSEPORT, which would let a second process share them too without an error.
auto CheckAddressAvailable(const std::string& address) -> void;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_ADDRESS_H_
