#include "tests/soak/clients.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <optional>
#include <random>

#include "tests/standins/history.h"
#include "tests/standins/http_server.h"

namespace filbertstair::soak {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr milliseconds kConnectTimeout{1000};
// Interval of the questions for readiness, time for an answer, and misses that take an entry out.
constexpr milliseconds kProbeInterval{1000};
constexpr int kMisses = 2;
// Pause before an attempt that no `Retry-After` delays.
constexpr int kPauseMs = 50;
// Shortest time in which an attempt is begun.
constexpr std::int64_t kShortestUs = 50'000;
// A connection is used again within four fifths of the configuration's idle-timeout-ms.
constexpr std::int64_t kIdleUs = 12'000'000;

struct Connection {
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::uint64_t number = 0;
  // Requests that it has carried, and the end of the last one.
  int order = 0;
  std::int64_t used_at = 0;
};

struct Target {
  std::string zone;
  int misses = 0;
  std::vector<std::unique_ptr<Connection>> idle;
};

struct Clients {
  const Profile& profile;
  const CallerOptions& options;
  std::int64_t end_at = 0;
  std::ofstream output;
  std::mt19937_64 random;
  std::vector<Target> targets;
  std::uint64_t serial = 0;
  std::uint64_t connections = 0;

  auto Uniform(std::size_t most) -> std::size_t {
    return std::uniform_int_distribution<std::size_t>(0, most)(this->random);
  }
  auto Chance(double share) -> bool { return std::bernoulli_distribution(share)(this->random); }
};

// A request that comes back until it is served or its time is up.
struct Errand {
  const RequestClass* request = nullptr;
  std::uint64_t serial = 0;
  std::string zone;
  std::size_t workspace = 0;
  std::int64_t end_at = 0;
  // Id of the last whole event that arrived.
  int last_event = 0;
  bool leaving = false;
};

auto InRotation(const Target& target) -> bool { return target.misses < kMisses; }

// Picks one of the ready entries of the zone, or of all zones if it has fewer than a half, or any
// of the zone if none is ready.
auto PickTarget(Clients& clients, const std::string& zone) -> std::size_t {
  std::vector<std::size_t> near;
  std::vector<std::size_t> near_ready;
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < clients.targets.size(); ++i) {
    const auto& target = clients.targets[i];
    if (target.zone == zone) near.push_back(i);
    if (!InRotation(target)) continue;
    ready.push_back(i);
    if (target.zone == zone) near_ready.push_back(i);
  }
  const bool enough = !near.empty() && 2 * near_ready.size() >= near.size();
  const auto& from = enough ? near_ready : !near_ready.empty() ? near : ready;
  if (from.empty()) return clients.Uniform(clients.targets.size() - 1);
  return from[clients.Uniform(from.size() - 1)];
}

auto ProbeTarget(Clients& clients, std::size_t index) -> asio::awaitable<void> {
  const auto endpoint = standins::ParseEndpoint(clients.options.admins[index]);
  auto& target = clients.targets[index];
  while (standins::NowUs() < clients.end_at) {
    const auto begin = standins::NowUs();
    bool ready = false;
    try {
      beast::tcp_stream stream(co_await asio::this_coro::executor);
      stream.expires_after(kProbeInterval);
      co_await stream.async_connect(endpoint, asio::use_awaitable);
      const http::request<http::empty_body> request(http::verb::get, "/readyz", 11);
      co_await http::async_write(stream, request, asio::use_awaitable);
      beast::flat_buffer buffer;
      http::response<http::string_body> response;
      co_await http::async_read(stream, buffer, response, asio::use_awaitable);
      ready = response.result() == http::status::ok;
    } catch (const boost::system::system_error&) {
    }
    target.misses = ready ? 0 : target.misses + 1;
    const auto rest = std::chrono::duration_cast<microseconds>(kProbeInterval) -
                      microseconds(standins::NowUs() - begin);
    if (rest.count() > 0) {
      co_await standins::Sleep(rest);
    }
  }
}

auto TargetOf(const Errand& errand) -> std::string { return "/" + errand.request->name + "/x"; }

auto MakeRequest(const Errand& errand, const CallRecord& record) -> std::string {
  const auto& request = *errand.request;
  const auto workspace = std::to_string(errand.workspace);
  auto text = "POST " + TargetOf(errand) +
              " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-team-" + workspace +
              "\r\nX-Filbertstair-Attempt-Id: " + record.id +
              "\r\nX-Filbertstair-Deadline-Ms: " + std::to_string(record.deadline_ms) +
              "\r\nX-Test-Work-Ms: " + std::to_string(request.work.count() / 1000) +
              "\r\nContent-Length: " + std::to_string(request.body_bytes);
  if (request.kind == CallKind::stream) {
    text += "\r\nX-Test-Events: " + std::to_string(request.events) +
            "\r\nX-Filbertstair-Model: m\r\nX-Filbertstair-Token-Count: " +
            std::to_string(request.body_bytes / 4 + 2) + "," + std::to_string(request.events) +
            "\r\nX-Filbertstair-Prompt-Prefix: a" + workspace + ":" +
            std::to_string(request.body_bytes / 8 + 1) + ",b" + std::to_string(errand.serial) +
            ":" + std::to_string(request.body_bytes / 8 + 1);
    if (errand.last_event > 0) text += "\r\nLast-Event-Id: " + std::to_string(errand.last_event);
  }
  return text + "\r\n\r\n" + std::string(request.body_bytes, 'b');
}

auto ExpectedBody(const Errand& errand, int first) -> std::string {
  const auto& request = *errand.request;
  if (request.kind != CallKind::stream) {
    return TargetOf(errand) + std::string(request.body_bytes, 'b');
  }
  std::string out;
  for (int id = first; id <= static_cast<int>(request.events); ++id) {
    out += "id: " + std::to_string(id) + "\ndata: part\n\n";
  }
  return out;
}

// Number of whole events in a part of the expected body.
auto CountEvents(const std::string& body) -> int {
  int count = 0;
  for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

auto TakeIdle(Clients& clients, Target& target) -> std::unique_ptr<Connection> {
  if (!clients.Chance(clients.profile.patience.kept)) return nullptr;
  while (!target.idle.empty()) {
    auto out = std::move(target.idle.back());
    target.idle.pop_back();
    if (standins::NowUs() - out->used_at < kIdleUs && !IsClosed(out->stream)) return out;
  }
  return nullptr;
}

// Returns null if the entry accepts no connection in time.
auto Connect(Clients& clients, std::size_t index) -> asio::awaitable<std::unique_ptr<Connection>> {
  const auto executor = co_await asio::this_coro::executor;
  auto out = std::make_unique<Connection>(Connection{beast::tcp_stream(executor), {}, 0, 0, 0});
  out->stream.expires_after(kConnectTimeout);
  beast::error_code error;
  co_await out->stream.async_connect(standins::ParseEndpoint(clients.options.entries[index]),
                                     asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return nullptr;
  out->stream.socket().set_option(tcp::no_delay(true));
  out->number = ++clients.connections;
  co_return out;
}

struct Answer {
  bool keep = false;
  std::optional<double> retry_after_seconds;
};

// Reads the response. An error is thrown once the record has what arrived.
auto ReadAnswer(Connection& connection, Errand& errand, CallRecord& record, Answer& answer)
    -> asio::awaitable<void> {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  const int first = errand.last_event + 1;
  beast::error_code error;
  while (!parser.is_done() && !error) {
    record.received +=
        co_await http::async_read_some(connection.stream, connection.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    if (parser.is_header_done()) record.status = static_cast<int>(parser.get().result_int());
    if (errand.leaving && record.status == 200 && !parser.get().body().empty()) {
      record.gave_up = true;
      co_return;
    }
  }
  const auto& response = parser.get();
  record.outcome = std::string(response["X-Outcome"]);
  if (record.status == 200 && errand.request->kind == CallKind::stream) {
    errand.last_event = first - 1 + CountEvents(response.body());
  }
  if (error) throw boost::system::system_error(error);
  record.complete = true;
  record.sound = record.status != 200 || (response.count("X-Filbertstair-Server-Seal") == 1 &&
                                          response.body() == ExpectedBody(errand, first));
  if (response.count(http::field::retry_after) > 0) {
    answer.retry_after_seconds = std::stod(std::string(response[http::field::retry_after]));
  }
  answer.keep = response.keep_alive();
}

auto Exchange(Connection& connection, Errand& errand, CallRecord& record)
    -> asio::awaitable<Answer> {
  Answer answer;
  record.began_at = standins::NowUs();
  connection.stream.expires_after(microseconds(errand.end_at - record.began_at));
  const auto text = MakeRequest(errand, record);
  bool sent = false;
  try {
    co_await asio::async_write(connection.stream, asio::buffer(text), asio::use_awaitable);
    record.sent_at = standins::NowUs();
    sent = true;
  } catch (const boost::system::system_error& error) {
    // An entry may refuse a request before it has read all of it.
    record.error = error.what();
  }
  try {
    co_await ReadAnswer(connection, errand, record, answer);
  } catch (const boost::system::system_error& error) {
    record.error = error.what();
    record.gave_up = error.code() == beast::error::timeout;
  }
  record.ended_at = standins::NowUs();
  answer.keep = answer.keep && sent;
  co_return answer;
}

// Time to wait before the request comes back, or nothing if it does not.
auto PauseAfter(Clients& clients, const Errand& errand, const CallRecord& record,
                const Answer& answer) -> std::optional<microseconds> {
  const bool promised =
      record.status == 408 || record.status == 421 || record.status == 429 || record.status == 503;
  if (record.gave_up || (record.status == 200 && record.complete)) return std::nullopt;
  if (record.status >= 400 && record.status < 500 && !promised) return std::nullopt;
  if (!promised && errand.request->kind == CallKind::once) return std::nullopt;
  if (clients.Chance(clients.profile.patience.at_once)) return microseconds(0);
  const microseconds pause = milliseconds(kPauseMs + clients.Uniform(kPauseMs));
  if (!answer.retry_after_seconds) return pause;
  const auto asked = static_cast<std::int64_t>(*answer.retry_after_seconds * 1e6);
  const auto most = (errand.end_at - standins::NowUs()) / 3;
  return std::max(pause, microseconds(std::min(asked, most)));
}

// Sends the request once. Returns the pause before the next attempt, or nothing after the last one.
auto Attempt(Clients& clients, Errand& errand, std::uint32_t number)
    -> asio::awaitable<std::optional<microseconds>> {
  const auto index = PickTarget(clients, errand.zone);
  auto& target = clients.targets[index];
  CallRecord record;
  record.connected_at = standins::NowUs();
  auto connection = TakeIdle(clients, target);
  if (!connection) {
    auto fresh = co_await Connect(clients, index);
    connection = std::move(fresh);
  }
  if (!connection) co_return milliseconds(kPauseMs);
  const auto left = errand.end_at - standins::NowUs();
  if (left < kShortestUs) co_return std::nullopt;
  record.id = "c" + std::to_string(errand.serial) + "." + std::to_string(number);
  record.kind = errand.leaving ? CallKind::abandoned : errand.request->kind;
  record.entry = static_cast<int>(index);
  record.kept = connection->order > 0;
  record.connection = connection->number;
  record.order = connection->order++;
  record.attempts = static_cast<int>(errand.request->attempts);
  record.timeout_ms = static_cast<int>(errand.request->timeout.count() / 1000);
  record.deadline_ms = static_cast<int>(left / 1000);
  const auto answer = co_await Exchange(*connection, errand, record);
  clients.output << FormatCall(record) << '\n' << std::flush;
  if (answer.keep) {
    connection->used_at = standins::NowUs();
    target.idle.push_back(std::move(connection));
  }
  co_return PauseAfter(clients, errand, record, answer);
}

auto RunErrand(Clients& clients, Errand errand) -> asio::awaitable<void> {
  for (std::uint32_t number = 1; number <= clients.profile.patience.attempts; ++number) {
    const auto pause = co_await Attempt(clients, errand, number);
    if (!pause || standins::NowUs() + pause->count() + kShortestUs > errand.end_at) co_return;
    co_await standins::Sleep(*pause);
  }
}

// Begins requests of the class at the times of a Poisson process, whatever became of the earlier.
auto RunClass(Clients& clients, const RequestClass& request) -> asio::awaitable<void> {
  std::exponential_distribution<double> interval(request.rate * 1e-6);
  const auto executor = co_await asio::this_coro::executor;
  auto next = standins::NowUs();
  while (true) {
    next += static_cast<std::int64_t>(interval(clients.random)) + 1;
    if (next >= clients.end_at) co_return;
    const auto wait = next - standins::NowUs();
    if (wait > 0) {
      co_await standins::Sleep(microseconds(wait));
    }
    Errand errand;
    errand.request = &request;
    errand.serial = ++clients.serial;
    // Each zone has clients in proportion to its entries.
    errand.zone = clients.targets[clients.Uniform(clients.targets.size() - 1)].zone;
    errand.workspace = clients.Uniform(clients.profile.workspaces - 1);
    errand.end_at = standins::NowUs() + request.deadline.count();
    errand.leaving =
        request.kind == CallKind::stream && clients.Chance(clients.profile.patience.leaving);
    asio::co_spawn(executor, RunErrand(clients, std::move(errand)), asio::detached);
  }
}

}  // namespace

auto RunClients(const Profile& profile, const CallerOptions& options) -> void {
  asio::io_context io(1);
  Clients clients{profile,
                  options,
                  standins::NowUs() + std::int64_t{options.traffic_ms} * 1000,
                  std::ofstream(options.output, std::ios::app),
                  std::mt19937_64(options.seed),
                  {},
                  0,
                  0};
  if (!clients.output) throw std::runtime_error("cannot write " + options.output);
  for (const auto& group : profile.entries) {
    for (std::uint32_t i = 0; i < group.count; ++i) {
      clients.targets.emplace_back().zone = group.zone;
    }
  }
  if (clients.targets.size() != options.entries.size() ||
      clients.targets.size() != options.admins.size()) {
    throw std::runtime_error("addresses of other entries than the profile has");
  }
  for (std::size_t i = 0; i < clients.targets.size(); ++i) {
    asio::co_spawn(io, ProbeTarget(clients, i), asio::detached);
  }
  for (const auto& request : profile.classes) {
    asio::co_spawn(io, RunClass(clients, request), asio::detached);
  }
  io.run();
}

}  // namespace filbertstair::soak
