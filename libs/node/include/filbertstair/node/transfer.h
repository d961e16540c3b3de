#ifndef FILBERTSTAIR_NODE_TRANSFER_H_
#define FILBERTSTAIR_NODE_TRANSFER_H_

#include <chrono>
#include <string>

#include "filbertstair/net/h2.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// HTTP/2 path of the stream on which a starting process fetches the full configuration from a peer.
inline constexpr std::string_view kTransferPath = "/configuration";

// Fetches all published objects of the peer at `address` and passes each to OfferContent. Returns
// whether the peer had any. Throws core::Error if it can't be reached or does not respond in time.
auto FetchConfiguration(Node& node, const std::string& address, std::chrono::milliseconds timeout)
    -> bool;

// Sends all active published objects, each as a wire::Published message, and ends the stream.
auto ServeConfiguration(Node& node, net::Stream& stream) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_TRANSFER_H_
