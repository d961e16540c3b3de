#include "filbertstair/telemetry/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>

namespace filbertstair::telemetry {
namespace {

std::atomic<Format> log_format = Format::text;

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

auto AppendEscaped(std::string& out, std::string_view text) -> void {
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
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
  return text.find_first_of(" \"\\=\n\t\r") != std::string_view::npos;
}

}  // namespace

namespace detail {

auto FormatText(Event event, std::initializer_list<Field> fields) -> std::string {
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
  return out;
}

auto FormatJson(Event event, std::initializer_list<Field> fields) -> std::string {
  std::string out =
      fmt::format(R"("event":{},"name":"{}")", static_cast<int>(event), core::Name(event));
  for (const auto& [name, value] : fields) {
    if (value.empty()) continue;
    out += ',';
    AppendString(out, name);
    out += ':';
    AppendString(out, value);
  }
  return out;
}

}  // namespace detail

auto SetUpLog(Level level, Format format, const std::string& process) -> void {
  auto logger =
      std::make_shared<spdlog::logger>(process, std::make_shared<spdlog::sinks::stderr_sink_mt>());
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
  const auto line = log_format == Format::json ? detail::FormatJson(event, fields)
                                               : detail::FormatText(event, fields);
  logger->log(ToSpdlog(level), "{}", line);
}

}  // namespace filbertstair::telemetry
