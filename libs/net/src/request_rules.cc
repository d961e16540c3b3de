#include "request_rules.h"

#include <algorithm>

namespace filbertstair::net::detail {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

auto IsDigit(char c) -> bool { return c >= '0' && c <= '9'; }

auto IsLetter(char c) -> bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

// Characters of a registered name or an IPv4 address (RFC 3986, section 3.2.2).
auto IsNameCharacter(char c) -> bool {
  return IsDigit(c) || IsLetter(c) ||
         std::string_view("-._~!$&'()*+,;=%").find(c) != std::string_view::npos;
}

auto IsIpv6Character(char c) -> bool {
  return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F') || c == ':' || c == '.';
}

}  // namespace

auto HasFoldedField(std::string_view bytes) -> bool {
  const auto head = bytes.substr(0, bytes.find(kHeadEnd));
  for (auto end = head.find(kLineEnd); end != std::string_view::npos;
       end = head.find(kLineEnd, end + kLineEnd.size())) {
    const auto next = head.substr(end + kLineEnd.size());
    if (next.starts_with(' ') || next.starts_with('\t')) return true;
  }
  return false;
}

auto CountFields(std::string_view bytes) -> std::size_t {
  const auto head = bytes.substr(0, bytes.find(kHeadEnd));
  return static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
}

auto IsValidHost(std::string_view host) -> bool {
  const bool bracketed = host.starts_with('[');
  auto end = bracketed ? host.find(']') : host.find(':');
  if (bracketed && end == std::string_view::npos) return false;
  const auto name = bracketed ? host.substr(1, end - 1) : host.substr(0, end);
  if (!std::all_of(name.begin(), name.end(), bracketed ? IsIpv6Character : IsNameCharacter)) {
    return false;
  }
  if (bracketed && name.empty()) return false;
  if (bracketed) ++end;
  const auto port = end < host.size() ? host.substr(end) : std::string_view();
  return port.empty() ||
         (port.front() == ':' && std::all_of(port.begin() + 1, port.end(), IsDigit));
}

auto IsValidTarget(std::string_view method, std::string_view target) -> bool {
  if (target == "*") return method == "OPTIONS";
  const bool visible = std::all_of(target.begin(), target.end(),
                                   [](char c) { return c > ' ' && c < '\x7f' && c != '#'; });
  return visible && (target.starts_with('/') || target.starts_with("http://") ||
                     target.starts_with("https://"));
}

}  // namespace filbertstair::net::detail
