#include "filbertstair/net/address.h"

#include <boost/asio/io_context.hpp>
#include <charconv>

#include "filbertstair/core/error.h"

namespace filbertstair::net {

auto ParseAddress(const std::string& text) -> boost::asio::ip::tcp::endpoint {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw core::Error(core::Step::resolve, text, "expected ip:port");
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    throw core::Error(core::Step::resolve, text, "expected ip:port with a numeric address");
  }
  return {ip, port};
}

auto CheckFree(const std::string& address) -> void {
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
