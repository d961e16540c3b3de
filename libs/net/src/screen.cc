#include "screen.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

#include "beast_request.h"

namespace filbertstair::net::detail {
namespace {

namespace http = boost::beast::http;

// Maximum number of bytes read from a new connection. The prompts of the largest kind of request
// take about 12 KB.
constexpr std::size_t kMaxInitialBytes = std::size_t{64} << 10;

// Formats the response directly, because a Beast message allocates memory for each field.
auto Serialize(const HttpResponse& response) -> std::string {
  const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out.append(reason.data(), reason.size()).append("\r\n");
  for (const auto& [name, value] : response.headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  out.append("Connection: close\r\nContent-Length: ").append(std::to_string(response.body.size()));
  return out.append("\r\n\r\n").append(response.body);
}

}  // namespace

auto ReceiveAvailable(int socket) -> std::string {
  thread_local std::array<char, kMaxInitialBytes> buffer;
  const auto size = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  return size > 0 ? std::string(buffer.data(), static_cast<std::size_t>(size)) : std::string();
}

auto ParseCompleteRequest(const std::string& received, const HttpLimits& limits)
    -> std::optional<HttpRequest> {
  http::request_parser<http::empty_body> parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  boost::system::error_code error;
  const auto head_size = parser.put(boost::asio::buffer(received), error);
  if (error || !parser.is_header_done() || HasFoldedField(received)) return std::nullopt;
  const auto& head = parser.get();
  if (!IsValidHead(head)) return std::nullopt;
  if (head.count(http::field::transfer_encoding) > 0 || !IsServed(head.method())) {
    return std::nullopt;
  }
  if (head.method() == http::verb::head || head.count(http::field::expect) > 0) return std::nullopt;
  if (received.size() - head_size != parser.content_length().value_or(0)) return std::nullopt;
  return ToHead(head, "");
}

auto SendNonBlocking(int socket, const HttpResponse& response) -> void {
  const auto bytes = Serialize(response);
  // A caller that has disconnected or does not read gets no response.
  static_cast<void>(send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

}  // namespace filbertstair::net::detail
