// Stand-in for an application service.

#include <CLI/CLI.hpp>
#include <iostream>

#include "tests/standins/history.h"
#include "tests/standins/http_server.h"

namespace filbertstair::standins {
namespace {

struct Options {
  std::string id = "app";
  std::string listen = "127.0.0.1:8100";
  std::string history;
  int service_ms = 10;
};

struct Application {
  Options options;
  History history;
  std::uint64_t serial = 0;
};

auto EventOf(const Request& request, std::uint64_t serial) -> json::object {
  json::object event;
  event["id"] = Header(request, "X-Test-Id");
  if (event["id"].as_string().empty()) event["id"] = Header(request, "X-Test-Echo");
  event["workspace"] = Header(request, "X-Workspace");
  event["key"] = Header(request, "Idempotency-Key");
  event["path"] = std::string(request.target());
  event["serial"] = serial;
  return event;
}

auto AnswerBody(const Application& app, const Request& request, std::uint64_t serial)
    -> std::string {
  const std::string text = "call " + std::to_string(serial) + " " + std::string(request.target());
  json::object body;
  body["path"] = std::string(request.target());
  body["echo"] = Header(request, "X-Test-Echo");
  body["serial"] = serial;
  body["app"] = app.options.id;
  body["text"] = text;
  body["length"] = text.size();
  body["checksum"] = Checksum(text);
  return json::serialize(body);
}

// Sends a body without end until the connection is closed.
auto SendEndless(beast::tcp_stream& stream) -> asio::awaitable<void> {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  co_await asio::async_write(stream, asio::buffer(head), asio::use_awaitable);
  while (true) {
    co_await asio::async_write(stream, asio::buffer(chunk), asio::use_awaitable);
    co_await Sleep(std::chrono::milliseconds(1));
  }
}

auto Handle(Application& app, beast::tcp_stream& stream, const Request& request)
    -> asio::awaitable<void> {
  const auto target = ParseTarget(request);
  if (target.path == "/readyz") {
    co_await Send(stream, MakeReply(request, http::status::ok, "{}"));
    co_return;
  }
  // Tests only: POST /control/service?ms=N makes the service slow or fast.
  if (target.path == "/control/service") {
    app.options.service_ms = static_cast<int>(target.Number("ms", app.options.service_ms));
    co_await Send(stream, MakeReply(request, http::status::ok, "{}"));
    co_return;
  }
  const auto serial = ++app.serial;
  app.history.Append("start", EventOf(request, serial));
  const auto fixed = Header(request, "X-Test-Service-Ms");
  const int time = fixed.empty() ? app.options.service_ms : std::stoi(fixed);
  co_await Sleep(std::chrono::milliseconds(time));
  app.history.Append("end", EventOf(request, serial));
  if (Header(request, "X-Test-Drop") == "1") co_return Reset(stream.socket());
  if (Header(request, "X-Test-Endless") == "1") {
    co_await SendEndless(stream);
    co_return;
  }
  auto body = AnswerBody(app, request, serial);
  co_await Send(stream, MakeReply(request, http::status::ok, std::move(body)));
}

auto Run(const Options& options) -> void {
  Application app{.options = options, .history = History(options.history, options.id)};
  // Destroyed before the application, because it ends the requests under way.
  asio::io_context io(1);
  Listen(io, options.listen, [&](beast::tcp_stream& stream, const Request& request) {
    return Handle(app, stream, request);
  });
  RunUntilSignal(io);
}

}  // namespace
}  // namespace filbertstair::standins

auto main(int argc, char** argv) -> int {
  filbertstair::standins::Options options;
  CLI::App app("Stand-in for an application service");
  app.add_option("--id", options.id, "Id of the endpoint whose replica this is");
  app.add_option("--listen", options.listen, "Address ip:port");
  app.add_option("--history", options.history, "JSON-lines file for starts and ends");
  app.add_option("--service-ms", options.service_ms, "Time that a call takes");
  CLI11_PARSE(app, argc, argv);
  try {
    filbertstair::standins::Run(options);
  } catch (const std::exception& error) {
    std::cerr << "app: " << error.what() << '\n';
    return 1;
  }
}
