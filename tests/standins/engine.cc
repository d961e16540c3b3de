// Stand-in for a model engine with continuous batching.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <cmath>
#include <iostream>
#include <random>
#include <set>

#include "tests/standins/batch.h"
#include "tests/standins/history.h"
#include "tests/standins/http_server.h"

namespace filbertstair::standins {
namespace {

struct Options {
  std::string id = "engine";
  std::string listen = "127.0.0.1:8000";
  std::string history;
  std::vector<std::string> models;
  std::uint64_t seed = 1;
  int batch = 8;
  double token_ms = 2;
  // Extra time per token in a full batch, as a share of the time in an otherwise empty batch.
  double fill_cost = 1;
  double mean_tokens = 32;
  int load_lag_ms = 200;
  int model_load_ms = 0;
  bool ignore_fencing = false;
};

// Incarnation and sequence number of an order.
using Fencing = std::pair<std::uint64_t, std::uint64_t>;

struct Engine {
  Options options;
  History history;
  std::mt19937_64 random;
  Batch batch;
  std::set<std::string> models;
  Fencing fencing;
  std::uint64_t stale_orders = 0;
};

// One completion and what has been generated of it.
struct Completion {
  std::string id;
  std::string echo;
  std::string model;
  std::string workspace;
  bool stream = false;
  int tokens = 0;
  int done = 0;
  std::string text;
};

auto ReadCompletion(Engine& engine, const Request& request) -> Completion {
  const auto body = json::parse(request.body()).as_object();
  Completion completion;
  completion.echo = Header(request, "X-Test-Echo");
  completion.id = Header(request, "X-Test-Id");
  if (completion.id.empty()) completion.id = completion.echo;
  completion.workspace = Header(request, "X-Workspace");
  completion.model = json::value_to<std::string>(body.at("model"));
  completion.stream = body.contains("stream") && body.at("stream").as_bool();
  std::lognormal_distribution<double> tokens(std::log(engine.options.mean_tokens) - 0.5, 1.0);
  completion.tokens = std::max(1, static_cast<int>(tokens(engine.random)));
  if (body.contains("max_tokens")) {
    completion.tokens = std::min(completion.tokens, body.at("max_tokens").to_number<int>());
  }
  const auto fixed = Header(request, "X-Test-Tokens");
  if (!fixed.empty()) completion.tokens = std::stoi(fixed);
  return completion;
}

// Last part of an answer, by which a caller verifies that it is whole and its own.
auto Trailer(const Engine& engine, const Completion& completion) -> json::object {
  json::object trailer;
  trailer["echo"] = completion.echo;
  trailer["model"] = completion.model;
  trailer["engine"] = engine.options.id;
  trailer["length"] = completion.text.size();
  trailer["checksum"] = Checksum(completion.text);
  return trailer;
}

auto EventOf(const Completion& completion) -> json::object {
  json::object event;
  event["id"] = completion.id;
  event["workspace"] = completion.workspace;
  event["tokens"] = completion.done;
  return event;
}

auto SendEvent(beast::tcp_stream& stream, const json::object& event) -> asio::awaitable<void> {
  const auto text = "data: " + json::serialize(event) + "\n\n";
  co_await asio::async_write(stream, http::make_chunk(asio::buffer(text)), asio::use_awaitable);
}

auto Generate(Engine& engine, beast::tcp_stream& stream, const Request& request,
              Completion& completion) -> asio::awaitable<void> {
  Place place(engine.batch);
  co_await place.Enter();
  if (completion.stream) {
    http::response<http::empty_body> head(http::status::ok, request.version());
    head.set(http::field::content_type, "text/event-stream");
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(stream, serializer, asio::use_awaitable);
  }
  const auto& options = engine.options;
  while (completion.done < completion.tokens) {
    const double fill = engine.batch.Fill();
    const double time_us = 1000 * options.token_ms * (1 + options.fill_cost * fill);
    co_await Sleep(std::chrono::microseconds(static_cast<std::int64_t>(time_us)));
    const auto token =
        "t" + std::to_string(completion.done++) + "-" + std::to_string(engine.random() % 1000);
    completion.text += token;
    if (!completion.stream) continue;
    json::object event;
    event["token"] = token;
    co_await SendEvent(stream, event);
  }
  auto trailer = Trailer(engine, completion);
  if (completion.stream) {
    co_await SendEvent(stream, trailer);
    const std::string done = "data: [DONE]\n\n";
    co_await asio::async_write(stream, http::make_chunk(asio::buffer(done)), asio::use_awaitable);
    co_await asio::async_write(stream, http::make_chunk_last(), asio::use_awaitable);
  } else {
    trailer["text"] = completion.text;
    auto body = json::serialize(trailer);
    co_await Send(stream, MakeReply(request, http::status::ok, std::move(body)));
  }
}

auto Complete(Engine& engine, beast::tcp_stream& stream, const Request& request)
    -> asio::awaitable<void> {
  using asio::experimental::awaitable_operators::operator||;
  auto completion = ReadCompletion(engine, request);
  if (!engine.models.empty() && !engine.models.contains(completion.model)) {
    co_await Send(stream, MakeReply(request, http::status::not_found, R"({"error":"model"})"));
    co_return;
  }
  engine.history.Append("start", EventOf(completion));
  bool whole = false;
  try {
    const auto first =
        co_await (Generate(engine, stream, request, completion) || PeerClosed(stream));
    whole = first.index() == 0;
  } catch (const std::exception&) {
    // A failed write means that the peer left.
  }
  engine.history.Append(whole ? "end" : "cancel", EventOf(completion));
  if (!whole) stream.close();
}

auto LoadBody(Engine& engine) -> std::string {
  const auto load = engine.batch.Reported(engine.options.load_lag_ms);
  json::object body;
  body["running"] = load.running;
  body["waiting"] = load.waiting;
  body["batch"] = engine.options.batch;
  return json::serialize(body);
}

auto StateBody(const Engine& engine) -> std::string {
  json::object body;
  body["models"] = json::value_from(engine.models);
  body["fencing"] = json::value_from(engine.fencing);
  body["stale_orders"] = engine.stale_orders;
  return json::serialize(body);
}

// Carries out {"order": "load" or "unload", "model", "fencing": [incarnation, sequence]}. An order
// with an older fencing number is rejected, or carried out with --ignore-fencing.
auto Order(Engine& engine, const Request& request) -> http::status {
  const auto body = json::parse(request.body()).as_object();
  const auto fencing = json::value_to<Fencing>(body.at("fencing"));
  const bool stale = fencing < engine.fencing;
  const auto order = json::value_to<std::string>(body.at("order"));
  const auto model = json::value_to<std::string>(body.at("model"));
  json::object event = body;
  event["stale"] = stale;
  engine.history.Append("order", event);
  if (stale) ++engine.stale_orders;
  if (stale && !engine.options.ignore_fencing) return http::status::conflict;
  if (order != "load" && order != "unload") return http::status::bad_request;
  engine.fencing = std::max(engine.fencing, fencing);
  if (order == "load") engine.models.insert(model);
  if (order == "unload") engine.models.erase(model);
  return http::status::ok;
}

auto Handle(Engine& engine, beast::tcp_stream& stream, const Request& request)
    -> asio::awaitable<void> {
  const auto path = ParseTarget(request).path;
  auto status = http::status::ok;
  std::string body = "{}";
  if (path == "/v1/chat/completions" && request.method() == http::verb::post) {
    co_return co_await Complete(engine, stream, request);
  } else if (path == "/load") {
    body = LoadBody(engine);
  } else if (path == "/orders" && request.method() == http::verb::post) {
    if (engine.options.model_load_ms > 0) {
      co_await Sleep(std::chrono::milliseconds(engine.options.model_load_ms));
    }
    status = Order(engine, request);
    body = StateBody(engine);
  } else if (path == "/state") {
    body = StateBody(engine);
  } else if (path != "/readyz") {
    status = http::status::not_found;
  }
  co_await Send(stream, MakeReply(request, status, std::move(body)));
}

auto Run(const Options& options) -> void {
  Engine engine{.options = options,
                .history = History(options.history, options.id),
                .random = std::mt19937_64(options.seed),
                .batch = Batch(options.batch),
                .models = {options.models.begin(), options.models.end()},
                .fencing = {}};
  // Destroyed before the engine, because it ends the requests under way.
  asio::io_context io(1);
  Listen(io, options.listen, [&](beast::tcp_stream& stream, const Request& request) {
    return Handle(engine, stream, request);
  });
  RunUntilSignal(io);
}

}  // namespace
}  // namespace filbertstair::standins

auto main(int argc, char** argv) -> int {
  filbertstair::standins::Options options;
  CLI::App app("Stand-in for a model engine");
  app.add_option("--id", options.id, "Id of the endpoint whose replica this is");
  app.add_option("--listen", options.listen, "Address ip:port");
  app.add_option("--history", options.history, "JSON-lines file for starts and ends");
  app.add_option("--model", options.models, "Loaded model; without one every model is served");
  app.add_option("--seed", options.seed, "Seed of the token distribution");
  app.add_option("--batch", options.batch, "Requests that share the batch");
  app.add_option("--token-ms", options.token_ms, "Time per token in an otherwise empty batch");
  app.add_option("--fill-cost", options.fill_cost, "Extra time share per token in a full batch");
  app.add_option("--mean-tokens", options.mean_tokens, "Mean number of tokens");
  app.add_option("--load-lag-ms", options.load_lag_ms, "Lag of the load report");
  app.add_option("--model-load-ms", options.model_load_ms, "Time to carry out an order");
  app.add_flag("--ignore-fencing", options.ignore_fencing, "Carry out stale orders");
  CLI11_PARSE(app, argc, argv);
  try {
    filbertstair::standins::Run(options);
  } catch (const std::exception& error) {
    std::cerr << "engine: " << error.what() << '\n';
    return 1;
  }
}
