#include "filbertstair/cli/admin.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <sstream>

#include "filbertstair/schema/value.h"
#include "filbertstair/settings/settings.h"

namespace filbertstair::cli {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Exceeds the size of the status of an entry with 15,000 workspaces.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} << 20;
constexpr std::size_t kMaxAddressFileBytes = 1'000'000;

auto ToTcpEndpoint(const std::string& address) -> asio::ip::tcp::endpoint {
  const auto parsed = settings::ParseAddress(address);
  if (!parsed) throw core::Error(core::Step::resolve, address, "not an address \"ip:port\"");
  return {asio::ip::make_address(parsed->host), parsed->port};
}

auto ToHttpRequest(const std::string& address, const AdminRequest& admin_request)
    -> http::request<http::empty_body> {
  const auto verb = admin_request.method == Method::get ? http::verb::get : http::verb::post;
  http::request<http::empty_body> http_request(verb, admin_request.target, 11);
  http_request.set(http::field::host, address);
  http_request.keep_alive(false);
  http_request.prepare_payload();
  return http_request;
}

auto ToError(core::Step step, const std::string& address, const boost::system::error_code& code,
             std::chrono::milliseconds timeout) -> core::Error {
  const auto message = code == beast::error::timeout
                           ? "no response within " + std::to_string(timeout.count()) + " ms"
                           : code.message();
  return {step, address, message};
}

auto SendAndReceive(const AdminRequest& admin_request, AdminResult& result)
    -> asio::awaitable<void> {
  auto step = core::Step::connect;
  try {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(admin_request.timeout);
    co_await stream.async_connect(ToTcpEndpoint(result.address), asio::use_awaitable);
    step = core::Step::write;
    const auto http_request = ToHttpRequest(result.address, admin_request);
    co_await http::async_write(stream, http_request, asio::use_awaitable);
    step = core::Step::read;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    result.status = static_cast<int>(parser.get().result_int());
    result.body = std::move(parser.get().body());
  } catch (const boost::system::system_error& error) {
    result.error = ToError(step, result.address, error.code(), admin_request.timeout);
    result.not_listening = error.code() == boost::system::errc::connection_refused;
  } catch (const core::Error& error) {
    result.error = error;
  }
}

}  // namespace

auto SendToAdmins(const std::vector<std::string>& addresses, const AdminRequest& admin_request)
    -> std::vector<AdminResult> {
  std::vector<AdminResult> results(addresses.size());
  asio::io_context io;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    results[i].address = addresses[i];
    asio::co_spawn(io, SendAndReceive(admin_request, results[i]), asio::detached);
  }
  io.run();
  return results;
}

auto ParseJsonObject(const AdminResult& result) -> boost::json::object {
  if (result.error) throw core::Error(*result.error);
  if (result.status != 200) {
    throw core::Error(core::Step::decode, result.address,
                      "status " + std::to_string(result.status) + " instead of 200");
  }
  boost::system::error_code error;
  auto value = boost::json::parse(result.body, error);
  if (error || !value.is_object()) {
    throw core::Error(core::Step::decode, result.address, "the response is not a JSON object");
  }
  return std::move(value.get_object());
}

auto ReadAddressFile(const std::string& file) -> std::vector<std::string> {
  std::istringstream text(schema::ReadFile(file, kMaxAddressFileBytes, core::Step::read));
  std::vector<std::string> addresses;
  for (std::string line; std::getline(text, line);) {
    if (line.empty() || line.front() == '#') continue;
    if (!settings::ParseAddress(line)) {
      throw core::Error(core::Step::decode, file, "\"" + line + "\" is not an address \"ip:port\"");
    }
    addresses.push_back(line);
  }
  return addresses;
}

}  // namespace filbertstair::cli
