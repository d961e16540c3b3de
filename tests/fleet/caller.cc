#include "tests/fleet/caller.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "tests/standins/history.h"
#include "tests/standins/http_server.h"

namespace filbertstair::fleet {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

auto MakeRequest(const Call& call) -> http::request<http::string_body> {
  http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
  request.set(http::field::host, call.host.empty() ? call.address : call.host);
  if (!call.workspace.empty()) request.set("X-Workspace", call.workspace);
  if (!call.key.empty()) request.set("Idempotency-Key", call.key);
  if (!call.id.empty()) {
    request.set("X-Test-Id", call.id);
    request.set("X-Test-Echo", call.id);
  }
  if (!call.body.empty()) request.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// Copies the head once it is complete.
auto TakeHead(const http::response<http::string_body>& message, Reply& reply) -> void {
  if (reply.status != 0) return;
  reply.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    reply.headers[name] = std::string(field.value());
  }
}

auto Exchange(const Call& call, Reply& reply) -> asio::awaitable<void> {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(call.timeout);
  co_await stream.async_connect(standins::ParseEndpoint(call.address), asio::use_awaitable);
  stream.socket().set_option(tcp::no_delay(true));
  const auto request = MakeRequest(call);
  co_await http::async_write(stream, request, asio::use_awaitable);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(256u << 20);
  // An eager parser waits for further data where it has parsed a part of the body already.
  parser.eager(false);
  while (!parser.is_done()) {
    beast::error_code error;
    co_await http::async_read_some(stream, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (parser.is_header_done()) {
      TakeHead(parser.get(), reply);
      const auto known = reply.body.size();
      reply.body.append(parser.get().body(), known);
      const std::string_view body = reply.body;
      if (body.size() > known && call.on_part && !call.on_part(body.substr(known))) {
        reply.error = "closed by the caller";
        co_return;
      }
    }
    if (error) throw boost::system::system_error(error);
  }
  reply.complete = true;
}

auto Describe(std::string_view text) -> std::string {
  return std::to_string(text.size()) + ":" + standins::Checksum(text);
}

// Takes over what one JSON object of an answer says.
auto TakeObject(const json::object& object, Answer& answer) -> void {
  if (const auto* token = object.if_contains("token")) answer.text += token->as_string().c_str();
  if (const auto* text = object.if_contains("text")) answer.text = text->as_string().c_str();
  if (const auto* echo = object.if_contains("echo")) answer.echo = echo->as_string().c_str();
  if (object.contains("checksum")) {
    answer.announced = std::to_string(object.at("length").to_number<std::uint64_t>()) + ":" +
                       object.at("checksum").as_string().c_str();
  }
}

// Reads server-sent events of one line each.
auto TakeStream(std::string_view body, Answer& answer) -> void {
  const std::string_view mark = "data: ";
  while (!body.empty()) {
    const auto end = std::min(body.find('\n'), body.size());
    auto line = body.substr(0, end);
    body.remove_prefix(std::min(end + 1, body.size()));
    if (!line.starts_with(mark)) continue;
    line.remove_prefix(mark.size());
    if (line == "[DONE]") {
      answer.complete = true;
      continue;
    }
    beast::error_code error;
    const auto value = json::parse(json::string_view(line.data(), line.size()), error);
    if (!error && value.is_object()) TakeObject(value.get_object(), answer);
  }
}

}  // namespace

auto Reply::Header(const std::string& name) const -> std::string {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? "" : found->second;
}

Recorder::Recorder(std::string path) : path(std::move(path)) {
  std::ofstream out(this->path, std::ios::app);
  if (!out) throw std::runtime_error("cannot write history " + this->path);
}

auto Recorder::Record(Event event) -> void {
  const std::lock_guard lock(this->mutex);
  event.at = standins::NowUs();
  std::ofstream(this->path, std::ios::app) << FormatEvent(event) + "\n" << std::flush;
}

auto Send(const Call& call) -> Reply {
  Reply reply;
  asio::io_context io(1);
  asio::co_spawn(io, Exchange(call, reply), [&](const std::exception_ptr& failure) {
    try {
      if (failure) std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      reply.error = error.what();
    }
  });
  io.run();
  return reply;
}

auto ReadAnswer(const Reply& reply) -> Answer {
  Answer answer;
  if (reply.Header("content-type").starts_with("text/event-stream")) {
    TakeStream(reply.body, answer);
  } else {
    beast::error_code error;
    const auto value = json::parse(reply.body, error);
    if (!error && value.is_object()) TakeObject(value.get_object(), answer);
    answer.complete = true;
  }
  answer.complete = answer.complete && reply.complete;
  answer.received = Describe(answer.text);
  return answer;
}

auto OutcomeOf(const Call& call, const Reply& reply, const std::string& source) -> Event {
  Event event;
  event.source = source;
  event.id = call.id;
  event.workspace = call.workspace;
  event.service = call.service;
  event.key = call.key;
  event.status = reply.status;
  event.endpoint = reply.Header("x-endpoint");
  event.outcome = core::ParseName<core::Outcome>(reply.Header("x-outcome"));
  beast::error_code error;
  const auto value = reply.status >= 400 ? json::parse(reply.body, error) : json::value();
  const auto* detail =
      !error && value.is_object() ? value.get_object().if_contains("error") : nullptr;
  if (!reply.complete) {
    event.kind = EventKind::disconnect;
    event.reason = reply.error;
  } else if (detail != nullptr && detail->is_object()) {
    const auto text = [&](const char* name) -> std::string {
      const auto* field = detail->get_object().if_contains(name);
      return field != nullptr && field->is_string() ? field->get_string().c_str() : "";
    };
    event.kind = EventKind::refuse;
    event.reason = text("reason");
    event.outcome = core::ParseName<core::Outcome>(text("outcome"));
  } else {
    const auto answer = ReadAnswer(reply);
    event.kind = EventKind::answer;
    event.echo = answer.echo;
    event.announced = answer.announced;
    event.received = answer.received;
    event.complete = answer.complete;
  }
  return event;
}

auto Invoke(const Call& call, const std::string& source, Recorder& recorder, Reply* reply)
    -> Event {
  Event invoke;
  invoke.source = source;
  invoke.id = call.id;
  invoke.workspace = call.workspace;
  invoke.service = call.service;
  invoke.call_class = call.call_class;
  invoke.key = call.key;
  recorder.Record(invoke);
  auto received = Send(call);
  auto outcome = OutcomeOf(call, received, source);
  recorder.Record(outcome);
  if (reply != nullptr) *reply = std::move(received);
  return outcome;
}

auto MakeKey(std::uint64_t serial) -> std::string {
  const auto ms =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
  char key[64];
  std::snprintf(key, sizeof(key), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                static_cast<unsigned long long>(ms >> 16),
                static_cast<unsigned long long>(ms & 0xffff),
                static_cast<unsigned long long>((serial >> 60) & 0xfff),
                static_cast<unsigned long long>((serial >> 48) & 0xfff),
                static_cast<unsigned long long>(serial & 0xffffffffffff));
  return key;
}

}  // namespace filbertstair::fleet
