#include "filbertstair/direct/fleet.h"

#include <algorithm>
#include <numeric>

namespace filbertstair::direct {
namespace {

auto ToLower(char c) -> char { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Host names are compared without case (RFC 9110, section 4.2.3).
auto IsSameHost(std::string_view host, std::string_view other) -> bool {
  return std::equal(host.begin(), host.end(), other.begin(), other.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

}  // namespace

auto FindRoute(const FleetConfig& fleet, std::string_view host, std::string_view path)
    -> const Route* {
  host = host.substr(0, host.find(':'));
  path = path.substr(0, path.find('?'));
  const Route* best = nullptr;
  for (const auto& route : fleet.routes) {
    if (!path.starts_with(route.prefix) || !IsSameHost(route.host, host)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) best = &route;
  }
  return best;
}

auto FindWorkspace(const FleetConfig& fleet, const std::string& credential) -> const std::string* {
  const auto found = fleet.credentials.find(credential);
  return found == fleet.credentials.end() ? nullptr : &found->second;
}

auto PickService(const Route& route, std::uint64_t hash) -> const std::string& {
  const auto total =
      std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t{0},
                      [](std::uint64_t sum, const Target& target) { return sum + target.weight; });
  auto point = total == 0 ? 0 : hash % total;
  for (const auto& target : route.targets) {
    if (point < target.weight) return target.service;
    point -= target.weight;
  }
  return route.targets.front().service;
}

auto IsRetryable(const Route& route) -> bool {
  return route.streaming ? route.resumable : route.call_class == core::CallClass::repeatable;
}

auto RemainingCredentialLease(core::Duration confirmed_at, core::Duration now) -> core::Duration {
  return std::max(confirmed_at + kCredentialLease - now, core::Duration::zero());
}

}  // namespace filbertstair::direct
