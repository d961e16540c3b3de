#ifndef FILBERTSTAIR_RELAY_RELAY_H_
#define FILBERTSTAIR_RELAY_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "filbertstair/direct/fleet.h"
#include "filbertstair/direct/replicas.h"
#include "filbertstair/direct/restored.h"
#include "filbertstair/node/node.h"
#include "filbertstair/relay/dialect.h"

// Entry role without endpoint processes: the entry itself assigns the replicas' slots to workspaces
// and forwards requests to replicas.
namespace filbertstair::relay {

struct Relay;

// Starts the role on the node's workers. Throws core::Error if an address can't be bound. The relay
// is not ready before a configuration was accepted and confirmed.
auto Start(node::Node& node, const Dialect& dialect) -> std::shared_ptr<Relay>;

// Parameters of the decisions of an entry (`src/state.h`).
struct Policies;

// The same with other parameters than the default ones.
auto Start(node::Node& node, const Dialect& dialect, const Policies& policies)
    -> std::shared_ptr<Relay>;

// Begins a graceful shutdown: /readyz fails, so that the balancer sends no new connections, and
// keep-alive connections are closed after their current request.
auto Drain(Relay& relay) -> void;

// Ends requests in flight because the process is about to exit. Every request gets a response: one
// that was not forwarded is refused, one whose response has not started fails with an unknown
// outcome. A response that has started is truncated, which its caller can detect, and only if
// `scope` is `all`.
auto Stop(Relay& relay, node::StopScope scope) -> void;

// Opens links to further entries, as reloaded settings may name them.
auto AddSeeds(Relay& relay, const std::vector<settings::Address>& seeds) -> void;

// Applies a configuration if its version is above the current one. Returns whether it did.
auto AcceptFleet(Relay& relay, direct::FleetConfig fleet) -> bool;

// Applies a change of the platform's list of replicas: a new or updated listing, or the id of a
// replica that is no longer listed.
auto AcceptListing(Relay& relay, direct::Listing listing) -> void;
auto AcceptDelisting(Relay& relay, const std::string& id) -> void;

// Replaces the whole list of replicas: those that are missing from it are delisted. If the list may
// be of an older copy, they are kept for 2.3 s, and listings that would bring back what was seen
// leaving or gone are held back until AcceptListing; see direct/restored.h.
auto ReplaceListings(Relay& relay, std::vector<direct::Listing> listings,
                     direct::ReadOrigin origin = direct::ReadOrigin::current) -> void;

// Applies that the operator evacuates a failure domain, or no longer does: nothing is sent to its
// replicas meanwhile. Requests in flight continue; waiting ones are refused at once if no replica
// is left for them.
auto AcceptEvacuation(Relay& relay, const std::string& failure_domain, bool on) -> void;

// Replaces the whole list of evacuated failure domains. One that is missing only in a copy holds
// for some seconds: the operator writes it again.
auto ReplaceEvacuations(Relay& relay, std::vector<std::string> failure_domains,
                        direct::ReadOrigin origin) -> void;

// Records that the platform answered a call that was sent at `time`, a reading of TimeSinceBoot.
// Call this before applying the content of the answer: after an outage, replicas that are no longer
// listed are kept for 2.3 s, as they may be missing only because the list was unavailable.
auto RecordPlatformAnswer(Relay& relay, core::Duration time) -> void;

// Records that everything accepted so far was current at `time`, a reading of TimeSinceBoot.
auto RecordConfirmation(Relay& relay, core::Duration time) -> void;

// Time since the VM started, including the time for which it was suspended.
auto TimeSinceBoot() -> core::Duration;

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_RELAY_H_
