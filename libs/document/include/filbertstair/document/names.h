#ifndef FILBERTSTAIR_DOCUMENT_NAMES_H_
#define FILBERTSTAIR_DOCUMENT_NAMES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"
#include "filbertstair/document/service.h"

namespace filbertstair::document {

// Maps the names that callers use to service names, with one table per naming scheme.
struct NameIndex {
  // Keyed by host name in lower case, without port and without a final dot.
  std::map<std::string, std::string, std::less<>> hosts;
  // Keyed by path prefix without a final '/'; the prefix "/" is stored as the empty string.
  std::map<std::string, std::string, std::less<>> paths;
  std::map<std::string, std::string, std::less<>> logical_names;
};

// A name that two services declare under the same scheme.
struct NameConflict {
  core::Scheme scheme = core::Scheme::host;
  std::string name;
  // Service that the index resolves the name to: the first in order of service names, so that all
  // processes resolve the conflict alike.
  std::string kept_service;
  // Service whose declaration is ignored.
  std::string refused_service;

  auto operator==(const NameConflict&) const -> bool = default;
};

struct IndexResult {
  NameIndex index;
  std::vector<NameConflict> conflicts;
};

// Builds the name index of `services`. The result does not depend on their order.
auto BuildIndex(const std::vector<Service>& services) -> IndexResult;

// Parts of a request that identify its service. An empty string stands for an absent part.
struct NameQuery {
  // Host header, with or without port.
  std::string_view host{};
  // Request target: the path, with or without the query.
  std::string_view path{};
  // X-Service header.
  std::string_view logical{};
  // Field `model` of the request body.
  std::string_view model{};
};

// A name that was looked up, and the service found; `service` is empty if there is none.
struct NameLookup {
  core::Scheme scheme = core::Scheme::host;
  std::string name;
  std::string service;
};

struct LookupResult {
  // unknown_service or conflicting_names; absent on success.
  std::optional<core::Reason> failure;
  // Empty on failure.
  std::string service;
  // Scheme that selected the service: the first match in the order logical, host, path.
  core::Scheme scheme = core::Scheme::host;
  // Request target to send to the replica. The matched prefix is removed if the path scheme
  // matched; otherwise the target is unchanged.
  std::string path;
  // All names that were looked up, in the order of the schemes above.
  std::vector<NameLookup> lookups;
};

// Selects the service of a request. Fails with conflicting_names if two of the X-Service header,
// the host and the path select different services, and with unknown_service if none selects a
// service or the header names an unknown one. The model in the body is used only if the header is
// absent and neither the host nor the path selects a service.
auto LookupService(const NameIndex& index, const NameQuery& query) -> LookupResult;

// Formats the lookups, for example `host "a.example": reports, path "/x": no service`.
auto Describe(const LookupResult& result) -> std::string;

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_NAMES_H_
