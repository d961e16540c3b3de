#ifndef FILBERTSTAIR_RELAY_RELAY_H_
#define FILBERTSTAIR_RELAY_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "filbertstair/direct/fleet.h"
#include "filbertstair/direct/replicas.h"
#include "filbertstair/node/node.h"
#include "filbertstair/relay/dialect.h"

// Entry role without endpoint processes: the entry itself shares the replicas' slots out to
// workspaces and passes requests to replicas.
namespace filbertstair::relay {

struct Relay;

// Starts the role on the node's workers. Throws core::Error if a listener can't be opened. The
// relay is not ready before a configuration was accepted and confirmed.
auto Start(node::Node& node, const Dialect& dialect) -> std::shared_ptr<Relay>;

// Begins a graceful shutdown: /readyz fails, so that the balancer sends no new connections, and
// kept connections are closed after their current request.
auto Drain(Relay& relay) -> void;

// Ends requests in flight, as the process is about to end. None is left without an answer: one that
// was not passed on is refused, one whose answer has not begun fails with an unknown outcome. An
// answer that has begun is cut, which its caller sees, and only if `scope` is `all`.
auto Stop(Relay& relay, node::StopScope scope) -> void;

// Links to further entries, as new settings may name them.
auto AddSeeds(Relay& relay, const std::vector<settings::Address>& seeds) -> void;

// Puts a configuration in force if its version is above that in force. Returns whether it did.
auto AcceptFleet(Relay& relay, direct::FleetConfig fleet) -> bool;

// A change of the list of replicas: a listing, or the id of a replica that is no longer listed.
auto AcceptListing(Relay& relay, direct::Listing listing) -> void;
auto AcceptDelisting(Relay& relay, const std::string& id) -> void;

// Takes the whole list of replicas: those that it lacks are delisted.
auto AcceptListings(Relay& relay, std::vector<direct::Listing> listings) -> void;

// Notes that the platform has answered a call that was sent at `time` on the clock of BootTime.
// Call before what the answer says is accepted: after an outage, replicas that it no longer lists
// are kept for a while, as they may only be missing because the list was away.
auto NoteAnswer(Relay& relay, core::Duration time) -> void;

// Notes that everything accepted was current at `time`.
auto Confirm(Relay& relay, core::Duration time) -> void;

// Time since the VM started, counting the time for which it was suspended.
auto BootTime() -> core::Duration;

}  // namespace filbertstair::relay

#endif  // FILBERTSTAIR_RELAY_RELAY_H_
