#include "tests/soak/callers.h"

#include <fstream>
#include <random>

#include "tests/standins/history.h"
#include "tests/standins/http_server.h"

namespace filbertstair::soak {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr milliseconds kConnectTimeout{1000};
// The routes' timeout is 5 s; a caller waits a little longer for the refusal.
constexpr milliseconds kCallTimeout{6500};
constexpr milliseconds kReconnectDelay{50};
// Above the configuration's max-body-bytes.
constexpr std::size_t kLargeBody = 600'000;
constexpr std::size_t kUploadParts = 8;
constexpr milliseconds kUploadPause{180};
// Share of connections that go through a relay.
constexpr double kRelayedShare = 0.3;
// Every fifth caller uses the second key.
constexpr int kKeyTurn = 5;
// Longest pause between two requests of one caller.
constexpr int kMaxThinkMs = 400;
// Idle connections are kept beyond the drain notice of an entry.
constexpr double kIdleShare = 0.03;
constexpr int kIdleMs = 3500;
constexpr int kEvents = 8;
constexpr int kDeadlineMs = 5000;

struct Callers {
  const CallerOptions& options;
  std::int64_t end_at = 0;
  std::ofstream output;
  std::uint64_t serial = 0;
  std::uint64_t connections = 0;
};

struct Caller {
  int index = 0;
  std::mt19937_64 random;

  auto Uniform(int most) -> int {
    return std::uniform_int_distribution<int>(0, most)(this->random);
  }
  auto Chance(double share) -> bool { return std::bernoulli_distribution(share)(this->random); }
};

auto PickKind(Caller& caller) -> CallKind {
  const int roll = caller.Uniform(99);
  if (roll < 30) return CallKind::stream;
  if (roll < 60) return CallKind::once;
  if (roll < 85) return CallKind::again;
  if (roll < 92) return CallKind::slow_upload;
  if (roll < 96) return CallKind::large_upload;
  return CallKind::abandoned;
}

auto TargetOf(CallKind kind) -> std::string {
  if (kind == CallKind::stream || kind == CallKind::abandoned) return "/stream/x";
  return kind == CallKind::once ? "/once/x" : "/again/x";
}

auto BodyOf(const CallRecord& record) -> std::string {
  if (record.kind == CallKind::large_upload) return std::string(kLargeBody, 'l');
  if (record.kind == CallKind::slow_upload) return std::string(kUploadParts * 512, 's');
  return "body of " + record.id;
}

auto MakeRequest(const CallRecord& record) -> std::string {
  const auto body = BodyOf(record);
  return "POST " + TargetOf(record.kind) +
         " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " +
         std::string(record.second_key ? "key-2" : "key-1") +
         "\r\nX-Filbertstair-Attempt-Id: " + record.id +
         "\r\nX-Filbertstair-Deadline-Ms: " + std::to_string(record.deadline_ms) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto AllEvents() -> std::string {
  std::string out;
  for (int id = 1; id <= kEvents; ++id) out += "id: " + std::to_string(id) + "\ndata: part\n\n";
  return out;
}

auto ExpectedBody(const CallRecord& record) -> std::string {
  return TargetOf(record.kind) == "/stream/x" ? AllEvents()
                                              : TargetOf(record.kind) + BodyOf(record);
}

auto SendRequest(Caller& caller, beast::tcp_stream& stream, const CallRecord& record)
    -> asio::awaitable<void> {
  const auto text = MakeRequest(record);
  if (record.kind != CallKind::slow_upload) {
    co_await asio::async_write(stream, asio::buffer(text), asio::use_awaitable);
    co_return;
  }
  const auto part = text.size() / kUploadParts + 1;
  for (std::size_t at = 0; at < text.size(); at += part) {
    co_await asio::async_write(stream, asio::buffer(text.substr(at, part)), asio::use_awaitable);
    co_await standins::Sleep(kUploadPause + milliseconds(caller.Uniform(100)));
  }
}

auto JudgeResponse(const http::response<http::string_body>& response, CallRecord& record) -> void {
  record.outcome = std::string(response["X-Outcome"]);
  record.sound = record.status != 200 || (response.count("X-Filbertstair-Server-Seal") == 1 &&
                                          response.body() == ExpectedBody(record));
}

// Reads the response. Returns whether the connection can carry another request.
auto ReadResponse(beast::tcp_stream& stream, beast::flat_buffer& buffer, CallRecord& record)
    -> asio::awaitable<bool> {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  while (!parser.is_done()) {
    beast::error_code error;
    record.received += co_await http::async_read_some(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (parser.is_header_done()) record.status = static_cast<int>(parser.get().result_int());
    if (error) throw boost::system::system_error(error);
    if (record.kind == CallKind::abandoned && !parser.get().body().empty()) {
      record.gave_up = true;
      co_return false;
    }
  }
  record.complete = true;
  JudgeResponse(parser.get(), record);
  co_return parser.get().keep_alive();
}

auto Exchange(Caller& caller, beast::tcp_stream& stream, beast::flat_buffer& buffer,
              CallRecord& record) -> asio::awaitable<bool> {
  stream.expires_after(kCallTimeout);
  record.began_at = standins::NowUs();
  bool send_failed = false;
  try {
    co_await SendRequest(caller, stream, record);
    record.sent_at = standins::NowUs();
  } catch (const boost::system::system_error& error) {
    // An entry may refuse a request before it has read all of it.
    record.error = error.what();
    send_failed = true;
  }
  bool keep = false;
  try {
    keep = co_await ReadResponse(stream, buffer, record);
  } catch (const boost::system::system_error& error) {
    record.error = error.what();
    record.gave_up = error.code() == beast::error::timeout;
  }
  record.ended_at = standins::NowUs();
  co_return keep && !send_failed;
}

auto UseConnection(Callers& callers, Caller& caller, beast::tcp_stream& stream, CallRecord first)
    -> asio::awaitable<void> {
  beast::flat_buffer buffer;
  for (bool keep = true; keep && standins::NowUs() < callers.end_at;
       first.kept = true, ++first.order) {
    if (first.kept && IsClosed(stream)) break;
    auto record = first;
    record.kind = PickKind(caller);
    record.id = "c" + std::to_string(++callers.serial);
    keep = co_await Exchange(caller, stream, buffer, record);
    callers.output << FormatCall(record) << '\n' << std::flush;
    co_await standins::Sleep(
        milliseconds(caller.Chance(kIdleShare) ? kIdleMs : caller.Uniform(kMaxThinkMs)));
  }
}

auto RunCaller(Callers& callers, Caller caller) -> asio::awaitable<void> {
  const auto& options = callers.options;
  while (standins::NowUs() < callers.end_at) {
    CallRecord record;
    record.entry = caller.Uniform(static_cast<int>(options.entries.size()) - 1);
    record.connection = ++callers.connections;
    record.deadline_ms = kDeadlineMs;
    record.second_key = caller.index % kKeyTurn == 0;
    record.relayed = caller.Chance(kRelayedShare);
    const auto& addresses = record.relayed ? options.relays : options.entries;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(kConnectTimeout);
    record.connected_at = standins::NowUs();
    beast::error_code error;
    co_await stream.async_connect(
        standins::ParseEndpoint(addresses[static_cast<std::size_t>(record.entry)]),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await standins::Sleep(kReconnectDelay);
      continue;
    }
    stream.socket().set_option(tcp::no_delay(true));
    co_await UseConnection(callers, caller, stream, record);
  }
}

}  // namespace

auto RunCallers(const CallerOptions& options) -> void {
  asio::io_context io(1);
  Callers callers{options, standins::NowUs() + std::int64_t{options.traffic_ms} * 1000,
                  std::ofstream(options.output, std::ios::app)};
  if (!callers.output) throw std::runtime_error("cannot write " + options.output);
  for (int i = 0; i < options.callers; ++i) {
    const Caller caller{i,
                        std::mt19937_64(options.seed * 1'000'003 + static_cast<std::uint64_t>(i))};
    asio::co_spawn(io, RunCaller(callers, caller), asio::detached);
  }
  io.run();
}

auto IsClosed(beast::tcp_stream& stream) -> bool {
  char byte = 0;
  beast::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

auto ServiceOf(CallKind kind) -> std::string {
  return kind == CallKind::stream || kind == CallKind::abandoned ? "llm" : "app";
}

auto FormatCall(const CallRecord& record) -> std::string {
  return json::serialize(json::object{{"id", record.id},
                                      {"kind", core::Name(record.kind)},
                                      {"entry", record.entry},
                                      {"second_key", record.second_key},
                                      {"relayed", record.relayed},
                                      {"kept", record.kept},
                                      {"connection", record.connection},
                                      {"order", record.order},
                                      {"attempts", record.attempts},
                                      {"timeout_ms", record.timeout_ms},
                                      {"deadline_ms", record.deadline_ms},
                                      {"gave_up", record.gave_up},
                                      {"connected_at", record.connected_at},
                                      {"began_at", record.began_at},
                                      {"sent_at", record.sent_at},
                                      {"ended_at", record.ended_at},
                                      {"status", record.status},
                                      {"outcome", record.outcome},
                                      {"complete", record.complete},
                                      {"sound", record.sound},
                                      {"received", record.received},
                                      {"error", record.error}});
}

auto ParseCall(const std::string& line) -> CallRecord {
  const auto value = json::parse(line);
  const auto& object = value.as_object();
  CallRecord out;
  out.id = object.at("id").as_string();
  out.kind = core::ParseName<CallKind>(std::string(object.at("kind").as_string())).value();
  out.entry = object.at("entry").to_number<int>();
  out.second_key = object.at("second_key").as_bool();
  out.relayed = object.at("relayed").as_bool();
  out.kept = object.at("kept").as_bool();
  out.connection = object.at("connection").to_number<std::uint64_t>();
  out.order = object.at("order").to_number<int>();
  out.attempts = object.at("attempts").to_number<int>();
  out.timeout_ms = object.at("timeout_ms").to_number<int>();
  out.deadline_ms = object.at("deadline_ms").to_number<int>();
  out.gave_up = object.at("gave_up").as_bool();
  out.connected_at = object.at("connected_at").to_number<std::int64_t>();
  out.began_at = object.at("began_at").to_number<std::int64_t>();
  out.sent_at = object.at("sent_at").to_number<std::int64_t>();
  out.ended_at = object.at("ended_at").to_number<std::int64_t>();
  out.status = object.at("status").to_number<int>();
  out.outcome = object.at("outcome").as_string();
  out.complete = object.at("complete").as_bool();
  out.sound = object.at("sound").as_bool();
  out.received = object.at("received").to_number<std::uint64_t>();
  out.error = object.at("error").as_string();
  return out;
}

}  // namespace filbertstair::soak
