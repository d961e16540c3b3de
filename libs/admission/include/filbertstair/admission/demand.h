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

// Number of requests of one workspace for one service that wait at an entry, as reported by the
// entry.
struct DemandItem {
  std::string service;
  std::string workspace;
  std::uint32_t waiting = 0;
};

// Key by which the demand of all entries is grouped.
struct DemandKey {
  std::string service;
  std::string workspace;
  // Region of the entries that reported the demand.
  std::string region;

  // The linter takes the 0 in the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const DemandKey&) const = default;
};

// Demand of one entry for one service and workspace.
struct DemandRow {
  std::uint32_t waiting = 0;
  // Outstanding grants for this row. A grant is issued only while this is less than `waiting`.
  std::uint32_t granted = 0;
  // Value of DemandTable::grants_issued after the row's most recent grant.
  std::uint64_t last_grant = 0;
};

// An entry with an open control stream.
struct DemandSource {
  core::Incarnation incarnation = 0;
  // Id of the control stream, unique within this process.
  std::uint64_t stream = 0;
  std::string region;
  // Set when a grant to the entry expired, so that an unresponsive entry blocks one slot for one
  // time to live at most. Cleared by the entry's next message.
  bool paused = false;
  // Keys of the groups in which the entry has a row.
  std::set<DemandKey> keys;
};

// Rows of all entries for one key.
struct DemandGroup {
  std::map<std::string, DemandRow> rows;
  // Requests for which a grant could be issued: those that wait without a grant at entries that are
  // not paused.
  std::uint64_t grantable = 0;
};

// Requests waiting at the entries that have a control stream to this process. A row takes about 250
// bytes.
struct DemandTable {
  std::map<std::string, DemandSource> sources;
  std::map<DemandKey, DemandGroup> groups;
  // Sum of DemandGroup::grantable over all groups, and number of grants issued so far.
  std::uint64_t grantable = 0;
  std::uint64_t grants_issued = 0;
};

// Service and workspace with requests waiting in one region. The views refer to the table and are
// valid until it changes.
struct GrantCandidate {
  std::string_view service;
  std::string_view workspace;
  std::string_view region;
  std::uint64_t waiting = 0;
};

// Records that an entry opened a control stream, which replaces its previous one. Returns false,
// and changes nothing, if a newer incarnation of the entry is known.
auto OpenDemandSource(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                      std::uint64_t stream, const std::string& region) -> bool;

// Discards the entry's demand when its control stream ends. Returns false, and changes nothing, if
// the entry has since opened another stream.
auto CloseDemandSource(DemandTable& table, const std::string& entry, std::uint64_t stream) -> bool;

// Sets the number of waiting requests for each listed service and workspace; 0 removes the row.
// Other rows are unchanged. Returns false, and changes nothing, if the table has no source with
// this entry and incarnation.
auto UpdateDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                  std::span<const DemandItem> items) -> bool;

// Replaces all demand that the entry reported before. Returns false, and changes nothing, if the
// table has no source with this entry and incarnation.
auto ReplaceDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                   std::span<const DemandItem> items) -> bool;

// Lists the services, workspaces and regions for which a grant could be issued; the caller chooses
// among them.
auto ListGrantCandidates(const DemandTable& table) -> std::vector<GrantCandidate>;

// Returns whether ListGrantCandidates would return any candidate.
auto HasDemand(const DemandTable& table) -> bool;

// Chooses the entry that receives the next grant for the service, workspace and region. Returns
// nothing if no request is grantable. Entries receive grants in proportion to their waiting
// requests.
auto ChooseEntry(const DemandTable& table, const DemandKey& key) -> std::optional<std::string>;

// Counts a grant issued to the entry.
auto CountGrant(DemandTable& table, const DemandKey& key, const std::string& entry) -> void;

// Counts the end of a grant. `answered` is true if the entry redeemed or returned it: the request
// that the grant was issued for no longer waits then.
auto CountGrantEnd(DemandTable& table, const DemandKey& key, const std::string& entry,
                   bool answered) -> void;

// Suspends or resumes grants to an entry; see DemandSource::paused. Does nothing if `incarnation`
// is not the entry's known one.
auto SetPaused(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
               bool paused) -> void;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_DEMAND_H_
