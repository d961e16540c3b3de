#include "tests/fleet/relay.h"

#include <array>
#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "tests/standins/http_server.h"

namespace filbertstair::fleet {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Blocks that one direction holds at most, so that a silent link pushes back on its sender.
constexpr std::size_t kMaxHeld = 64;

// One direction of a connection: blocks that were read, with the time at which they are due.
struct Direction {
  explicit Direction(asio::io_context& io) : changed(io, Clock::time_point::max()) {}
  std::deque<std::pair<Clock::time_point, std::string>> blocks;
  bool ended = false;
  // Cancelled whenever blocks, the end or the state of the link changes.
  asio::steady_timer changed;
};

struct Connection {
  Connection(asio::io_context& io, tcp::socket near)
      : near(std::move(near)), far(io), up(io), down(io) {}
  std::string source;
  tcp::socket near;
  tcp::socket far;
  Direction up;
  Direction down;
};

}  // namespace

struct Relay::State {
  State(const std::string& listen, const std::string& target, IdentifySource identify)
      : acceptor(this->io, standins::ParseEndpoint(listen)),
        target(standins::ParseEndpoint(target)),
        identify(std::move(identify)) {}

  auto LinkOf(const std::string& source) const -> LinkState {
    const auto found = this->links.find(source);
    if (found != this->links.end()) return found->second;
    const auto fallback = this->links.find("");
    return fallback == this->links.end() ? LinkState{} : fallback->second;
  }

  auto Read(std::shared_ptr<Connection> connection, tcp::socket& from, Direction& direction)
      -> asio::awaitable<void> {
    std::array<char, 65536> buffer{};
    for (;;) {
      while (direction.blocks.size() >= kMaxHeld) {
        co_await Changed(direction);
      }
      beast::error_code error;
      const auto size = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      direction.blocks.emplace_back(Clock::now() + this->LinkOf(connection->source).delay,
                                    std::string(buffer.data(), size));
      direction.changed.cancel();
    }
    direction.ended = true;
    direction.changed.cancel();
  }

  auto Write(std::shared_ptr<Connection> connection, tcp::socket& to, Direction& direction)
      -> asio::awaitable<void> {
    beast::error_code error;
    while (!error) {
      if (this->LinkOf(connection->source).mode == LinkMode::silent ||
          (direction.blocks.empty() && !direction.ended)) {
        co_await Changed(direction);
        continue;
      }
      if (direction.blocks.empty()) break;
      const auto due = direction.blocks.front().first;
      if (due > Clock::now()) {
        asio::steady_timer timer(this->io, due);
        co_await timer.async_wait(asio::use_awaitable);
        continue;
      }
      const auto block = std::move(direction.blocks.front().second);
      direction.blocks.pop_front();
      direction.changed.cancel();
      this->bytes += block.size();
      co_await asio::async_write(to, asio::buffer(block),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    // An end of stream is passed on; an error ends both directions.
    if (error) {
      Close(*connection);
    } else {
      to.shutdown(tcp::socket::shutdown_send, error);
    }
  }

  static auto Changed(Direction& direction) -> asio::awaitable<void> {
    beast::error_code ignored;
    co_await direction.changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  static auto Close(Connection& connection) -> void {
    standins::Reset(connection.near);
    standins::Reset(connection.far);
    for (auto* direction : {&connection.up, &connection.down}) {
      direction->blocks.clear();
      direction->ended = true;
      direction->changed.cancel();
    }
  }

  auto Open(std::shared_ptr<Connection> connection) -> asio::awaitable<void> {
    const auto executor = this->io.get_executor();
    beast::error_code error;
    // A silent link answers no connection attempt either, and this one succeeds once it is open.
    while (this->LinkOf(connection->source).mode == LinkMode::silent) {
      co_await Changed(connection->up);
    }
    co_await connection->far.async_connect(this->target,
                                           asio::redirect_error(asio::use_awaitable, error));
    if (error || !connection->near.is_open()) {
      Close(*connection);
      co_return;
    }
    connection->near.set_option(tcp::no_delay(true), error);
    connection->far.set_option(tcp::no_delay(true), error);
    auto& up = connection->up;
    auto& down = connection->down;
    asio::co_spawn(executor, this->Read(connection, connection->near, up), asio::detached);
    asio::co_spawn(executor, this->Write(connection, connection->far, up), asio::detached);
    asio::co_spawn(executor, this->Read(connection, connection->far, down), asio::detached);
    asio::co_spawn(executor, this->Write(connection, connection->near, down), asio::detached);
  }

  auto Accept() -> asio::awaitable<void> {
    for (;;) {
      auto near = co_await this->acceptor.async_accept(asio::use_awaitable);
      beast::error_code error;
      const auto peer = near.remote_endpoint(error);
      auto connection = std::make_shared<Connection>(this->io, std::move(near));
      if (!error && this->identify) connection->source = this->identify(peer.port());
      if (this->LinkOf(connection->source).mode == LinkMode::reset) {
        Close(*connection);
        continue;
      }
      std::erase_if(this->connections, [](const auto& known) { return known.expired(); });
      this->connections.push_back(connection);
      asio::co_spawn(this->io, this->Open(connection), asio::detached);
    }
  }

  auto Apply(const std::string& source, LinkState link) -> void {
    this->links[source] = link;
    for (const auto& known : this->connections) {
      const auto connection = known.lock();
      if (!connection) continue;
      if (this->LinkOf(connection->source).mode == LinkMode::reset) {
        Close(*connection);
      } else {
        connection->up.changed.cancel();
        connection->down.changed.cancel();
      }
    }
  }

  asio::io_context io{1};
  tcp::acceptor acceptor;
  tcp::endpoint target;
  IdentifySource identify;
  std::map<std::string, LinkState> links;
  std::vector<std::weak_ptr<Connection>> connections;
  std::atomic<std::uint64_t> bytes{0};
  std::thread thread;
};

Relay::Relay(const std::string& listen, const std::string& target, IdentifySource identify)
    : state(std::make_unique<State>(listen, target, std::move(identify))) {
  asio::co_spawn(this->state->io, this->state->Accept(), asio::detached);
  this->state->thread = std::thread([this] { this->state->io.run(); });
}

Relay::~Relay() {
  this->state->io.stop();
  this->state->thread.join();
}

auto Relay::SetLink(const std::string& source, LinkState state) -> void {
  std::promise<void> done;
  asio::post(this->state->io, [&] {
    this->state->Apply(source, state);
    done.set_value();
  });
  done.get_future().wait();
}

auto Relay::Bytes() const -> std::uint64_t { return this->state->bytes; }

auto FindSocketOwner(std::uint16_t local_port, const std::vector<pid_t>& pids) -> pid_t {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::string socket;
  while (std::getline(table, line) && socket.empty()) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string skipped;
    std::string inode;
    fields >> slot >> local;
    for (int i = 0; i < 7; ++i) fields >> skipped;
    fields >> inode;
    const auto colon = local.find(':');
    if (colon == std::string::npos || inode == "0" || inode.empty()) continue;
    const auto port = std::strtoul(local.c_str() + colon + 1, nullptr, 16);
    if (port == local_port) socket = "socket:[" + inode + "]";
  }
  if (socket.empty()) return -1;
  for (const auto pid : pids) {
    std::error_code error;
    const std::filesystem::path descriptors = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(descriptors, error)) {
      if (std::filesystem::read_symlink(entry.path(), error).string() == socket) return pid;
    }
  }
  return -1;
}

}  // namespace filbertstair::fleet
