#ifndef FILBERTSTAIR_NET_H2_H_
#define FILBERTSTAIR_NET_H2_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

// Message streams between the system's own processes: HTTP/2 by nghttp2 on fibers. A stream carries
// length-delimited messages in both directions.
//
// Connections and their streams belong to the worker that created them and may be used by that
// worker's fibers only.
namespace filbertstair::net {

namespace detail {
struct Session;
struct StreamState;
}  // namespace detail

// One bidirectional stream of messages. Destroying the last reference resets the stream unless both
// sides have finished.
class Stream {
 public:
  Stream(std::shared_ptr<detail::Session> session, std::shared_ptr<detail::StreamState> state);
  ~Stream();
  Stream(const Stream&) = delete;
  auto operator=(const Stream&) -> Stream& = delete;

  // Queues a message and suspends while too much is queued. Throws core::Error (Step::write) if the
  // stream or its connection is closed.
  auto Send(std::string_view message) -> void;

  // Ends the sending side. The peer's Receive returns nothing after the last message.
  auto Finish() -> void;

  // Returns the next message, or nothing after the peer's Finish. Throws core::Error (Step::read)
  // if the stream was reset or its connection was lost.
  auto Receive() -> std::optional<std::string>;

  // As Receive, but also throws if no message arrives in time.
  auto ReceiveUntil(std::chrono::steady_clock::time_point deadline) -> std::optional<std::string>;

  // Cancels both directions at once. May be called while another fiber waits in Send or Receive.
  auto Reset() -> void;

  // Suspends until the stream is closed: both sides finished, it was reset, or its connection was
  // lost.
  auto WaitClosed() -> void;

  auto Path() const -> const std::string&;
  auto Peer() const -> const std::string&;

 private:
  std::shared_ptr<detail::Session> session;
  std::shared_ptr<detail::StreamState> state;
};

// Client side of a connection.
class Connection {
 public:
  explicit Connection(std::shared_ptr<detail::Session> session);
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  auto StartStream(const std::string& path) -> std::shared_ptr<Stream>;
  auto IsOpen() const -> bool;
  auto Close() -> void;

 private:
  std::shared_ptr<detail::Session> session;
};

// Connects to `address` ("ip:port") from the caller's worker. Throws core::Error (Step::connect).
auto Connect(const std::string& address, std::chrono::milliseconds timeout)
    -> std::shared_ptr<Connection>;

using StreamHandler = std::function<void(std::shared_ptr<Stream>)>;

// Accepts connections on the caller's worker and runs `handler` on a fiber of its own for each
// stream. Throws core::Error (Step::listen) if the address can't be bound; otherwise returns at
// once. Several workers may listen on one address.
auto ListenStreams(const std::string& address, StreamHandler handler) -> void;

}  // namespace filbertstair::net

#endif  // FILBERTSTAIR_NET_H2_H_
