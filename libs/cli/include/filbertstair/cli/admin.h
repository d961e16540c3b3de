#ifndef FILBERTSTAIR_CLI_ADMIN_H_
#define FILBERTSTAIR_CLI_ADMIN_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/core/error.h"

// Requests to the admin listeners of daemons.
namespace filbertstair::cli {

enum class Method { get, post };

// One request, sent to each of several daemons at the same time.
struct AdminRequest {
  Method method = Method::get;
  std::string target;
  // For everything from the connection to the end of the response.
  std::chrono::milliseconds timeout{2000};
};

// What one daemon returned, or why it returned nothing.
struct AdminResult {
  std::string address;
  int status = 0;
  std::string body{};
  // Step `connect`, `write` or `read`, with the address as peer.
  std::optional<core::Error> error{};
  // Whether nothing listens on the address, so that the process is gone.
  bool connection_refused = false;
};

// Sends the call to all addresses ("ip:port") at the same time and returns the results in their
// order. Blocks for at most about the call's timeout.
auto SendToAdmins(const std::vector<std::string>& addresses, const AdminRequest& request)
    -> std::vector<AdminResult>;

// Returns the JSON object in a response of status 200. Throws the result's error if there is one,
// and core::Error (Step::decode) for another status or another content.
auto ParseJsonObject(const AdminResult& result) -> boost::json::object;

// Reads admin addresses from a file: one a line, without empty lines and those that begin with `#`.
// Throws core::Error if the file can't be read or a line is not an address.
auto ReadAddressFile(const std::string& file) -> std::vector<std::string>;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_ADMIN_H_
