#include "filbertstair/net/http_client.h"

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "filbertstair/core/error.h"
#include "filbertstair/net/address.h"
#include "filbertstair/runtime/await.h"
#include "filbertstair/runtime/pool.h"
#include "peek.h"

namespace filbertstair::net {
namespace detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kPiece = std::size_t{16} * 1024;
// Interim answers before the answer to one request. Servers send one or two; more hold up its
// caller.
constexpr int kMaxInterim = 8;

struct ClientConnection {
  std::string address;
  beast::tcp_stream stream{runtime::Io()};
  beast::flat_buffer buffer;
  // Rebuilt for each answer.
  std::optional<http::response_parser<http::buffer_body>> parser;
  bool head_only = false;
  std::array<char, kPiece> piece{};
};

}  // namespace detail

namespace {

namespace http = detail::http;

constexpr unsigned kSwitchingProtocols = 101;

auto Check(const boost::system::error_code& error, core::Step step, const std::string& peer)
    -> void {
  if (!error) return;
  const bool timed_out = error == detail::beast::error::timeout;
  throw core::Error(step, peer, timed_out ? "timed out" : error.message());
}

auto IsOutOfDescriptors(const boost::system::error_code& error) -> bool {
  return error == boost::system::errc::too_many_files_open ||
         error == boost::system::errc::too_many_files_open_in_system;
}

auto ToMessage(const HttpRequest& request) -> http::request<http::string_body> {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

auto ReadNextHead(detail::ClientConnection& c) -> void {
  c.parser.emplace();
  // A response to HEAD has no body whatever its Content-Length says.
  c.parser->skip(c.head_only);
  c.parser->body_limit(boost::none);
  const auto result = runtime::Await([&](auto handler) {
    http::async_read_header(c.stream, c.buffer, *c.parser, std::move(handler));
  });
  Check(result.error, core::Step::read, c.address);
}

// Whether the answer proper is still to come. After 101 none of this protocol does.
auto IsInterim(const http::response_parser<http::buffer_body>& parser) -> bool {
  // Beast has no names for some of these statuses.
  const auto status = parser.get().result_int();
  return status / 100 == 1 && status != kSwitchingProtocols;
}

}  // namespace

HttpExchange::HttpExchange() : connection(std::make_unique<detail::ClientConnection>()) {}

HttpExchange::~HttpExchange() = default;

auto HttpExchange::Connect(const std::string& address, std::chrono::milliseconds timeout) -> void {
  auto& c = *this->connection;
  c.address = address;
  const auto endpoint = ParseAddress(address);
  c.stream.expires_after(timeout);
  const auto result =
      runtime::Await([&](auto handler) { c.stream.async_connect(endpoint, std::move(handler)); });
  if (IsOutOfDescriptors(result.error)) {
    throw core::Error(core::Step::allocate, address, result.error.message());
  }
  Check(result.error, core::Step::connect, address);
  boost::system::error_code ignored;
  c.stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

auto HttpExchange::Send(const HttpRequest& request, std::chrono::milliseconds timeout) -> void {
  auto& c = *this->connection;
  const auto message = ToMessage(request);
  c.head_only = request.method == "HEAD";
  this->progress = Progress::sent;
  c.stream.expires_after(timeout);
  const auto result = runtime::Await(
      [&](auto handler) { http::async_write(c.stream, message, std::move(handler)); });
  Check(result.error, core::Step::write, c.address);
}

auto HttpExchange::ReadHead(std::chrono::milliseconds timeout) -> HttpAnswer {
  auto& c = *this->connection;
  c.stream.expires_after(timeout);
  ReadNextHead(c);
  for (int interim = 0; IsInterim(*c.parser); ++interim) {
    if (interim == detail::kMaxInterim) {
      throw core::Error(core::Step::read, c.address, "interim answers only");
    }
    ReadNextHead(c);
  }
  if (c.parser->get().result_int() == kSwitchingProtocols) {
    throw core::Error(core::Step::read, c.address, "a protocol that was not asked for");
  }
  this->progress = Progress::answered;

  HttpAnswer answer;
  answer.status = static_cast<int>(c.parser->get().result_int());
  for (const auto& field : c.parser->get()) {
    answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  if (c.parser->need_eof()) answer.framing = Framing::connection;
  return answer;
}

auto HttpExchange::Reusable() const -> bool {
  const auto& c = *this->connection;
  return c.parser && c.parser->is_done() && c.parser->keep_alive() && c.buffer.size() == 0 &&
         c.stream.socket().is_open();
}

auto HttpExchange::Quiet() -> bool {
  return detail::Peek(this->connection->stream.socket()) == boost::asio::error::would_block;
}

auto HttpExchange::Start(const std::string& address, const HttpRequest& request,
                         std::chrono::milliseconds connect_timeout,
                         std::chrono::milliseconds head_timeout) -> HttpAnswer {
  this->Connect(address, connect_timeout);
  HttpRequest addressed = request;
  std::erase_if(addressed.headers,
                [](const auto& header) { return detail::beast::iequals(header.first, "Host"); });
  addressed.headers.emplace_back("Host", address);
  this->Send(addressed, head_timeout);
  return this->ReadHead(head_timeout);
}

auto HttpExchange::Read(std::chrono::milliseconds timeout) -> std::string {
  auto& c = *this->connection;
  auto& parser = *c.parser;
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = c.piece.data();
    body.size = c.piece.size();
    body.more = true;
    c.stream.expires_after(timeout);
    const auto result = runtime::Await([&](auto handler) {
      http::async_read_some(c.stream, c.buffer, parser, std::move(handler));
    });
    if (result.error && result.error != http::error::need_buffer) {
      Check(result.error, core::Step::read, c.address);
    }
    const std::size_t size = c.piece.size() - body.size;
    if (size > 0) return {c.piece.data(), size};
  }
  return {};
}

auto HttpExchange::Cancel() -> void { this->connection->stream.close(); }

auto Fetch(const std::string& address, const HttpRequest& request,
           std::chrono::milliseconds timeout, std::string& body) -> HttpAnswer {
  HttpExchange exchange;
  auto answer = exchange.Start(address, request, timeout, timeout);
  if (answer.framing == Framing::connection) {
    throw core::Error(core::Step::read, address, "nothing states the end of the answer");
  }
  body.clear();
  for (std::string piece = exchange.Read(timeout); !piece.empty(); piece = exchange.Read(timeout)) {
    body += piece;
  }
  return answer;
}

}  // namespace filbertstair::net
