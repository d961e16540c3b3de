#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "acceptor.h"
#include "filbertstair/core/error.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/runtime/await.h"
#include "filbertstair/runtime/pool.h"
#include "peek.h"
#include "server_exchange.h"

namespace filbertstair::net {
namespace detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

auto ThrowOnError(const ServerExchange& exchange, const boost::system::error_code& error) -> void {
  if (!error) return;
  if (error == beast::error::timeout && exchange.on_limit) {
    exchange.on_limit(LimitReason::slow_read);
  }
  throw core::Error(core::Step::respond, exchange.peer, error.message());
}

// Sets the time by which the caller has to take the next `bytes` of the response.
auto LimitWriteTime(ServerExchange& exchange, std::size_t bytes) -> void {
  constexpr std::size_t ms_per_s = 1000;
  const std::chrono::milliseconds time(bytes * ms_per_s / exchange.min_read_rate);
  exchange.stream.expires_after(exchange.write_grace + time);
}

template <typename Buffers>
auto WriteAll(ServerExchange& exchange, const Buffers& buffers) -> void {
  LimitWriteTime(exchange, boost::asio::buffer_size(buffers));
  const auto result = runtime::Await([&](auto handler) {
    boost::asio::async_write(exchange.stream, buffers, std::move(handler));
  });
  ThrowOnError(exchange, result.error);
}

// Sets whether closing the socket resets the connection, also when the process exits. Calls
// setsockopt directly, because Asio clears a linger option that it knows of when the socket is
// destroyed.
auto SetResetOnClose(Tcp::socket& socket, bool on) -> void {
  const ::linger option{on ? 1 : 0, 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

template <typename Message>
auto SetHeaders(Message& message, const Headers& headers) -> void {
  for (const auto& [name, value] : headers) message.insert(name, value);
}

// Responses to HEAD and with these statuses have no body, not even an empty chunked one.
auto HasNoBody(const ServerExchange& exchange, int status) -> bool {
  return exchange.is_head_request || status == 204 || status == 304;
}

}  // namespace
}  // namespace detail

auto FindHeader(const Headers& headers, std::string_view name) -> std::string_view {
  for (const auto& [candidate, value] : headers) {
    if (detail::beast::iequals(candidate, name)) return value;
  }
  return {};
}

auto Responder::Respond(int status, const Headers& headers, std::string_view body) -> void {
  namespace http = detail::http;
  http::response<http::string_body> message;
  message.result(static_cast<unsigned>(status));
  detail::SetHeaders(message, headers);
  message.keep_alive(this->exchange.keep_alive);
  this->exchange.begun = true;
  if (detail::HasNoBody(this->exchange, status)) {
    // Content-Length: 0 would be wrong if the length of the response to GET is unknown.
    if (this->exchange.is_head_request && !body.empty()) message.content_length(body.size());
    http::response_serializer<http::string_body> serializer(message);
    detail::LimitWriteTime(this->exchange, 0);
    const auto result = runtime::Await([&](auto handler) {
      http::async_write_header(this->exchange.stream, serializer, std::move(handler));
    });
    detail::ThrowOnError(this->exchange, result.error);
  } else {
    message.body() = std::string(body);
    message.prepare_payload();
    detail::LimitWriteTime(this->exchange, body.size());
    const auto result = runtime::Await([&](auto handler) {
      http::async_write(this->exchange.stream, message, std::move(handler));
    });
    detail::ThrowOnError(this->exchange, result.error);
  }
  this->exchange.ended = true;
}

auto Responder::Begin(int status, const Headers& headers, Framing framing) -> void {
  namespace http = detail::http;
  http::response<http::empty_body> message;
  message.result(static_cast<unsigned>(status));
  detail::SetHeaders(message, headers);
  const bool length_unknown =
      !detail::HasNoBody(this->exchange, status) && FindHeader(headers, "Content-Length").empty();
  this->exchange.chunked =
      length_unknown && framing == Framing::self_delimited && this->exchange.supports_chunked;
  this->exchange.close_delimited = length_unknown && !this->exchange.chunked;
  if (this->exchange.chunked) message.chunked(true);
  if (this->exchange.close_delimited) {
    this->exchange.keep_alive = false;
    detail::SetResetOnClose(this->exchange.stream.socket(), true);
  }
  message.keep_alive(this->exchange.keep_alive);
  this->exchange.begun = true;
  http::response_serializer<http::empty_body> serializer(message);
  detail::LimitWriteTime(this->exchange, 0);
  const auto result = runtime::Await([&](auto handler) {
    http::async_write_header(this->exchange.stream, serializer, std::move(handler));
  });
  detail::ThrowOnError(this->exchange, result.error);
}

auto Responder::Write(std::string_view data) -> void {
  if (data.empty()) return;
  const auto buffer = boost::asio::const_buffer(data.data(), data.size());
  if (this->exchange.chunked) {
    detail::WriteAll(this->exchange, detail::http::make_chunk(buffer));
  } else {
    detail::WriteAll(this->exchange, buffer);
  }
}

auto Responder::End() -> void {
  if (this->exchange.chunked) {
    detail::WriteAll(this->exchange, detail::http::make_chunk_last());
  }
  if (this->exchange.close_delimited) {
    detail::SetResetOnClose(this->exchange.stream.socket(), false);
  }
  this->exchange.ended = true;
}

auto Responder::Abort() -> void { this->exchange.aborted = true; }

auto Responder::HasBegun() const -> bool { return this->exchange.begun; }

auto Responder::OnCallerDisconnect(std::function<void()> on_disconnect) -> void {
  this->exchange.watching_disconnect = true;
  runtime::Spawn([exchange = &this->exchange, on_disconnect = std::move(on_disconnect)] {
    auto& socket = exchange->stream.socket();
    const auto result = runtime::Await([&](auto handler) {
      socket.async_wait(detail::Tcp::socket::wait_read, std::move(handler));
    });
    boost::system::error_code error;
    // A readable socket without data means that the caller closed its connection; data is the next
    // request.
    const bool closed = !result.error && !exchange->ended && socket.available(error) == 0;
    if (closed) on_disconnect();
    exchange->watching_disconnect = false;
  });
}

auto Responder::IsCallerDisconnected() -> bool {
  const auto error = detail::Peek(this->exchange.stream.socket());
  return error && error != boost::asio::error::would_block;
}

}  // namespace filbertstair::net
