#ifndef FILBERTSTAIR_NODE_CONFIGURATION_H_
#define FILBERTSTAIR_NODE_CONFIGURATION_H_

#include <string>
#include <vector>

#include "filbertstair/config/object.h"
#include "filbertstair/config/table.h"
#include "filbertstair/node/node.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// Names under which the platform publishes objects: the VM list, and "documents/SERVICE.yaml".
inline constexpr std::string_view kVmListName = "vms.json";
inline constexpr std::string_view kDocumentPrefix = "documents/";
inline constexpr std::string_view kDocumentSuffix = ".yaml";

// Validates a published object and, if it is valid and newer than the current one, activates it,
// announces it to linked peers and calls Node::on_configuration. `from` is the id of the peer that
// sent it, or the platform's address. The version is parsed from the content, so that a damaged or
// forged message header has no effect.
auto OfferContent(Node& node, const std::string& name, const std::string& content,
                  const std::string& from) -> config::Decision;

// Returns the digest that is sent every kControlPeriod. It also serves as a heartbeat and reports
// whether this process is draining.
auto PeriodicDigest(Node& node) -> wire::Digest;

// Handle the messages that distribute configuration between processes and return the replies.
// `peer` is the id of the sender.
auto HandleDigest(Node& node, const wire::Digest& digest, const std::string& peer)
    -> std::vector<wire::ControlMessage>;
auto HandleFetch(Node& node, const wire::FetchRequest& request)
    -> std::vector<wire::ControlMessage>;
auto HandlePublished(Node& node, const wire::Published& published, const std::string& peer) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_CONFIGURATION_H_
