#ifndef FILBERTSTAIR_CLI_ADMIN_H_
#define FILBERTSTAIR_CLI_ADMIN_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/core/error.h"

// HTTP client for the admin listeners of daemons.
namespace filbertstair::cli {

enum class Method { get, post };

// HTTP request that is sent to several daemons concurrently.
struct AdminRequest {
  Method method = Method::get;
  std::string target;
  // Limit for the whole exchange with one daemon, from connecting to the end of the response.
  std::chrono::milliseconds timeout{2000};
};

// Response of one daemon, or the error that prevented it.
struct AdminResult {
  std::string address;
  // HTTP status, or 0 if `error` is set.
  int status = 0;
  std::string body{};
  // Step `resolve`, `connect`, `write` or `read`, with the address as peer.
  std::optional<core::Error> error{};
  // Whether nothing listens on the address, which means that the process has exited.
  bool not_listening = false;
};

// Sends the request to all addresses ("ip:port") concurrently and returns one result per address,
// in the same order. Blocks for at most about the request's timeout.
auto SendToAdmins(const std::vector<std::string>& addresses, const AdminRequest& admin_request)
    -> std::vector<AdminResult>;

// Parses the body of a response with status 200 as a JSON object. Throws the result's error if it
// is set, and core::Error (Step::decode) for another status or if the body is not a JSON object.
auto ParseJsonObject(const AdminResult& result) -> boost::json::object;

// Reads admin addresses ("ip:port") from a file, one per line. Skips empty lines and lines that
// begin with `#`. Throws core::Error if the file can't be read or a line is not an address.
auto ReadAddressFile(const std::string& file) -> std::vector<std::string>;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_ADMIN_H_
