#include "state.h"

namespace filbertstair::entry {

auto SendService(Entry& entry, Exchange& exchange, node::Outbox& outbox, std::size_t budget)
    -> void {
  wire::Service message;
  message.feed = static_cast<std::uint32_t>(exchange.link.feed);
  entry.shares.With([&](shares::ShareTable& shares) {
    for (const auto& update : shares::SelectUpdates(shares, exchange.link, budget)) {
      wire::ServiceRow row;
      row.index = update.workspace;
      row.counter = update.counter;
      row.running = update.running;
      row.incarnation = update.incarnation;
      if (update.source != shares::kNone) row.source = shares.source_names[update.source];
      if (exchange.sent_names.insert(update.workspace).second) {
        row.workspace = shares.rows[update.workspace].name;
      }
      message.rows.push_back(std::move(row));
    }
  });
  if (!message.rows.empty()) outbox.Push(std::move(message));
}

auto HandleService(Entry& entry, Exchange& exchange, const wire::Hello& peer,
                   const wire::Service& message) -> void {
  const bool own = message.feed == static_cast<std::uint32_t>(shares::Feed::own);
  entry.shares.With([&](shares::ShareTable& shares) {
    for (const auto& row : message.rows) {
      if (!row.workspace.empty()) exchange.heard_names[row.index] = row.workspace;
      const auto name = exchange.heard_names.find(row.index);
      if (name == exchange.heard_names.end()) continue;
      const auto workspace = shares::InternWorkspace(shares, name->second);
      const auto source = shares::InternSource(shares, own ? peer.id : row.source);
      const auto incarnation = own ? peer.incarnation : row.incarnation;
      shares::Merge(shares, workspace, source, incarnation, row.counter, row.running);
    }
  });
}

}  // namespace filbertstair::entry
