#ifndef FILBERTSTAIR_NODE_TRANSFER_H_
#define FILBERTSTAIR_NODE_TRANSFER_H_

#include <chrono>
#include <string>

#include "filbertstair/net/h2.h"
#include "filbertstair/node/node.h"

namespace filbertstair::node {

// Path of the stream on which a starting process fetches the whole configuration from a peer.
inline constexpr std::string_view kTransferPath = "/configuration";

// Fetches and offers all published objects of the peer at `address`. Returns whether the peer had
// any. Throws core::Error if it can't be reached or does not answer in time.
auto FetchConfiguration(Node& node, const std::string& address, std::chrono::milliseconds timeout)
    -> bool;

// Sends all published objects in force, each as a Published message, and ends the stream.
auto ServeConfiguration(Node& node, net::Stream& stream) -> void;

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_TRANSFER_H_
