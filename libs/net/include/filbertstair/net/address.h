#ifndef FILBERTSTAIR_NET_ADDRESS_H_
#define FILBERTSTAIR_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace filbertstair::net {

// Parses "ip:port" or "[ip6]:port". Host names are not resolved. Throws core::Error (Step::resolve)
// if `text` is not a numeric address with a port.
auto ParseAddress(const std::string& text) -> boost::asio::ip::tcp::endpoint;

// Throws core::Error (Step::listen) if `address` can't be bound, for example because another
// process listens on it. Workers share their listeners with SO_REUSEPORT, which would also let a
// second process bind the same address without an error.
auto CheckAddressAvailable(const std::string& address) -> void;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_ADDRESS_H_
