#include "load.h"

#include <utility>

#include "tests/standins/http_server.h"

namespace filbertstair::bench {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kReconnectWait{50};

auto ParseAddress(const std::string& address) -> tcp::endpoint {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

struct Load::Caller {
  Load* load = nullptr;
  std::string address;
  std::string workspace;

  auto MakeRequest() const -> http::request<http::string_body> {
    const auto& spec = this->load->spec;
    http::request<http::string_body> request;
    request.method_string(spec.method);
    request.target(spec.target);
    request.version(11);
    request.set(http::field::host, spec.host);
    for (const auto& [name, value] : spec.headers(this->workspace, ++this->load->serial)) {
      request.set(name, value);
    }
    request.body() = spec.body;
    request.prepare_payload();
    return request;
  }

  // Sends one request. Returns whether the connection can carry another.
  auto Call(beast::tcp_stream& stream, beast::flat_buffer& buffer) const -> asio::awaitable<bool> {
    const auto request = this->MakeRequest();
    const auto start = std::chrono::steady_clock::now();
    co_await http::async_write(stream, request, asio::use_awaitable);
    http::response<http::string_body> reply;
    co_await http::async_read(stream, buffer, reply, asio::use_awaitable);
    if (reply.result() != http::status::ok) {
      ++this->load->refused;
      co_return reply.keep_alive();
    }
    ++this->load->answered;
    this->load->result.latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - start));
    co_return reply.keep_alive();
  }

  // Sends requests on one connection. Returns how many.
  auto Connect(std::size_t& sent) const -> asio::awaitable<void> {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    co_await stream.async_connect(ParseAddress(this->address), asio::use_awaitable);
    stream.socket().set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep && !this->Done(sent)) {
      ++sent;
      const bool kept = co_await this->Call(stream, buffer);
      keep = kept && !this->load->spec.reconnect;
    }
  }

  auto Run() const -> asio::awaitable<void> {
    std::size_t sent = 0;
    while (!this->Done(sent)) {
      bool lost = false;
      try {
        co_await this->Connect(sent);
      } catch (const std::exception&) {
        ++this->load->result.failed;
        lost = true;
      }
      if (lost) {
        co_await standins::Sleep(kReconnectWait);
      }
    }
  }

  auto Done(std::size_t sent) const -> bool {
    const auto calls = this->load->spec.calls;
    return this->load->stopped || (calls > 0 && sent >= calls);
  }
};

Load::Load(LoadSpec spec) : spec(std::move(spec)), thread([this] { this->Run(); }) {}

Load::~Load() { this->Stop(); }

auto Load::Run() -> void {
  asio::io_context io(1);
  std::vector<Caller> callers;
  const auto& workspaces = this->spec.workspaces;
  const auto& addresses = this->spec.addresses;
  for (std::size_t i = 0; i < this->spec.callers; ++i) {
    // A workspace with several callers has them on all addresses.
    const auto address = (i / workspaces.size() + i % workspaces.size()) % addresses.size();
    callers.push_back({this, addresses[address], workspaces[i % workspaces.size()]});
  }
  for (const auto& caller : callers) asio::co_spawn(io, caller.Run(), asio::detached);
  io.run();
}

auto Load::Wait() -> LoadResult {
  if (this->thread.joinable()) this->thread.join();
  this->result.refused = this->refused;
  return std::exchange(this->result, {});
}

auto Load::Stop() -> LoadResult {
  this->stopped = true;
  return this->Wait();
}

}  // namespace filbertstair::bench
