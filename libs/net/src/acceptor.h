#ifndef FILBERTSTAIR_NET_SRC_ACCEPTOR_H_
#define FILBERTSTAIR_NET_SRC_ACCEPTOR_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>

#include "filbertstair/core/error.h"
#include "filbertstair/net/address.h"
#include "filbertstair/net/byte_budget.h"
#include "filbertstair/runtime/await.h"
#include "filbertstair/runtime/pool.h"

namespace filbertstair::net::detail {

using Tcp = boost::asio::ip::tcp;

// Connections accepted per iteration of the accept loop. Accepting only one lets the backlog grow
// on a busy worker until every accepted connection has been abandoned by its caller. Accepting many
// more would delay running requests: a screened connection takes about 30 us of CPU time.
inline constexpr std::size_t kAcceptBatch = 32;
// Delay before accepting again after an error such as too many open files.
inline constexpr std::chrono::milliseconds kAcceptBackoff{100};

// Bytes that may wait in the kernel to be sent on an accepted connection. More would only hold
// responses that the caller does not read, and a write that waits is what stops the reading of
// further requests. Bytes under way are not counted, so that it does not limit the throughput.
inline constexpr int kMaxUnsentBytes = 64 << 10;

// Data read from a connection before its fiber was started.
struct InitialData {
  std::string bytes;
  // Whether the bytes are a request that screening admitted.
  bool admitted = false;
  // Counts the connection as open.
  std::shared_ptr<void> counted;
  // Takes the connection from the byte budget.
  std::shared_ptr<HeldBytes> held;
  // Makes a planned stop wait for the connection until its fiber runs, or until it has received a
  // request; may be null.
  std::shared_ptr<void> work;
};

struct AcceptHandlers {
  // Serves a connection on its own fiber.
  std::function<void(Tcp::socket, InitialData)> serve;
  // Screens a new connection before its fiber is started, and may read the bytes that have arrived.
  // Returns whether the connection is finished and has to be closed. Must not suspend. May be
  // empty.
  std::function<bool(int socket, InitialData& initial_data)> screen;
  // Called for each connection that is to be served, before its fiber is started. May be empty.
  std::function<void(InitialData& initial_data)> accepted;
};

// Opens an acceptor with SO_REUSEPORT, so that every worker can listen on the same address and the
// kernel distributes connections among them.
inline auto OpenAcceptor(const std::string& address) -> std::shared_ptr<Tcp::acceptor> {
  auto acceptor = std::make_shared<Tcp::acceptor>(runtime::IoContext());
  const auto endpoint = ParseAddress(address);
  boost::system::error_code error;
  acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(Tcp::acceptor::reuse_address(true), error);
  const int on = 1;
  setsockopt(acceptor->native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  // Accepted connections inherit it.
  setsockopt(acceptor->native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kMaxUnsentBytes,
             sizeof(kMaxUnsentBytes));
  if (!error) acceptor->bind(endpoint, error);
  if (!error) acceptor->listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) throw core::Error(core::Step::listen, address, error.message());
  return acceptor;
}

// Screens an accepted connection and, unless that finishes it, serves it on a new fiber.
inline auto Dispatch(int accepted, const Tcp& protocol, const AcceptHandlers& handlers) -> void {
  InitialData initial_data;
  if (handlers.screen && handlers.screen(accepted, initial_data)) {
    close(accepted);
    return;
  }
  if (handlers.accepted) handlers.accepted(initial_data);
  boost::system::error_code ignored;
  Tcp::socket socket(runtime::IoContext());
  socket.assign(protocol, accepted, ignored);
  socket.set_option(Tcp::no_delay(true), ignored);
  auto shared = std::make_shared<Tcp::socket>(std::move(socket));
  runtime::Spawn(
      [serve = handlers.serve, shared, initial_data = std::move(initial_data)]() mutable {
        serve(std::move(*shared), std::move(initial_data));
      });
}

struct AcceptResult {
  std::size_t accepted = 0;
  // Whether an error occurred that calls for kAcceptBackoff.
  bool failed = false;
};

// Accepts up to `most` pending connections.
inline auto AcceptPending(Tcp::acceptor& acceptor, const Tcp& protocol,
                          const AcceptHandlers& handlers, std::size_t most) -> AcceptResult {
  AcceptResult result;
  while (result.accepted < most) {
    const int accepted =
        accept4(acceptor.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0 && errno == ECONNABORTED) continue;
    if (accepted < 0) {
      result.failed = errno != EAGAIN && errno != EWOULDBLOCK;
      break;
    }
    Dispatch(accepted, protocol, handlers);
    ++result.accepted;
  }
  return result;
}

// Accepts connections until the acceptor is closed.
inline auto AcceptLoop(const std::shared_ptr<Tcp::acceptor>& acceptor, AcceptHandlers handlers)
    -> void {
  runtime::Spawn([acceptor, handlers = std::move(handlers)] {
    boost::system::error_code ignored;
    acceptor->non_blocking(true, ignored);
    const auto protocol = acceptor->local_endpoint(ignored).protocol();
    while (acceptor->is_open()) {
      const auto result = runtime::Await([&](auto handler) {
        acceptor->async_wait(
            Tcp::acceptor::wait_read,
            [handler](const boost::system::error_code& error) mutable { handler(error); });
      });
      if (!acceptor->is_open()) break;
      if (result.error || AcceptPending(*acceptor, protocol, handlers, kAcceptBatch).failed) {
        runtime::SleepFor(kAcceptBackoff);
      }
    }
  });
}

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_ACCEPTOR_H_
