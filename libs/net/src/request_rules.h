#ifndef FILBERTSTAIR_NET_SRC_REQUEST_RULES_H_
#define FILBERTSTAIR_NET_SRC_REQUEST_RULES_H_

#include <cstddef>
#include <string_view>

// What the head of a request may contain, beyond what the parser checks (RFC 9112, sections 3 and
// 5). A head that readers on the way could read in different ways is refused.
namespace filbertstair::net::detail {

// Returns whether a field is continued on the next line, within the first head in `bytes`. The
// parser joins such lines, while other readers take them for fields or cut the value.
auto HasFoldedField(std::string_view bytes) -> bool;

// Returns the number of fields of the first head in `bytes`, or of those that have arrived: its
// line ends.
auto CountFields(std::string_view bytes) -> std::size_t;

// Returns whether the value of a Host field is empty, or a host with or without a port.
auto IsValidHost(std::string_view host) -> bool;

// Returns whether the target is a path with or without a query, or an absolute URI, without a
// fragment; `*` stands for the server in an OPTIONS request.
auto IsValidTarget(std::string_view method, std::string_view target) -> bool;

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_REQUEST_RULES_H_
