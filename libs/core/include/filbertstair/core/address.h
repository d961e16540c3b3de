#ifndef FILBERTSTAIR_CORE_ADDRESS_H_
#define FILBERTSTAIR_CORE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertstair::core {

// An IP address and a TCP port.
struct Address {
  // IP address in text form, without brackets for IPv6.
  std::string host;
  std::uint16_t port = 0;

  auto operator==(const Address&) const -> bool = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Returns nothing for any other text; host names are not
// resolved.
auto ParseAddress(std::string_view text) -> std::optional<Address>;

// Parses an address to connect to. Unlike ParseAddress, rejects port 0, which only a listener can
// use.
auto ParseConnectAddress(std::string_view text) -> std::optional<Address>;

// Formats an address in the form that ParseAddress accepts.
auto FormatAddress(const Address& address) -> std::string;

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_ADDRESS_H_
