#ifndef FILBERTSTAIR_NODE_CONFIGURATION_H_
#define FILBERTSTAIR_NODE_CONFIGURATION_H_

#include <string>
#include <vector>

#include "filbertstair/config/object.h"
#include "filbertstair/config/table.h"
#include "filbertstair/node/node.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// Names of published objects at the platform: the VM list, and "documents/SERVICE.yaml".
inline constexpr std::string_view kVmListName = "vms.json";
inline constexpr std::string_view kDocumentPrefix = "documents/";
inline constexpr std::string_view kDocumentSuffix = ".yaml";

// Checks a published object as a whole and, if it is valid and newer, brings it into force,
// announces it to linked peers and calls on_configuration. `from` is the peer that sent it, or the
// platform's address. The version is read from the content, so that a damaged or forged header has
// no effect.
auto OfferContent(Node& node, const std::string& name, const std::string& content,
                  const std::string& from) -> config::Decision;

// The periodic digest, which also tells the peer that this process is alive and whether it drains.
auto PeriodicDigest(Node& node) -> wire::Digest;

// Handles the messages by which configuration passes between processes. Return the replies.
auto HandleDigest(Node& node, const wire::Digest& digest, const std::string& peer)
    -> std::vector<wire::ControlMessage>;
auto HandleFetch(Node& node, const wire::FetchRequest& request)
    -> std::vector<wire::ControlMessage>;
auto HandlePublished(Node& node, const wire::Published& published, const std::string& peer) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_CONFIGURATION_H_
