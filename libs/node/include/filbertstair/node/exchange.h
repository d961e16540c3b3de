#ifndef FILBERTSTAIR_NODE_EXCHANGE_H_
#define FILBERTSTAIR_NODE_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "filbertstair/shares/exchange.h"
#include "filbertstair/shares/shares.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// State of the exchange of service counters on one control stream, used by its own fibers only.
struct ServiceExchange {
  shares::ExchangeLink link;
  // Numbers whose account name this process has sent, and account names by the peer's numbers.
  std::set<std::uint32_t> sent_names;
  std::map<std::uint32_t, std::string> received_names;
};

// Returns the largest unreported changes of service that fit `budget` bytes, and marks them as
// sent.
auto SelectServiceUpdates(const shares::ShareTable& table, ServiceExchange& exchange,
                          std::size_t budget) -> wire::Service;

// Returns the account that a row is about, or null if the peer has not named it yet.
auto ResolveAccount(ServiceExchange& exchange, const wire::ServiceRow& row) -> const std::string*;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_EXCHANGE_H_
