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

// State of the exchange of service counters on one control stream. Only fibers of that stream use
// it.
struct ServiceExchange {
  shares::ExchangeLink link;
  // Workspace indexes whose name this process has sent, and names received from the peer by the
  // peer's index.
  std::set<std::uint32_t> sent_names;
  std::map<std::uint32_t, std::string> received_names;
};

// Selects the largest unsent counter changes whose encoding fits into `budget` bytes, and marks
// them as sent.
auto SelectServiceUpdates(const shares::ShareTable& table, ServiceExchange& exchange,
                          std::size_t budget) -> wire::Service;

// Returns the name of the row's workspace, or null if the peer has not sent it yet. Records the
// name if the row carries one.
auto ResolveAccount(ServiceExchange& exchange, const wire::ServiceRow& row) -> const std::string*;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_EXCHANGE_H_
