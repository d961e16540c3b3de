// Stand-in for the platform: configuration service and VM list. Tests change the fleet by replacing
// files in the object directory (write under a temporary name, then rename) and POST /reload.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>

#include "tests/standins/http_server.h"

namespace filbertstair::standins {
namespace {

// An object and the revision of its last change. A removed object keeps its entry without content.
struct Object {
  std::optional<std::string> content;
  std::uint64_t revision = 0;
};

struct Snapshot {
  std::uint64_t revision = 0;
  std::map<std::string, Object> objects;
};

struct Options {
  std::string listen = "127.0.0.1:7900";
  std::string control = "127.0.0.1:7901";
  std::string directory;
  std::uint64_t first_revision = 1;
  int vm_lag_ms = 0;
};

struct Platform {
  Options options;
  Snapshot current;
  // State that is answered while the service is stale.
  std::optional<Snapshot> stale;
  bool down = false;
  int delay_ms = 0;
  // Calls by kind since the start; a pending watch is counted when it arrives.
  std::map<std::string, std::uint64_t> counts{{"watch", 0}, {"read", 0}, {"refused", 0}};
  std::set<beast::tcp_stream*> open;
  // Destroyed before `open`, because it ends the requests under way, which are in `open`.
  asio::io_context io{1};
  // Expires on a change of revision, which wakes all pending watches.
  std::unique_ptr<asio::steady_timer> changed;
};

auto Visible(const Platform& platform) -> const Snapshot& {
  return platform.stale ? *platform.stale : platform.current;
}

auto ReadObjects(const std::filesystem::path& root) -> std::map<std::string, std::string> {
  std::map<std::string, std::string> objects;
  const auto read = [&](const std::filesystem::path& file) {
    std::ifstream in(file, std::ios::binary);
    if (in) {
      objects[std::filesystem::relative(file, root).string()] =
          std::string(std::istreambuf_iterator<char>(in), {});
    }
  };
  read(root / "vms.json");
  if (std::filesystem::is_directory(root / "documents")) {
    for (const auto& entry : std::filesystem::directory_iterator(root / "documents")) {
      if (entry.path().extension() == ".yaml") read(entry.path());
    }
  }
  return objects;
}

// Publishes the files that `selected` accepts and that differ from the published content.
auto Publish(Platform& platform, const std::function<bool(const std::string&)>& selected) -> void {
  const auto files = ReadObjects(platform.options.directory);
  std::map<std::string, std::optional<std::string>> changes;
  for (const auto& [name, content] : files) {
    const auto known = platform.current.objects.find(name);
    if (known == platform.current.objects.end() || known->second.content != content) {
      changes[name] = content;
    }
  }
  for (const auto& [name, object] : platform.current.objects) {
    if (object.content && !files.contains(name)) changes[name] = std::nullopt;
  }
  std::erase_if(changes, [&](const auto& change) { return !selected(change.first); });
  if (changes.empty()) return;
  ++platform.current.revision;
  for (auto& [name, content] : changes) {
    platform.current.objects[name] = {std::move(content), platform.current.revision};
  }
  platform.changed->cancel();
}

auto PublishLate(Platform& platform) -> asio::awaitable<void> {
  co_await Sleep(std::chrono::milliseconds(platform.options.vm_lag_ms));
  Publish(platform, [](const std::string& name) { return name == "vms.json"; });
}

auto WatchBody(const Snapshot& snapshot, std::uint64_t since) -> std::string {
  json::array objects;
  for (const auto& [name, object] : snapshot.objects) {
    if (object.revision <= since) continue;
    json::object row;
    row["name"] = name;
    if (!object.content) row["removed"] = true;
    objects.push_back(row);
  }
  json::object body;
  body["revision"] = snapshot.revision;
  body["objects"] = objects;
  return json::serialize(body);
}

// Waits until the visible revision exceeds `since` or the time is up.
auto Watch(Platform& platform, std::uint64_t since, std::chrono::milliseconds wait)
    -> asio::awaitable<void> {
  const auto end = std::chrono::steady_clock::now() + wait;
  while (Visible(platform).revision <= since && std::chrono::steady_clock::now() < end) {
    asio::steady_timer timeout(co_await asio::this_coro::executor, end);
    // `changed` never expires; cancelling it wakes every waiter with an error, which is the signal.
    timeout.async_wait([&platform](beast::error_code error) {
      if (!error) platform.changed->cancel();
    });
    beast::error_code ignored;
    co_await platform.changed->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

auto ServeApi(Platform& platform, beast::tcp_stream& stream, const Request& request)
    -> asio::awaitable<void> {
  const auto target = ParseTarget(request);
  const std::string objects = "/v1/objects/";
  const bool watch = target.path == "/v1/watch";
  const bool read = target.path.starts_with(objects);
  if (request.method() != http::verb::get || (!watch && !read)) {
    ++platform.counts["refused"];
    co_await Send(stream, MakeReply(request, http::status::not_found, "{}"));
    co_return;
  }
  ++platform.counts[watch ? "watch" : "read"];
  if (platform.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(platform.delay_ms));
  }
  if (watch) {
    const auto since = static_cast<std::uint64_t>(target.Number("since", 0));
    co_await Watch(platform, since, std::chrono::milliseconds(target.Number("wait_ms", 0)));
    if (platform.down) co_return Reset(stream.socket());
    auto body = WatchBody(Visible(platform), since);
    co_await Send(stream, MakeReply(request, http::status::ok, std::move(body)));
    co_return;
  }
  const auto& snapshot = Visible(platform);
  const auto found = snapshot.objects.find(target.path.substr(objects.size()));
  if (found == snapshot.objects.end() || !found->second.content) {
    co_await Send(stream, MakeReply(request, http::status::not_found, "{}"));
    co_return;
  }
  auto reply = MakeReply(request, http::status::ok, *found->second.content, "text/plain");
  reply.set("X-Revision", std::to_string(found->second.revision));
  co_await Send(stream, std::move(reply));
}

// Serves the API on a connection that /down can reset.
auto ServeTracked(Platform& platform, beast::tcp_stream& stream, const Request& request)
    -> asio::awaitable<void> {
  struct Tracked {
    Tracked(Platform& platform, beast::tcp_stream& stream) : platform(platform), stream(stream) {
      platform.open.insert(&stream);
    }
    Tracked(const Tracked&) = delete;
    auto operator=(const Tracked&) -> Tracked& = delete;
    ~Tracked() { this->platform.open.erase(&this->stream); }
    Platform& platform;
    beast::tcp_stream& stream;
  } const tracked(platform, stream);
  if (platform.down) co_return Reset(stream.socket());
  co_await ServeApi(platform, stream, request);
}

auto Control(Platform& platform, const Target& target) -> http::status {
  const bool on = target.Number("on", 1) != 0;
  if (target.path == "/reload") {
    const bool lag = platform.options.vm_lag_ms > 0;
    Publish(platform, [&](const std::string& name) { return !lag || name != "vms.json"; });
    if (lag) {
      asio::co_spawn(platform.changed->get_executor(), PublishLate(platform), asio::detached);
    }
  } else if (target.path == "/down") {
    platform.down = on;
    const auto open = platform.open;
    for (auto* stream : open) Reset(stream->socket());
    platform.changed->cancel();
  } else if (target.path == "/stale") {
    platform.stale = on ? std::optional(platform.current) : std::nullopt;
    platform.changed->cancel();
  } else if (target.path == "/delay") {
    platform.delay_ms = static_cast<int>(target.Number("ms", 0));
  } else if (target.path != "/counts" && target.path != "/readyz") {
    return http::status::not_found;
  }
  return http::status::ok;
}

auto CountsBody(const Platform& platform) -> std::string {
  json::object body;
  std::uint64_t total = 0;
  for (const auto& [kind, count] : platform.counts) {
    body[kind] = count;
    total += count;
  }
  body["total"] = total;
  body["revision"] = platform.current.revision;
  return json::serialize(body);
}

auto Run(Options options) -> void {
  Platform platform;
  auto& io = platform.io;
  platform.options = std::move(options);
  platform.changed =
      std::make_unique<asio::steady_timer>(io, asio::steady_timer::time_point::max());
  platform.current.revision = platform.options.first_revision - 1;
  Publish(platform, [](const std::string&) { return true; });
  Listen(
      io, platform.options.listen,
      [&](beast::tcp_stream& stream, const Request& request) {
        return ServeTracked(platform, stream, request);
      },
      [&] { return !platform.down; });
  Listen(io, platform.options.control,
         [&](beast::tcp_stream& stream, const Request& request) -> asio::awaitable<void> {
           const auto status = Control(platform, ParseTarget(request));
           return Send(stream, MakeReply(request, status, CountsBody(platform)));
         });
  RunUntilSignal(io);
}

}  // namespace
}  // namespace filbertstair::standins

auto main(int argc, char** argv) -> int {
  filbertstair::standins::Options options;
  CLI::App app("Stand-in for the platform's configuration service and VM list");
  app.add_option("--listen", options.listen, "Address ip:port of the API");
  app.add_option("--control", options.control, "Address ip:port of the control port");
  app.add_option("--dir", options.directory, "Directory with documents/ and vms.json")->required();
  app.add_option("--first-revision", options.first_revision, "Revision of the first state");
  app.add_option("--vm-lag-ms", options.vm_lag_ms, "Lag of the VM list after /reload");
  CLI11_PARSE(app, argc, argv);
  try {
    filbertstair::standins::Run(std::move(options));
  } catch (const std::exception& error) {
    std::cerr << "platform: " << error.what() << '\n';
    return 1;
  }
}
