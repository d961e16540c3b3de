#include "filbertstair/net/http_client.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "beast_request.h"
#include "filbertstair/core/error.h"
#include "filbertstair/net/address.h"
#include "filbertstair/runtime/await.h"
#include "filbertstair/runtime/pool.h"
#include "peek.h"

namespace filbertstair::net {
namespace detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
// Maximum number of bytes kept that the parser can't use yet: an incomplete head, chunk size line
// or trailer. Beast limits only the head, to half of this.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{16} * 1024;
// Maximum number of interim (1xx) responses to one request. Servers send one or two; more
// would delay the caller.
constexpr int kMaxInterimResponses = 8;

struct ClientConnection {
  std::string address;
  beast::tcp_stream stream{runtime::IoContext()};
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  // Replaced for each response.
  std::optional<http::response_parser<http::buffer_body>> parser;
  bool is_head_request = false;
  // Error in received bytes that follow the part of the body returned last.
  boost::system::error_code pending_error;
  std::array<char, kReadBufferBytes> read_buffer{};
};

}  // namespace detail

namespace {

namespace http = detail::http;

constexpr unsigned kSwitchingProtocols = 101;
// Range of the statuses that HTTP defines. The parser accepts any three digits.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
// Maximum size of a body that Fetch returns. The configuration service holds values of up to 1 MB.
constexpr std::size_t kMaxFetchedBytes = std::size_t{16} << 20;

auto ThrowOnError(const boost::system::error_code& error, core::Step step, const std::string& peer)
    -> void {
  if (!error) return;
  const bool timed_out = error == detail::beast::error::timeout;
  throw core::Error(step, peer, timed_out ? "timed out" : error.message());
}

auto IsOutOfDescriptors(const boost::system::error_code& error) -> bool {
  return error == boost::system::errc::too_many_files_open ||
         error == boost::system::errc::too_many_files_open_in_system;
}

using BodyView = http::span_body<const char>;

// The message refers to `body`.
auto ToBeastRequest(const HttpRequest& request, std::string_view body) -> http::request<BodyView> {
  http::request<BodyView> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  return message;
}

auto ReadNextHead(detail::ClientConnection& c) -> void {
  c.parser.emplace();
  c.pending_error = {};
  // A response to HEAD has no body whatever its Content-Length says.
  c.parser->skip(c.is_head_request);
  c.parser->body_limit(boost::none);
  const auto result = runtime::Await([&](auto handler) {
    http::async_read_header(c.stream, c.buffer, *c.parser, std::move(handler));
  });
  ThrowOnError(result.error, core::Step::read, c.address);
}

// Parses the received bytes of the body that fit into the read buffer. A server that writes small
// chunks has several of them read at once, and passing each on by itself costs a write for each.
auto ParseReceivedBody(detail::ClientConnection& c) -> void {
  auto& parser = *c.parser;
  while (!parser.is_done() && c.buffer.size() > 0 && parser.get().body().size > 0) {
    boost::system::error_code error;
    c.buffer.consume(parser.put(c.buffer.data(), error));
    if (!error) continue;
    if (error != http::error::need_more && error != http::error::need_buffer) {
      c.pending_error = error;
    }
    return;
  }
}

// Returns whether the final response is still to come. After status 101 the server no longer speaks
// HTTP/1.1.
auto IsInterim(const http::response_parser<http::buffer_body>& parser) -> bool {
  // Compares the number, because Beast has no enumerators for some of these statuses.
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
  ThrowOnError(result.error, core::Step::connect, address);
  boost::system::error_code ignored;
  c.stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

auto HttpExchange::Send(const HttpRequest& request, std::chrono::milliseconds timeout) -> void {
  this->Send(request, request.body, timeout);
}

auto HttpExchange::Send(const HttpRequest& request, std::string_view body,
                        std::chrono::milliseconds timeout) -> void {
  auto& c = *this->connection;
  const auto message = ToBeastRequest(request, body);
  c.is_head_request = request.method == "HEAD";
  this->progress = Progress::sent;
  c.stream.expires_after(timeout);
  const auto result = runtime::Await(
      [&](auto handler) { http::async_write(c.stream, message, std::move(handler)); });
  ThrowOnError(result.error, core::Step::write, c.address);
}

auto HttpExchange::ReadHead(std::chrono::milliseconds timeout) -> HttpResponseHead {
  auto& c = *this->connection;
  c.stream.expires_after(timeout);
  ReadNextHead(c);
  for (int interim = 0; IsInterim(*c.parser); ++interim) {
    if (interim == detail::kMaxInterimResponses) {
      throw core::Error(core::Step::read, c.address, "too many interim responses");
    }
    ReadNextHead(c);
  }
  const auto status = c.parser->get().result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    throw core::Error(core::Step::read, c.address, "invalid status " + std::to_string(status));
  }
  if (status == kSwitchingProtocols) {
    throw core::Error(core::Step::read, c.address, "unexpected switch of protocols");
  }
  if (!detail::HasKnownCoding(c.parser->get())) {
    throw core::Error(core::Step::read, c.address, "unknown transfer coding");
  }
  this->progress = Progress::head_received;

  HttpResponseHead head;
  head.status = static_cast<int>(status);
  for (const auto& field : c.parser->get()) {
    head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  if (c.parser->need_eof()) head.framing = Framing::close_delimited;
  return head;
}

auto HttpExchange::IsReusable() const -> bool {
  const auto& c = *this->connection;
  return this->IsBodyComplete() && c.parser->keep_alive() && c.buffer.size() == 0 &&
         c.stream.socket().is_open();
}

auto HttpExchange::IsIdle() -> bool {
  return detail::Peek(this->connection->stream.socket()) == boost::asio::error::would_block;
}

auto HttpExchange::StartRequest(const std::string& address, const HttpRequest& request,
                                std::chrono::milliseconds connect_timeout,
                                std::chrono::milliseconds head_timeout) -> HttpResponseHead {
  this->Connect(address, connect_timeout);
  HttpRequest addressed = request;
  std::erase_if(addressed.headers,
                [](const auto& header) { return detail::beast::iequals(header.first, "Host"); });
  addressed.headers.emplace_back("Host", address);
  this->Send(addressed, head_timeout);
  return this->ReadHead(head_timeout);
}

auto HttpExchange::ReadBody(std::chrono::milliseconds timeout) -> std::string {
  auto& c = *this->connection;
  auto& parser = *c.parser;
  ThrowOnError(std::exchange(c.pending_error, {}), core::Step::read, c.address);
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = c.read_buffer.data();
    body.size = c.read_buffer.size();
    body.more = true;
    c.stream.expires_after(timeout);
    const auto result = runtime::Await([&](auto handler) {
      http::async_read_some(c.stream, c.buffer, parser, std::move(handler));
    });
    if (result.error && result.error != http::error::need_buffer) {
      ThrowOnError(result.error, core::Step::read, c.address);
    }
    ParseReceivedBody(c);
    const std::size_t size = c.read_buffer.size() - body.size;
    if (size > 0) return {c.read_buffer.data(), size};
  }
  return {};
}

auto HttpExchange::IsBodyComplete() const -> bool {
  const auto& parser = this->connection->parser;
  return parser && parser->is_done();
}

auto HttpExchange::GetAddress() const -> const std::string& { return this->connection->address; }

auto HttpExchange::Cancel() -> void { this->connection->stream.close(); }

auto RefusesConnections(const std::string& address, std::chrono::milliseconds timeout) -> bool {
  detail::beast::tcp_stream stream{runtime::IoContext()};
  stream.expires_after(timeout);
  const auto endpoint = ParseAddress(address);
  const auto result =
      runtime::Await([&](auto handler) { stream.async_connect(endpoint, std::move(handler)); });
  return result.error == boost::system::errc::connection_refused;
}

auto ReadWholeBody(HttpExchange& exchange, const BodyLimits& limits) -> std::string {
  using Clock = std::chrono::steady_clock;
  const auto fail = [&](const std::string& message) {
    return core::Error(core::Step::read, exchange.GetAddress(), message);
  };
  const auto deadline = Clock::now() + limits.max_time;
  std::string body;
  while (true) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    if (remaining <= std::chrono::milliseconds::zero()) throw fail("body timed out");
    const auto part = exchange.ReadBody(std::min(limits.max_pause, remaining));
    if (part.empty()) return body;
    if (part.size() > limits.max_bytes - body.size()) {
      throw fail("body of more than " + std::to_string(limits.max_bytes) + " bytes");
    }
    body += part;
  }
}

auto Fetch(const std::string& address, const HttpRequest& request,
           std::chrono::milliseconds timeout, std::string& body) -> HttpResponseHead {
  HttpExchange exchange;
  auto head = exchange.StartRequest(address, request, timeout, timeout);
  if (head.framing == Framing::close_delimited) {
    throw core::Error(core::Step::read, address,
                      "response has no Content-Length and is not chunked");
  }
  body = ReadWholeBody(exchange, {kMaxFetchedBytes, timeout, timeout});
  return head;
}

}  // namespace filbertstair::net
