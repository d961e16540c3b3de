#include "filbertstair/document/names.h"

#include <algorithm>
#include <utility>

namespace filbertstair::document {
namespace {

using ServicesByName = std::map<std::string, std::string, std::less<>>;

// Converts the host to lower case and removes the port and a final dot.
auto NormalizeHost(std::string_view host) -> std::string {
  if (!host.empty() && host.front() == '[') {
    host = host.substr(0, host.find(']') + 1);
  } else {
    host = host.substr(0, host.find(':'));
  }
  if (!host.empty() && host.back() == '.') host.remove_suffix(1);
  std::string result(host);
  std::transform(result.begin(), result.end(), result.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
  return result;
}

auto WithoutQuery(std::string_view target) -> std::string_view {
  return target.substr(0, target.find_first_of("?#"));
}

auto AddName(ServicesByName& table, core::Scheme scheme, std::string name,
             const std::string& service, std::vector<NameConflict>& conflicts) -> void {
  const auto [entry, inserted] = table.emplace(std::move(name), service);
  if (!inserted && entry->second != service) {
    const auto shown = scheme == core::Scheme::path && entry->first.empty() ? "/" : entry->first;
    conflicts.push_back({scheme, shown, entry->second, service});
  }
}

auto FindService(const ServicesByName& table, std::string_view name) -> std::string {
  const auto entry = table.find(name);
  return entry == table.end() ? std::string() : entry->second;
}

struct PathMatch {
  std::string service;
  std::size_t prefix_size = 0;
};

// Finds the longest prefix of `path` in the table that ends at a segment boundary.
auto FindPath(const ServicesByName& table, std::string_view path) -> PathMatch {
  if (path.empty() || path.front() != '/') return {};
  auto size = path.size();
  while (true) {
    const auto entry = table.find(path.substr(0, size));
    if (entry != table.end()) return {entry->second, size};
    if (size == 0) return {};
    size = path.rfind('/', size - 1);
  }
}

// Removes the first `prefix_size` bytes of the target. The result always begins with '/'.
auto RemovePrefix(std::string_view target, std::size_t prefix_size) -> std::string {
  const auto rest = target.substr(prefix_size);
  if (!rest.empty() && rest.front() == '/') return std::string(rest);
  return "/" + std::string(rest);
}

}  // namespace

auto BuildIndex(const std::vector<Service>& services) -> IndexResult {
  std::vector<const Service*> sorted;
  sorted.reserve(services.size());
  for (const auto& service : services) sorted.push_back(&service);
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto* a, const auto* b) { return a->name < b->name; });
  IndexResult result;
  for (const auto* service : sorted) {
    for (const auto& host : service->hosts) {
      AddName(result.index.hosts, core::Scheme::host, NormalizeHost(host), service->name,
              result.conflicts);
    }
    for (const auto& path : service->paths) {
      auto prefix = path;
      while (!prefix.empty() && prefix.back() == '/') prefix.pop_back();
      AddName(result.index.paths, core::Scheme::path, std::move(prefix), service->name,
              result.conflicts);
    }
    for (const auto& name : service->logical_names) {
      AddName(result.index.logical_names, core::Scheme::logical, name, service->name,
              result.conflicts);
    }
  }
  return result;
}

auto LookupService(const NameIndex& index, const NameQuery& query) -> LookupResult {
  LookupResult result;
  result.path = std::string(query.path);
  const auto add = [&](core::Scheme scheme, std::string name, std::string service) {
    if (!service.empty()) {
      if (result.service.empty()) {
        result.service = service;
        result.scheme = scheme;
      } else if (result.service != service) {
        result.failure = core::Reason::conflicting_names;
      }
    }
    result.lookups.push_back({scheme, std::move(name), std::move(service)});
  };

  if (!query.logical.empty()) {
    add(core::Scheme::logical, std::string(query.logical),
        FindService(index.logical_names, query.logical));
  }
  const auto header_unknown = !query.logical.empty() && result.service.empty();
  if (!query.host.empty()) {
    auto host = NormalizeHost(query.host);
    auto service = FindService(index.hosts, host);
    add(core::Scheme::host, std::move(host), std::move(service));
  }
  const auto path = WithoutQuery(query.path);
  if (!path.empty()) {
    const auto match = FindPath(index.paths, path);
    if (!match.service.empty()) result.path = RemovePrefix(query.path, match.prefix_size);
    add(core::Scheme::path, std::string(path), match.service);
  }
  if (result.service.empty() && query.logical.empty() && !query.model.empty()) {
    add(core::Scheme::logical, std::string(query.model),
        FindService(index.logical_names, query.model));
  }

  // A request whose header names an unknown service must not be routed to another service by its
  // host or path.
  if (header_unknown || result.service.empty()) result.failure = core::Reason::unknown_service;
  if (result.failure) result.service.clear();
  return result;
}

auto Describe(const LookupResult& result) -> std::string {
  std::string text;
  for (const auto& [scheme, name, service] : result.lookups) {
    if (!text.empty()) text += ", ";
    text += std::string(core::Name(scheme)) + " \"" + name +
            "\": " + (service.empty() ? "no service" : service);
  }
  return text.empty() ? "no names given" : text;
}

}  // namespace filbertstair::document
