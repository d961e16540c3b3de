#include "state.h"

namespace filbertstair::entry {

auto SendServiceUpdate(Entry& entry, node::Exchange& exchange, node::Outbox& outbox,
                       std::size_t budget) -> void {
  auto message = entry.shares.With([&](const shares::ShareTable& shares) {
    return node::SelectService(shares, exchange, budget);
  });
  if (!message.rows.empty()) outbox.Push(std::move(message));
}

auto HandleServiceUpdate(Entry& entry, node::Exchange& exchange, const wire::Hello& peer,
                         const wire::Service& message) -> void {
  const bool own = message.feed == static_cast<std::uint32_t>(shares::Feed::own);
  entry.shares.With([&](shares::ShareTable& shares) {
    for (const auto& row : message.rows) {
      const auto* account = node::AccountOf(exchange, row);
      if (account == nullptr) continue;
      const auto workspace = shares::InternWorkspace(shares, *account);
      const auto source = shares::InternSource(shares, own ? peer.id : row.source);
      const auto incarnation = own ? peer.incarnation : row.incarnation;
      shares::MergeCounter(shares, workspace, source, incarnation, row.counter, row.running);
    }
  });
}

}  // namespace filbertstair::entry
