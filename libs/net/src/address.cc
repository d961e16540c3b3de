#include "filbertstair/net/address.h"

#include <boost/asio/io_context.hpp>

#include "filbertstair/core/address.h"
#include "filbertstair/core/error.h"

namespace filbertstair::net {

auto ParseAddress(const std::string& text) -> boost::asio::ip::tcp::endpoint {
  const auto address = core::ParseAddress(text);
  if (!address) {
    throw core::Error(core::Step::resolve, text, "expected ip:port with a numeric address");
  }
  return {boost::asio::ip::make_address(address->host), address->port};
}

auto CheckAddressAvailable(const std::string& address) -> void {
  const auto endpoint = ParseAddress(address);
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor probe(io);
  boost::system::error_code error;
  probe.open(endpoint.protocol(), error);
  if (!error) probe.set_option(boost::asio::socket_base::reuse_address(true), error);
  if (!error) probe.bind(endpoint, error);
  if (error) throw core::Error(core::Step::listen, address, error.message());
}

}  // namespace filbertstair::net
