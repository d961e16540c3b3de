#ifndef FILBERTSTAIR_ADMISSION_DEMAND_H_
#define FILBERTSTAIR_ADMISSION_DEMAND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Requests of one workspace for one service that wait at an entry, as announced by it.
struct DemandItem {
  std::string service;
  std::string workspace;
  std::uint32_t waiting = 0;
};

struct DemandKey {
  std::string service;
  std::string workspace;
  // Region of the entries that announced the demand.
  std::string region;

  // The linter takes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const DemandKey&) const = default;
};

// Demand of one entry for one service and workspace.
struct DemandRow {
  std::uint32_t waiting = 0;
  // Outstanding grants for this row; at most `waiting` requests are asked for.
  std::uint32_t granted = 0;
  // Number of the table's grant that last went to this row.
  std::uint64_t last_grant = 0;
};

struct DemandSource {
  core::Incarnation incarnation = 0;
  // Number of the control stream, unique within this process.
  std::uint64_t stream = 0;
  std::string region;
  // Set when a grant to the entry expired: a frozen entry then costs one slot for one time to live
  // and no more. Cleared by the entry's next message.
  bool paused = false;
  // Keys of the entry's rows.
  std::set<DemandKey> keys;
};

// Rows of all entries for one key.
struct DemandGroup {
  std::map<std::string, DemandRow> rows;
  // Requests for which a grant could be issued: waiting ones without a grant at entries that are
  // not paused.
  std::uint64_t grantable = 0;
};

// Requests waiting at the entries with a control stream to this process. A row takes about 250
// bytes.
struct DemandTable {
  std::map<std::string, DemandSource> sources;
  std::map<DemandKey, DemandGroup> groups;
  // Sums over all groups.
  std::uint64_t grantable = 0;
  std::uint64_t grants_issued = 0;
};

// Service and workspace with requests waiting in one region. Refers to the table and is valid until
// it changes.
struct GrantCandidate {
  std::string_view service;
  std::string_view workspace;
  std::string_view region;
  std::uint64_t waiting = 0;
};

// Records that an entry opened a control stream; it replaces the entry's previous one. Returns
// false, and changes nothing, if a newer incarnation of the entry is known.
auto OpenDemandSource(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                      std::uint64_t stream, const std::string& region) -> bool;

// Drops the entry's demand when its control stream ends. Returns false, and changes nothing, if the
// entry has since opened another one.
auto CloseDemandSource(DemandTable& table, const std::string& entry, std::uint64_t stream) -> bool;

// Sets the waiting requests of the listed services and workspaces; 0 removes one. Returns false,
// and changes nothing, if the table holds no or another incarnation of the entry.
auto UpdateDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                  std::span<const DemandItem> items) -> bool;

// Replaces everything the entry announced before. Returns false, and changes nothing, if the table
// holds no or another incarnation of the entry.
auto ReplaceDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                   std::span<const DemandItem> items) -> bool;

// Returns the services and workspaces for which a grant could be issued, for the caller to choose
// from.
auto ListGrantCandidates(const DemandTable& table) -> std::vector<GrantCandidate>;

// Returns whether ListGrantCandidates would return any.
auto HasDemand(const DemandTable& table) -> bool;

// Returns the entry to which the next grant for the service, workspace and region goes, or nothing
// if none is waiting. Entries receive grants in proportion to their waiting requests.
auto ChooseEntry(const DemandTable& table, const DemandKey& key) -> std::optional<std::string>;

// Counts a grant issued to the entry.
auto CountGrant(DemandTable& table, const DemandKey& key, const std::string& entry) -> void;

// Counts the end of a grant. `answered` is true if the entry redeemed or returned it: the request
// it was issued for then no longer waits.
auto CountGrantEnd(DemandTable& table, const DemandKey& key, const std::string& entry,
                   bool answered) -> void;

// Stops and resumes asking an entry for requests; see DemandSource::paused. `incarnation` is that
// of the entry; other incarnations are ignored.
auto SetPaused(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
               bool paused) -> void;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_DEMAND_H_
