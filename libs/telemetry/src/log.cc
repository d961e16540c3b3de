#include "filbertstair/telemetry/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "filbertstair/telemetry/line_budget.h"

namespace filbertstair::telemetry {
namespace {

std::atomic<Format> log_format = Format::text;

// Capacity of the queue of lines that are not written yet. If it overflows because the reader of
// standard output is slow, the oldest lines are dropped.
constexpr std::size_t kMaxQueuedLines = 4096;

// Timeout for writing queued lines before the process exits, and the interval at which the queue is
// polled.
constexpr std::chrono::milliseconds kFlushTimeout{100};
constexpr std::chrono::milliseconds kFlushPollInterval{2};

// Returns whether the event may be logged for each request, so that its rate is unbounded.
auto IsPerRequest(Event event) -> bool {
  const int number = static_cast<int>(event);
  return number >= 400 && number < 500;
}

// Returns the number of lines of the event suppressed before this one, or nullopt if this line is
// to be suppressed.
auto ConsumeEventLine(Event event) -> std::optional<std::uint64_t> {
  if (!IsPerRequest(event)) return 0;
  static std::mutex mutex;
  static std::map<Event, LineBudget> budgets;
  const std::lock_guard lock(mutex);
  return ConsumeLine(budgets[event], std::chrono::steady_clock::now());
}

auto ToSpdlog(Level level) -> spdlog::level::level_enum {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warning:
      return spdlog::level::warn;
    case Level::error:
      break;
  }
  return spdlog::level::err;
}

auto IsControl(char c) -> bool { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }

auto AppendEscaped(std::string& out, std::string_view text) -> void {
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (IsControl(c)) {
      out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    } else {
      out += c;
    }
  }
}

auto AppendString(std::string& out, std::string_view text) -> void {
  out += '"';
  AppendEscaped(out, text);
  out += '"';
}

auto NeedsQuotes(std::string_view text) -> bool {
  return text.find_first_of(" \"\\=") != std::string_view::npos ||
         std::any_of(text.begin(), text.end(), IsControl);
}

}  // namespace

namespace detail {

auto FormatText(Event event, std::initializer_list<Field> fields, std::string_view dropped)
    -> std::string {
  std::string out = fmt::format("{} {}", static_cast<int>(event), core::Name(event));
  for (const auto& [name, value] : fields) {
    if (value.empty()) continue;
    out += ' ';
    out += name;
    out += '=';
    if (NeedsQuotes(value)) {
      AppendString(out, value);
    } else {
      out += value;
    }
  }
  if (!dropped.empty()) out += fmt::format(" dropped={}", dropped);
  return out;
}

auto FormatJson(Event event, std::initializer_list<Field> fields, std::string_view dropped)
    -> std::string {
  std::string out =
      fmt::format(R"("event":{},"name":"{}")", static_cast<int>(event), core::Name(event));
  for (const auto& [name, value] : fields) {
    if (value.empty()) continue;
    out += ',';
    AppendString(out, name);
    out += ':';
    AppendString(out, value);
  }
  if (!dropped.empty()) out += fmt::format(R"(,"dropped":{})", dropped);
  return out;
}

}  // namespace detail

auto InitializeLog(Level level, Format format, const std::string& process) -> void {
  // A separate thread writes the lines, so that a stalled reader of standard output blocks no
  // worker.
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      process, std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  log_format = format;
  if (format == Format::json) {
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","process":"%n",%v})");
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n %v");
  }
  logger->set_level(ToSpdlog(level));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

auto Log(Level level, Event event, std::initializer_list<Field> fields) -> void {
  auto* logger = spdlog::default_logger_raw();
  if (!logger->should_log(ToSpdlog(level))) return;
  const auto dropped = ConsumeEventLine(event);
  if (!dropped) return;
  const auto count = *dropped == 0 ? std::string() : std::to_string(*dropped);
  const auto line = log_format == Format::json ? detail::FormatJson(event, fields, count)
                                               : detail::FormatText(event, fields, count);
  logger->log(ToSpdlog(level), "{}", line);
}

auto SetLogLevel(Level level) -> void { spdlog::default_logger_raw()->set_level(ToSpdlog(level)); }

auto FlushLog() -> void {
  const auto pool = spdlog::thread_pool();
  if (!pool) return;
  spdlog::default_logger_raw()->flush();
  const auto deadline = std::chrono::steady_clock::now() + kFlushTimeout;
  while (pool->queue_size() > 0 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kFlushPollInterval);
  }
  // The last line is removed from the queue before it is written.
  std::this_thread::sleep_for(kFlushPollInterval);
}

}  // namespace filbertstair::telemetry
