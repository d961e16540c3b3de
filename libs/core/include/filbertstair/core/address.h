#ifndef FILBERTSTAIR_CORE_ADDRESS_H_
#define FILBERTSTAIR_CORE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertstair::core {

// An IP address and a TCP port.
struct Address {
  // Without brackets for IPv6.
  std::string host;
  std::uint16_t port = 0;

  auto operator==(const Address&) const -> bool = default;
};

// Reads "127.0.0.1:8080" or "[::1]:8080". Returns nothing for any other text; names are not
// resolved.
auto ParseAddress(std::string_view text) -> std::optional<Address>;

// Like the function above, for an address to connect to: port 0 is for listeners only.
auto ParseConnectAddress(std::string_view text) -> std::optional<Address>;

auto FormatAddress(const Address& address) -> std::string;

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_ADDRESS_H_
