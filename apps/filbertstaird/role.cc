#include "role.h"

#include <memory>
#include <utility>

#include "filbertstair/endpoint/endpoint.h"
#include "filbertstair/entry/entry.h"
#include "filbertstair/platform/headers.h"
#include "filbertstair/platform/store.h"
#include "filbertstair/relay/relay.h"

namespace filbertstair {
namespace {

// Starts an entry that admits requests without endpoints, configured from the platform's store.
auto StartRelay(node::Node& node) -> std::shared_ptr<relay::Relay> {
  auto started = relay::Start(node, platform::HeaderDialect());
  platform::StoreSink sink;
  sink.fleet = [started](direct::FleetConfig fleet) {
    relay::AcceptFleet(*started, std::move(fleet));
  };
  sink.listing = [started](direct::Listing listing) {
    relay::AcceptListing(*started, std::move(listing));
  };
  sink.delisting = [started](const std::string& id) { relay::AcceptDelisting(*started, id); };
  sink.listings = [started](std::vector<direct::Listing> listings, direct::ReadOrigin origin) {
    relay::ReplaceListings(*started, std::move(listings), origin);
  };
  sink.evacuation = [started](const std::string& failure_domain, bool on) {
    relay::AcceptEvacuation(*started, failure_domain, on);
  };
  sink.evacuations = [started](std::vector<std::string> failure_domains,
                               direct::ReadOrigin origin) {
    relay::ReplaceEvacuations(*started, std::move(failure_domains), origin);
  };
  sink.answered = [started](core::Duration time) { relay::RecordPlatformAnswer(*started, time); };
  sink.confirmed = [started](core::Duration time) { relay::RecordConfirmation(*started, time); };
  node.pool.Post(0, [&node, sink = std::move(sink)] { platform::WatchStore(node, sink); });
  return started;
}

}  // namespace

auto StartRole(node::Node& node) -> RoleActions {
  if (node.settings.admission == settings::Admission::entry) {
    const auto relay = StartRelay(node);
    return {[relay] { relay::Drain(*relay); },
            [relay](node::StopScope scope) { relay::Stop(*relay, scope); },
            [relay](const settings::Settings& s) { relay::AddSeeds(*relay, s.seeds); }};
  }
  if (node.settings.role == core::Role::entry) {
    const auto entry = entry::Start(node);
    return {.drain = [entry] { entry::Drain(*entry); },
            .stop = [entry](node::StopScope scope) { entry::CancelRequests(*entry, scope); }};
  }
  const auto endpoint = endpoint::Start(node);
  return {
      .drain = [endpoint] { endpoint::Drain(*endpoint); },
      .stop = [endpoint](node::StopScope scope) { endpoint::CancelRequests(*endpoint, scope); }};
}

}  // namespace filbertstair
