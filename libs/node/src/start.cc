#include "filbertstair/node/start.h"

#include <exception>
#include <future>
#include <optional>
#include <set>

#include "filbertstair/core/error.h"
#include "filbertstair/net/address.h"

namespace filbertstair::node {
namespace {

constexpr core::Duration kAddressRetryInterval = std::chrono::milliseconds(50);

auto ListenAddresses(const settings::Settings& settings) -> std::vector<std::string> {
  std::vector<std::string> out = {settings::FormatAddress(settings.peers),
                                  settings::FormatAddress(settings.admin)};
  if (settings.role == core::Role::entry) {
    out.push_back(settings::FormatAddress(settings.callers));
  }
  return out;
}

// Returns why the first address that can't be bound is not available.
auto FindUnavailable(const std::vector<std::string>& addresses) -> std::optional<core::Error> {
  for (const auto& address : addresses) {
    try {
      net::CheckAddressAvailable(address);
    } catch (const core::Error& error) {
      return error;
    }
  }
  return std::nullopt;
}

}  // namespace

auto AwaitAddresses(const settings::Settings& settings,
                    const std::function<bool(core::Duration)>& sleep) -> bool {
  const auto addresses = ListenAddresses(settings);
  const auto deadline = Now() + kMaxAddressWait;
  std::set<std::string> logged;
  while (const auto error = FindUnavailable(addresses)) {
#ifdef FILBERTSTAIR_BROKEN_address_wait
    throw *error;
#endif
    if (Now() >= deadline) throw *error;
    if (logged.insert(error->Peer()).second) {
      LogError(telemetry::Level::warning, telemetry::Event::address_in_use, *error);
    }
    if (sleep(kAddressRetryInterval)) return false;
  }
  return true;
}

auto RunOnWorker(Node& node, std::size_t index, const std::function<void()>& task) -> void {
  std::promise<void> done;
  node.pool.Post(index, [&] {
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

}  // namespace filbertstair::node
