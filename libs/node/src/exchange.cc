#include "filbertstair/node/exchange.h"

namespace filbertstair::node {

auto SelectServiceUpdates(const shares::ShareTable& table, ServiceExchange& exchange,
                          std::size_t budget) -> wire::Service {
  wire::Service message;
  message.feed = static_cast<std::uint32_t>(exchange.link.feed);
  for (const auto& update : shares::SelectUpdates(table, exchange.link, budget)) {
    wire::ServiceRow row;
    row.index = update.workspace;
    row.counter = update.counter;
    row.running = update.running;
    row.incarnation = update.incarnation;
    if (update.source != shares::kNone) row.source = table.source_names[update.source];
    if (exchange.sent_names.insert(update.workspace).second) {
      row.workspace = table.rows[update.workspace].name;
    }
    message.rows.push_back(std::move(row));
  }
  return message;
}

auto ResolveAccount(ServiceExchange& exchange, const wire::ServiceRow& row) -> const std::string* {
  if (!row.workspace.empty()) exchange.received_names[row.index] = row.workspace;
  const auto found = exchange.received_names.find(row.index);
  return found == exchange.received_names.end() ? nullptr : &found->second;
}

}  // namespace filbertstair::node
