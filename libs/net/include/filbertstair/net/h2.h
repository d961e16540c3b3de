#ifndef FILBERTSTAIR_NET_H2_H_
#define FILBERTSTAIR_NET_H2_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "filbertstair/net/byte_budget.h"

// Message streams between the processes of the system: HTTP/2 by nghttp2 on fibers. A stream
// carries length-prefixed messages in both directions.
//
// A connection and its streams belong to the worker that created them. Only fibers of that worker
// may use them.
namespace filbertstair::net {

namespace detail {
struct Session;
struct StreamState;
}  // namespace detail

// Bidirectional stream of messages. Destroying the last reference resets the stream unless both
// sides have finished.
class Stream {
 public:
  Stream(std::shared_ptr<detail::Session> session, std::shared_ptr<detail::StreamState> state);
  ~Stream();
  Stream(const Stream&) = delete;
  auto operator=(const Stream&) -> Stream& = delete;

  // Queues a message of at most 80 MiB; the receiver rejects larger ones. Suspends the fiber first
  // while 256 KiB or more are queued on the stream. Throws core::Error (Step::write) if the stream
  // or its connection is closed.
  auto Send(std::string_view message) -> void;

  // Ends the sending side after the queued messages. The peer's Receive then returns nothing.
  auto Finish() -> void;

  // Returns the next message, or nothing after the peer's Finish. Throws core::Error: Step::read if
  // the stream was reset, its connection was lost or it ended inside a message, Step::decode if the
  // message is larger than 80 MiB, or than its listener allows.
  auto Receive() -> std::optional<std::string>;

  // As Receive, but also throws core::Error (Step::read) if no message arrives before `deadline`.
  auto ReceiveUntil(std::chrono::steady_clock::time_point deadline) -> std::optional<std::string>;

  // Cancels both directions immediately. May be called while another fiber waits in Send or
  // Receive.
  auto Reset() -> void;

  // Suspends the fiber until the stream is closed: both sides finished, it was reset, or its
  // connection was lost.
  auto WaitClosed() -> void;

  // Path that the client requested the stream with.
  auto Path() const -> const std::string&;
  // Address of the other side ("ip:port").
  auto Peer() const -> const std::string&;

 private:
  std::shared_ptr<detail::Session> session;
  std::shared_ptr<detail::StreamState> state;
};

// Client side of a connection. Its destructor closes it.
class Connection {
 public:
  explicit Connection(std::shared_ptr<detail::Session> session);
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Starts a stream to `path` without waiting for the server. Throws core::Error (Step::connect) if
  // the connection is closed.
  auto StartStream(const std::string& path) -> std::shared_ptr<Stream>;
  auto IsOpen() const -> bool;
  // Closes the connection and all of its streams.
  auto Close() -> void;

 private:
  std::shared_ptr<detail::Session> session;
};

// Connects to `address` ("ip:port") from the caller's worker. Throws core::Error: Step::resolve if
// `address` is malformed, Step::connect if the connection is refused or not established within
// `timeout`.
auto Connect(const std::string& address, std::chrono::milliseconds timeout)
    -> std::shared_ptr<Connection>;

using StreamHandler = std::function<void(std::shared_ptr<Stream>)>;

// Limits on the clients of one worker's listener.
struct StreamLimits {
  // Beyond it, the oldest connection is closed on which no stream has received a message; if there
  // is none, the new one.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  // Maximum size of a message; the default is larger than the largest body plus its headers.
  std::size_t max_message_bytes = std::size_t{80} << 20;
  std::uint32_t max_streams = 10'000;
  // Time after which a connection without a stream is closed; zero for never.
  std::chrono::milliseconds max_streamless_time{0};
  // Budget from which connections and unread messages are taken; null for none.
  std::shared_ptr<ByteBudget> budget{};
  // Called for each closed connection. May be empty.
  LimitObserver on_limit{};
};

// Accepts connections on the caller's worker and runs `handler` on a new fiber for each stream.
// Returns once the listener is bound; throws core::Error (Step::listen) if the address can't be
// bound. Several workers may listen on the same address.
auto ListenStreams(const std::string& address, StreamHandler handler, StreamLimits limits = {})
    -> void;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_H2_H_
