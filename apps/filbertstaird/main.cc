#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "filbertstair/core/names.h"
#include "filbertstair/node/node.h"
#include "filbertstair/node/start.h"
#include "filbertstair/schema/problem.h"
#include "filbertstair/settings/settings.h"
#include "finish.h"
#include "role.h"
#include "signals.h"

namespace filbertstair {
namespace {

using telemetry::Event;
using telemetry::Level;

constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

auto ToLevel(settings::LogLevel level) -> Level { return static_cast<Level>(level); }

auto ToFormat(settings::LogFormat format) -> telemetry::Format {
  return static_cast<telemetry::Format>(format);
}

auto Now() -> core::Incarnation {
  return static_cast<core::Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count());
}

// Reloads the settings file and applies the settings that may change at run time.
auto Reload(const std::string& path, const RoleActions& actions) -> void {
  try {
    const auto result = settings::ReadSettingsFile(path);
    if (result.settings) {
      telemetry::SetLogLevel(ToLevel(result.settings->log_level));
      actions.reload(*result.settings);
      telemetry::Log(Level::info, Event::settings_reloaded, {{"file", path}});
      return;
    }
    telemetry::Log(Level::error, Event::settings_rejected,
                   {{"file", path}, {"error", schema::Describe(result.problems.front())}});
  } catch (const std::exception& error) {
    telemetry::Log(Level::error, Event::settings_rejected,
                   {{"file", path}, {"error", error.what()}});
  }
}

// Reloads the settings on each SIGHUP; returns on a signal that stops the daemon.
auto AwaitEnd(const sigset_t& signals, const std::string& path, const RoleActions& actions)
    -> void {
  while (true) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal != SIGHUP) return;
    Reload(path, actions);
  }
}

// Serves until a signal stops the daemon. Returns the number of requests that were cut.
auto Serve(const settings::Settings& settings, const std::string& path, const sigset_t& signals)
    -> std::size_t {
  if (!node::AwaitAddresses(settings, SleepUntilStopped)) return 0;
  // Never destroyed: the workers' fibers refer to it until the process exits.
  auto& node = *new node::Node(settings, Now());
  const auto actions = StartRole(node);
  AwaitEnd(signals, path, actions);
  return FinishRequests(node, actions);
}

auto Run(const settings::Settings& settings, const std::string& path, const sigset_t& signals)
    -> int {
  telemetry::Log(Level::info, Event::started,
                 {{"role", core::Name(settings.role)},
                  {"region", settings.region},
                  {"failure_domain", settings.failure_domain},
                  {"version", FILBERTSTAIR_VERSION}});
  try {
    const auto cut = Serve(settings, path, signals);
    telemetry::Log(Level::info, Event::stopped, {{"cut", std::to_string(cut)}});
  } catch (const std::exception& error) {
    node::LogError(Level::error, Event::start_failed, error);
    std::cerr << "filbertstaird: " << error.what() << '\n';
    telemetry::FlushLog();
    _exit(kExitRefused);
  }
  telemetry::FlushLog();
  // The workers' fibers still wait for I/O. Exiting without unwinding them is safe, since the
  // process keeps no persistent state.
  _exit(0);
}

// Logs an exception that nothing handles before it ends the process.
[[noreturn]] auto Terminate() -> void {
  try {
    if (const auto current = std::current_exception()) std::rethrow_exception(current);
  } catch (const std::exception& error) {
    node::LogError(Level::error, Event::internal_error, error);
  } catch (...) {
    telemetry::Log(Level::error, Event::internal_error, {{"error", "unknown exception"}});
  }
  telemetry::FlushLog();
  std::abort();
}

// Has the allocator return large blocks to the system when they are freed. By default it raises
// the size from which it does so to that of the largest freed block, and then keeps the pages that
// bodies of a few megabytes leave behind.
auto ReturnLargeBlocks() -> void {
#ifdef __GLIBC__
  constexpr int large_bytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, large_bytes);
#endif
}

auto Main(int argc, char** argv) -> int {
  ReturnLargeBlocks();
#ifndef FILBERTSTAIR_BROKEN_early_signals
  const auto signals = BlockSignals();
#endif
  CLI::App app("filbertstair daemon: an entry or the process in front of one replica");
  std::string path;
  app.add_option("--settings", path, "Settings file (YAML)")->required();
  app.set_version_flag("--version", FILBERTSTAIR_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kExitUsage;
  }
  try {
    const auto result = settings::ReadSettingsFile(path);
    for (const auto& problem : result.problems) {
      std::cerr << "filbertstaird: " << schema::Describe(problem) << '\n';
    }
    if (!result.settings) return kExitRefused;
    telemetry::InitializeLog(ToLevel(result.settings->log_level),
                             ToFormat(result.settings->log_format), result.settings->id);
    std::set_terminate(Terminate);
#ifdef FILBERTSTAIR_BROKEN_early_signals
    const auto signals = BlockSignals();
#endif
    return Run(*result.settings, path, signals);
  } catch (const std::exception& error) {
    std::cerr << "filbertstaird: " << error.what() << '\n';
    return kExitRefused;
  }
}

}  // namespace
}  // namespace filbertstair

auto main(int argc, char** argv) -> int { return filbertstair::Main(argc, argv); }
