#ifndef FILBERTSTAIR_TESTS_STANDINS_HTTP_SERVER_H_
#define FILBERTSTAIR_TESTS_STANDINS_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace filbertstair::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

using Request = http::request<http::string_body>;

// Answers one request on the stream. May close the stream instead of answering.
using Handler = std::function<asio::awaitable<void>(beast::tcp_stream&, const Request&)>;

// Whether a new connection is accepted; otherwise it is reset.
using Gate = std::function<bool()>;

// Request target split into path and query parameters; no percent decoding.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;

  // Numeric parameter, or `fallback` if it is absent.
  auto Number(const std::string& key, std::int64_t fallback) const -> std::int64_t {
    const auto found = this->query.find(key);
    return found == this->query.end() ? fallback : std::stoll(found->second);
  }
};

// Parses "ip:port".
inline auto ParseEndpoint(const std::string& address) -> tcp::endpoint {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) throw std::runtime_error("not ip:port: " + address);
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

inline auto ParseTarget(const Request& request) -> Target {
  std::string_view text(request.target().data(), request.target().size());
  Target target;
  const auto mark = text.find('?');
  target.path = text.substr(0, mark);
  while (mark != std::string_view::npos && !text.empty()) {
    text.remove_prefix(std::min(text.size(), text.find_first_of("?&") + 1));
    const auto pair = text.substr(0, text.find('&'));
    const auto equals = std::min(pair.size(), pair.find('='));
    target.query.emplace(pair.substr(0, equals), pair.substr(std::min(pair.size(), equals + 1)));
    if (text.find('&') == std::string_view::npos) break;
  }
  return target;
}

inline auto Header(const Request& request, std::string_view name) -> std::string {
  return std::string(request[beast::string_view(name.data(), name.size())]);
}

inline auto MakeReply(const Request& request, http::status status, std::string body,
                      std::string_view type = "application/json")
    -> http::response<http::string_body> {
  http::response<http::string_body> reply(status, request.version());
  reply.set(http::field::content_type, beast::string_view(type.data(), type.size()));
  reply.keep_alive(request.keep_alive());
  reply.body() = std::move(body);
  reply.prepare_payload();
  return reply;
}

inline auto Send(beast::tcp_stream& stream, http::response<http::string_body> reply)
    -> asio::awaitable<void> {
  co_await http::async_write(stream, reply, asio::use_awaitable);
}

inline auto Sleep(std::chrono::microseconds time) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

// Closes the connection with a reset, so that the peer sees an error and not an end of stream.
inline auto Reset(tcp::socket& socket) -> void {
  beast::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Returns when the peer closes the connection; never returns if it sends further data first.
inline auto PeerClosed(beast::tcp_stream& stream) -> asio::awaitable<void> {
  co_await stream.socket().async_wait(tcp::socket::wait_read, asio::use_awaitable);
  beast::error_code error;
  if (stream.socket().available(error) == 0 || error) co_return;
  asio::steady_timer forever(co_await asio::this_coro::executor,
                             asio::steady_timer::time_point::max());
  co_await forever.async_wait(asio::use_awaitable);
}

namespace detail {

inline auto Serve(std::shared_ptr<beast::tcp_stream> stream, Handler handler)
    -> asio::awaitable<void> {
  beast::flat_buffer buffer;
  try {
    while (stream->socket().is_open()) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(64u << 20);
      co_await http::async_read(*stream, buffer, parser, asio::use_awaitable);
      const Request request = parser.release();
      co_await handler(*stream, request);
      if (!request.keep_alive()) break;
    }
  } catch (const std::exception&) {
    // The peer left or sent something that is not HTTP. Either way the connection is over.
  }
}

inline auto Accept(tcp::acceptor acceptor, Handler handler, Gate gate) -> asio::awaitable<void> {
  for (;;) {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    if (gate && !gate()) {
      Reset(socket);
      continue;
    }
    socket.set_option(tcp::no_delay(true));
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    asio::co_spawn(acceptor.get_executor(), Serve(stream, handler), asio::detached);
  }
}

}  // namespace detail

// Listens at `address` ("ip:port") and answers each request by `handler`.
inline auto Listen(asio::io_context& io, const std::string& address, Handler handler,
                   Gate gate = {}) -> void {
  asio::co_spawn(io,
                 detail::Accept(tcp::acceptor(io, ParseEndpoint(address)), std::move(handler),
                                std::move(gate)),
                 asio::detached);
}

// Runs until SIGTERM or SIGINT.
inline auto RunUntilSignal(asio::io_context& io) -> void {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { io.stop(); });
  io.run();
}

}  // namespace filbertstair::standins

#endif  // FILBERTSTAIR_TESTS_STANDINS_HTTP_SERVER_H_
