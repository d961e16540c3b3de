#ifndef FILBERTSTAIR_NET_SRC_ACCEPTOR_H_
#define FILBERTSTAIR_NET_SRC_ACCEPTOR_H_

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "filbertstair/core/error.h"
#include "filbertstair/net/address.h"
#include "filbertstair/runtime/await.h"
#include "filbertstair/runtime/pool.h"

namespace filbertstair::net::detail {

using Tcp = boost::asio::ip::tcp;

// Connections accepted in one turn of the worker. One a turn lets the backlog grow while the worker
// has much to do, until all that is accepted has been given up by its caller.
inline constexpr int kAcceptBatch = 64;
// Wait before accepting again after an error such as too many open files.
inline constexpr std::chrono::milliseconds kAcceptBackoff{100};

// Opens an acceptor with SO_REUSEPORT, so that every worker can listen on the same address and the
// kernel spreads connections over them.
inline auto OpenAcceptor(const std::string& address) -> std::shared_ptr<Tcp::acceptor> {
  auto acceptor = std::make_shared<Tcp::acceptor>(runtime::Io());
  const auto endpoint = ParseAddress(address);
  boost::system::error_code error;
  acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(Tcp::acceptor::reuse_address(true), error);
  const int on = 1;
  setsockopt(acceptor->native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  if (!error) acceptor->bind(endpoint, error);
  if (!error) acceptor->listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) throw core::Error(core::Step::listen, address, error.message());
  return acceptor;
}

// Accepts the connections that wait. Returns the error that ended it, if any.
inline auto AcceptWaiting(Tcp::acceptor& acceptor, const std::function<void(Tcp::socket)>& serve)
    -> boost::system::error_code {
  boost::system::error_code error;
  for (int i = 0; i < kAcceptBatch; ++i) {
    Tcp::socket socket(runtime::Io());
    acceptor.accept(socket, error);
    if (error == boost::asio::error::would_block) return {};
    if (error) return error;
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto shared = std::make_shared<Tcp::socket>(std::move(socket));
    runtime::Spawn([serve, shared] { serve(std::move(*shared)); });
  }
  return error;
}

// Runs `serve` on a fiber of its own for each accepted connection.
inline auto AcceptLoop(const std::shared_ptr<Tcp::acceptor>& acceptor,
                       std::function<void(Tcp::socket)> serve) -> void {
  runtime::Spawn([acceptor, serve = std::move(serve)] {
    boost::system::error_code ignored;
    acceptor->non_blocking(true, ignored);
    while (acceptor->is_open()) {
      const auto result = runtime::Await([&](auto handler) {
        acceptor->async_wait(
            Tcp::acceptor::wait_read,
            [handler](const boost::system::error_code& error) mutable { handler(error); });
      });
      if (!acceptor->is_open()) break;
      if (result.error || AcceptWaiting(*acceptor, serve)) runtime::SleepFor(kAcceptBackoff);
    }
  });
}

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_ACCEPTOR_H_
