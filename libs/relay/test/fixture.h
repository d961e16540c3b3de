#ifndef FILBERTSTAIR_RELAY_TEST_FIXTURE_H_
#define FILBERTSTAIR_RELAY_TEST_FIXTURE_H_

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "filbertstair/net/http_client.h"
#include "filbertstair/net/http_server.h"
#include "filbertstair/relay/relay.h"
#include "filbertstair/runtime/pool.h"
#include "libs/relay/src/state.h"

namespace filbertstair::relay {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds kTimeout{5000};

// Dialect with header names of the tests' own, to show that the relay depends on no particular
// names.
inline auto TestDialect() -> Dialect {
  Dialect dialect;
  dialect.parse_request = [](const net::HttpRequest& request) {
    RequestHead head;
    head.request_id = net::FindHeader(request.headers, "Id");
    head.credential = net::FindHeader(request.headers, "Key");
    head.resume_after = net::FindHeader(request.headers, "After");
    // Ids of the shared blocks, of one digit each.
    const auto blocks = net::FindHeader(request.headers, "Blocks");
    if (!blocks.empty()) {
      head.prompt = direct::Prompt{"m", 10, 10, {}};
      for (const char id : blocks) {
        head.prompt->blocks.push_back({static_cast<std::uint64_t>(id - '0'), 1});
      }
      // Number of further shared blocks, whose ids are spread over the whole range.
      const std::string fillers(net::FindHeader(request.headers, "Filler-Blocks"));
      constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
      for (std::uint64_t i = fillers.empty() ? 0 : std::stoull(fillers); i > 0; --i) {
        head.prompt->blocks.push_back({i * multiplier, 1});
      }
      // The last block is the request's own.
      head.prompt->blocks.push_back({std::hash<std::string>()(head.request_id) | (1ull << 32), 1});
    }
    const auto shared = net::FindHeader(request.headers, "Shared-Tokens");
    if (!shared.empty()) {
      const auto tokens = static_cast<std::uint32_t>(std::stoul(std::string(shared)));
      head.prompt = direct::Prompt{"m", tokens + 10, 10, {{1, tokens}, {2, 10}}};
    }
    return head;
  };
  dialect.make_request_headers = [](const net::HttpRequest& request,
                                    const ForwardContext& forward) {
    net::Headers headers = {{"Host", std::string(net::FindHeader(request.headers, "Host"))},
                            {"Id", std::string(net::FindHeader(request.headers, "Id"))},
                            {"Replica", std::string(forward.replica)},
                            {"Workspace", std::string(forward.workspace)},
                            {"Remaining", std::to_string(forward.remaining.count() / 1000)}};
    if (!forward.resume_after.empty()) headers.emplace_back("After", forward.resume_after);
    return headers;
  };
  dialect.parse_response = [](const net::HttpResponseHead& answer) {
    ResponseHead head;
    head.request_id = net::FindHeader(answer.headers, "Id");
    head.refused = !net::FindHeader(answer.headers, "Not-Run").empty();
    head.has_receipt = !net::FindHeader(answer.headers, "Receipt").empty();
    head.leaving = !net::FindHeader(answer.headers, "Leaving").empty();
    const auto cold_ms = net::FindHeader(answer.headers, "Cold-Ms");
    if (!cold_ms.empty()) head.cold_left = milliseconds(std::stoi(std::string(cold_ms)));
    const auto retry_after = net::FindHeader(answer.headers, "Retry-After");
    if (!retry_after.empty()) {
      const std::chrono::duration<double> time(std::stod(std::string(retry_after)));
      head.closed_for = std::chrono::duration_cast<core::Duration>(time);
    }
    return head;
  };
  dialect.make_response_headers = [](const net::HttpResponseHead& answer) {
    auto headers = answer.headers;
    std::erase_if(headers, [](const auto& header) {
      return header.first == "Content-Length" || header.first == "Transfer-Encoding" ||
             header.first == "Connection";
    });
    return headers;
  };
  return dialect;
}

// Returns `count` loopback ports that are currently free.
inline auto FreePorts(std::size_t count) -> std::vector<std::uint16_t> {
  boost::asio::io_context io;
  std::vector<boost::asio::ip::tcp::acceptor> acceptors;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < count; ++i) {
    acceptors.emplace_back(
        io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    ports.push_back(acceptors.back().local_endpoint().port());
  }
  return ports;
}

inline auto MakeSettings(const std::string& id) -> settings::Settings {
  const auto ports = FreePorts(3);
  settings::Settings settings;
  settings.id = id;
  settings.region = "north";
  settings.failure_domain = "n1";
  settings.workers = 1;
  settings.callers = {"127.0.0.1", ports[0]};
  settings.peers = {"127.0.0.1", ports[1]};
  settings.admin = {"127.0.0.1", ports[2]};
  return settings;
}

// A replica that records the requests it receives. `serve` runs on the replica's own worker.
struct FakeReplica {
  using Serve = std::function<void(const net::HttpRequest&, net::Responder&)>;

  FakeReplica(std::string id, const Serve& serve)
      : id(std::move(id)), address("127.0.0.1:" + std::to_string(FreePorts(1)[0])) {
    std::promise<void> listening;
    this->pool.Post(0, [&, serve] {
      net::HttpHandlers handlers;
      handlers.request = [this, serve](const net::HttpRequest& request, net::Responder& responder) {
        {
          const std::lock_guard lock(this->mutex);
          this->requests.push_back(request);
        }
        serve(request, responder);
      };
      handlers.fault = [](net::RequestFault, net::Responder& responder) {
        responder.Respond(400, {}, "");
      };
      handlers.should_close = [] { return false; };
      net::ListenHttp(this->address, {}, handlers);
      listening.set_value();
    });
    listening.get_future().get();
  }

  auto Requests() -> std::vector<net::HttpRequest> {
    const std::lock_guard lock(this->mutex);
    return this->requests;
  }

  const std::string id;
  const std::string address;

 private:
  runtime::Pool pool{1, [](const std::exception&) {}};
  std::mutex mutex;
  std::vector<net::HttpRequest> requests;
};

// A replica that responds with raw bytes that the test provides. It reads requests without a body.
struct RawReplica {
  // Writes to the replica's side of a connection.
  struct Writer {
    boost::asio::ip::tcp::socket& socket;

    // Writes bytes; returns false once the entry has closed the connection.
    auto operator()(std::string_view bytes) const -> bool {
      boost::system::error_code error;
      boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
      return !error;
    }

    // Closes the connection in order.
    auto Close() const -> void { ::shutdown(this->socket.native_handle(), SHUT_RDWR); }

    // Resets the connection after the entry has read what was written. The socket stays open, since
    // the destructor of the replica uses it from another thread.
    auto Reset() const -> void {
      std::this_thread::sleep_for(milliseconds(5));
      const sockaddr none{AF_UNSPEC, {}};
      static_cast<void>(::connect(this->socket.native_handle(), &none, sizeof(none)));
    }
  };
  // Receives the number of the request at this replica, from 1, and the request id.
  using Serve = std::function<void(int, const std::string&, const Writer&)>;

  // Listens on `port` of the loopback address, or on any free one.
  RawReplica(std::string id, Serve serve, std::uint16_t port = 0)
      : id(std::move(id)),
        acceptor(this->io, {boost::asio::ip::address_v4::loopback(), port}),
        address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port())),
        serve(std::move(serve)),
        listener([this] { this->Accept(); }) {}

  ~RawReplica() {
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->listener.join();
    for (auto& socket : this->sockets) ::shutdown(socket.native_handle(), SHUT_RDWR);
    for (auto& thread : this->threads) thread.join();
  }
  RawReplica(const RawReplica&) = delete;
  auto operator=(const RawReplica&) -> RawReplica& = delete;

  auto Connections() const -> int { return this->connections; }
  auto Requests() const -> int { return this->requests; }

  // Ends all connections and refuses new ones, as the crash of the replica's process does. May be
  // called by `serve`.
  auto Crash() -> void {
    const std::lock_guard lock(this->mutex);
    this->crashed = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    for (auto& socket : this->sockets) ::shutdown(socket.native_handle(), SHUT_RDWR);
  }
  // Ends all connections and goes on accepting new ones, as the crash of a process does whose
  // supervisor holds the address. May be called by `serve`.
  auto EndConnections() -> void {
    const std::lock_guard lock(this->mutex);
    for (auto& socket : this->sockets) ::shutdown(socket.native_handle(), SHUT_RDWR);
  }
  auto HasCrashed() const -> bool { return this->crashed; }

  const std::string id;

 private:
  auto Accept() -> void {
    boost::system::error_code error;
    while (true) {
      boost::asio::ip::tcp::socket socket(this->io);
      this->acceptor.accept(socket, error);
      if (error) return;
      const std::lock_guard lock(this->mutex);
      ++this->connections;
      this->sockets.push_back(std::move(socket));
      this->threads.emplace_back(
          [this, &socket = this->sockets.back()] { this->ServeConnection(socket); });
    }
  }

  auto ServeConnection(boost::asio::ip::tcp::socket& socket) -> void {
    boost::system::error_code error;
    const Writer write{socket};
    std::string head;
    while (!error) {
      const auto size =
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
      if (error) return;
      constexpr std::string_view field = "\r\nId: ";
      const auto begin = head.find(field) + field.size();
      const auto id = head.substr(begin, head.find("\r\n", begin) - begin);
      head.erase(0, size);
      this->serve(++this->requests, id, write);
    }
  }

  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;

 public:
  const std::string address;

 private:
  const Serve serve;
  std::atomic<int> connections = 0;
  std::atomic<int> requests = 0;
  std::atomic<bool> crashed = false;
  // Guards `sockets`.
  std::mutex mutex;
  std::list<boost::asio::ip::tcp::socket> sockets;
  std::vector<std::thread> threads;
  std::thread listener;
};

// Headers of a replica's response to the request.
inline auto AnswerHeaders(const net::HttpRequest& request) -> net::Headers {
  return {{"Id", std::string(net::FindHeader(request.headers, "Id"))}, {"Receipt", "r"}};
}

struct CallerResponse {
  int status = 0;
  net::Headers headers;
  std::string body;
  // Parts in which the body was read.
  int parts = 0;
  // Whether the response was read to its end.
  bool whole = false;
  // Error that ended the response early, if other than the end of the connection.
  std::string failure;
};

// Policies of an entry that may retry its first request, as one that has run for some time.
inline auto RunningPolicies() -> Policies {
  Policies policies;
  policies.budget.constant_after = {};
  return policies;
}

// An entry with a relay and its callers. It has no configuration before Configure is called.
struct TestEntry {
  explicit TestEntry(settings::Settings settings = MakeSettings("entry-1"))
      : node(std::move(settings), 1), relay(Start(this->node, TestDialect(), RunningPolicies())) {}

  explicit TestEntry(const Dialect& dialect)
      : node(MakeSettings("entry-1"), 1), relay(Start(this->node, dialect)) {}

  TestEntry(settings::Settings settings, const Policies& policies)
      : node(std::move(settings), 1), relay(Start(this->node, TestDialect(), policies)) {}

  auto Configure(direct::FleetConfig fleet) -> void {
    AcceptFleet(*this->relay, std::move(fleet));
    RecordConfirmation(*this->relay, TimeSinceBoot());
  }

  template <typename Replica>
  auto List(const Replica& replica, const std::string& service = "s") -> void {
    direct::Listing listing;
    listing.id = replica.id;
    listing.service = service;
    listing.address = replica.address;
    listing.failure_domain = "n1";
    listing.slots = 8;
    AcceptListing(*this->relay, listing);
  }

  // Runs one request and returns its response as far as it was received.
  auto Call(net::HttpRequest request, bool admin = false) -> CallerResponse {
    const auto address =
        settings::FormatAddress(admin ? this->node.settings.admin : this->node.settings.callers);
    std::promise<CallerResponse> done;
    this->callers.Post(0, [&] {
      CallerResponse out;
      try {
        net::HttpExchange exchange;
        exchange.Connect(address, kTimeout);
        request.headers.emplace_back("Host", "a.example");
        exchange.Send(request, kTimeout);
        const auto head = exchange.ReadHead(kTimeout);
        out.status = head.status;
        out.headers = head.headers;
        for (auto piece = exchange.ReadBody(kTimeout); !piece.empty();
             piece = exchange.ReadBody(kTimeout)) {
          out.body += piece;
          ++out.parts;
        }
        out.whole = true;
      } catch (const std::exception& error) {
        const std::string what = error.what();
        if (what.find("partial message") == std::string::npos &&
            what.find("end of stream") == std::string::npos) {
          out.failure = what;
        }
      }
      done.set_value(out);
    });
    return done.get_future().get();
  }

  node::Node node;
  std::shared_ptr<Relay> relay;
  runtime::Pool callers{1, [](const std::exception&) {}};
};

inline auto MakeRoute(const std::string& prefix) -> direct::Route {
  direct::Route route;
  route.name = prefix;
  route.host = "a.example";
  route.prefix = prefix;
  route.targets = {{"s", 1}};
  route.timeout = seconds(4);
  return route;
}

// Routes: /once/, /again/ (repeatable), /stream/ (resumable), /stream-once/, and /open/ without a
// credential. Workspace w holds the credential k.
inline auto MakeFleetConfig() -> direct::FleetConfig {
  direct::FleetConfig fleet;
  fleet.version = 1;
  fleet.requires_credential = true;
  fleet.credentials["k"] = "w";
  fleet.routes.push_back(MakeRoute("/once/"));
  fleet.routes.push_back(MakeRoute("/open/"));
  fleet.routes.back().is_public = true;
  fleet.routes.push_back(MakeRoute("/again/"));
  fleet.routes.back().call_class = core::CallClass::repeatable;
  fleet.routes.back().attempts = 2;
  fleet.routes.push_back(MakeRoute("/stream/"));
  fleet.routes.back().streaming = true;
  fleet.routes.back().resumable = true;
  fleet.routes.back().attempts = 2;
  fleet.routes.push_back(MakeRoute("/stream-once/"));
  fleet.routes.back().streaming = true;
  return fleet;
}

inline auto Get(const std::string& target, const std::string& id = "1") -> net::HttpRequest {
  return {"GET", target, {{"Id", id}, {"Key", "k"}}, "", ""};
}

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_TEST_FIXTURE_H_
