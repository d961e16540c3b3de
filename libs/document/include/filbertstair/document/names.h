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

// Service names by the names that callers use, one table for each naming scheme.
struct NameIndex {
  // Lower case, without port.
  std::map<std::string, std::string, std::less<>> hosts;
  // Path prefixes without a final '/'; the prefix "/" is the empty text.
  std::map<std::string, std::string, std::less<>> paths;
  std::map<std::string, std::string, std::less<>> logical_names;
};

// A name that two services claim under one scheme.
struct NameConflict {
  core::Scheme scheme = core::Scheme::host;
  std::string name;
  // The service that keeps the name in the index: the first by name, so that every process decides
  // alike.
  std::string kept_service;
  std::string refused_service;

  auto operator==(const NameConflict&) const -> bool = default;
};

struct IndexResult {
  NameIndex index;
  std::vector<NameConflict> conflicts;
};

// Builds the index of `services`. The result does not depend on their order.
auto BuildIndex(const std::vector<Service>& services) -> IndexResult;

// What a request says about the service that it is for. Empty texts stand for absent values.
struct NameQuery {
  // Host header, with or without port.
  std::string_view host{};
  // Request target: path with or without query.
  std::string_view path{};
  // X-Service header.
  std::string_view logical{};
  // Field `model` of the body.
  std::string_view model{};
};

// One name that was looked up, and the service found, if any.
struct NameLookup {
  core::Scheme scheme = core::Scheme::host;
  std::string name;
  std::string service;
};

struct LookupResult {
  // unknown_service or conflicting_names; absent on success.
  std::optional<core::Reason> failure;
  std::string service;
  // Scheme that selected the service: the first that matched, in the order logical, host, path.
  core::Scheme scheme = core::Scheme::host;
  // Request target for the replica. Without the prefix if the path scheme matched, else unchanged.
  std::string path;
  // All names that were looked up, in that order.
  std::vector<NameLookup> lookups;
};

// Selects the service of a request. Fails with conflicting_names if the header, the host and the
// path do not all select the same service, as far as they select any, and with unknown_service if
// nothing selects one or the header names an unknown one. The body's model counts only if there is
// no header and neither host nor path select a service.
auto LookupService(const NameIndex& index, const NameQuery& query) -> LookupResult;

// Lists what was looked up, for example `host "a.example": reports, path "/x": no service`.
auto Describe(const LookupResult& result) -> std::string;

}  // namespace filbertstair::document

#endif  // FILBERTSTAIR_DOCUMENT_NAMES_H_
