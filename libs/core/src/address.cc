#include "filbertstair/core/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace filbertstair::core {
namespace {

auto IsIpAddress(const std::string& host) -> bool {
  // inet_pton stops at the first null byte.
  if (host.find('\0') != std::string::npos) return false;
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  const auto family = host.find(':') == std::string::npos ? AF_INET : AF_INET6;
  return inet_pton(family, host.c_str(), buffer.data()) == 1;
}

}  // namespace

auto ParseAddress(std::string_view text) -> std::optional<Address> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto host = text.substr(0, colon);
  const auto bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  Address address{.host = std::string(host)};
  if (bracketed != (host.find(':') != std::string_view::npos)) return std::nullopt;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error != std::errc() || rest != end || !IsIpAddress(address.host)) return std::nullopt;
  return address;
}

auto ParseConnectAddress(std::string_view text) -> std::optional<Address> {
  auto address = ParseAddress(text);
  if (address && address->port == 0) return std::nullopt;
  return address;
}

auto FormatAddress(const Address& address) -> std::string {
  const auto host =
      address.host.find(':') == std::string::npos ? address.host : "[" + address.host + "]";
  return host + ":" + std::to_string(address.port);
}

}  // namespace filbertstair::core
