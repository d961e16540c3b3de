#ifndef FILBERTSTAIR_DIRECT_COLD_H_
#define FILBERTSTAIR_DIRECT_COLD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/types.h"

// Cold replicas: for some time after its start a replica handles few requests and crashes well
// above their rate. The rate is split over the entries without any coordination: for each cold
// replica only the first entries by rendezvous hashing send to it, each at most one request per
// window.
namespace filbertstair::direct {

// Time for which a replica of a service is cold after its start, and requests per second that it
// handles meanwhile; a rate of 0 means that there is no limit.
struct ColdSpec {
  core::Duration cold_time{};
  double rate = 0;
};

struct ColdPolicy {
  // In any window a cold replica may receive at most rate x overage + margin requests.
  double overage = 1.5;
  std::uint32_t margin = 5;
  core::Duration window = std::chrono::seconds(1);
  // Time that a request is assumed to be in flight at least and at most, from its send to its
  // arrival. The latter holds until the response proves that it has arrived.
  core::Duration min_flight = std::chrono::milliseconds(100);
  core::Duration max_flight = std::chrono::milliseconds(400);
  // Maximum requests of one entry at one cold replica without a response. They may arrive together
  // when a link or a replica that was silent goes on.
  std::uint32_t max_unanswered = 2;
  // Time that is added to each report of the remaining cold time.
  core::Duration reserve = std::chrono::milliseconds(500);
  // Maximum remaining cold time that one report is believed for. Reports are renewed about every
  // 1.2 s, so that a longer cold time is covered by the next ones.
  core::Duration max_report = std::chrono::seconds(30);
  // Age of a process, and of its first link, from which it uses cold replicas. Its predecessor may
  // have sent requests until its end, and the reports of all entries take up to two periods of 1 s.
  core::Duration settle_time = std::chrono::seconds(5);
  core::Duration link_time = std::chrono::seconds(2);
  // Time for which an entry that is no longer reported counts for the split. Longer than the 30 s
  // of the retry budget: after a partition of that length, each side would use the whole rate.
  core::Duration remember_entry = std::chrono::minutes(5);
  // Share of the sending entries of which an entry must be one that has run for less than
  // `remember_entry`: it may know only the entries on its side of a partition.
  double young_share = 0.7;
  // Time after the first listing in which new replicas are those of a system that starts, and not
  // replicas that start in a running one.
  core::Duration first_start = std::chrono::seconds(15);
  // Time for which the starts of replicas are remembered that are no longer listed.
  core::Duration remember_start = std::chrono::minutes(10);
};

// A replica that is or was cold.
struct ColdReplica {
  // Latest end of its cold time that any report gave.
  core::Time until{};
  // Time from which this entry may send the next request while it is cold.
  core::Time next_at{};
  // Requests of this entry that were assigned while it was cold and have no response yet.
  std::uint32_t unanswered = 0;
  // Position of this entry in the rendezvous order of the replica.
  std::size_t rank = 0;
};

// Latest start of a replica that was listed, and the time of its last listing.
struct ColdStart {
  std::int64_t started_ms = 0;
  core::Time listed_at{};
};

// The entries that split the rate, as far as this one knows them.
struct ColdMembers {
  std::string self;
  // Times at which other entries were last known, by address.
  std::map<std::string, core::Time> others;
  core::Time started_at{};
  // Start of the first link to another entry since the start of the process; zero before.
  core::Time linked_at{};
  // Whether this entry may send to cold replicas at all, and whether it has run for too short a
  // time to know the entries on the other side of a partition.
  bool enabled = false;
  bool young = true;
};

struct ColdTable {
  // By service.
  std::map<std::string, ColdSpec, std::less<>> services;
  // By replica id. Kept when a replica is removed from the list: it may be listed again.
  std::map<std::string, ColdReplica> replicas;
  std::map<std::string, ColdStart> starts;
  // Last sends of this entry to replicas that it took for warm.
  std::map<std::string, core::Time> warm_sends;
  core::Time first_listing_at{};
  ColdMembers members;
};

// A request that was assigned to a cold replica.
struct ColdTurn {
  // Time of the last step of its way to the replica: its assignment, then its send.
  core::Time sent_at{};
  bool answered = false;
};

// Returns the number of entries that may send to a cold replica. It is at most the rate; the rest
// of the bound is the reserve for entries that know different sets of entries. If no entry lacks
// more than m of the entries that others know, at most m more send than this number.
auto CountColdSenders(const ColdPolicy& policy, const ColdSpec& spec) -> std::size_t;

// Records the remaining cold time that a replica reports of itself, a listing with that time, and
// that a replica's process has ended, so that it is cold when it is next reached. A later start
// than the listed one, or a new id in a running system, counts as cold for the cold time of its
// service. The longest of all these applies. Return whether the replica became cold.
auto RecordColdReport(ColdTable& table, const ColdPolicy& policy, const std::string& service,
                      const std::string& id, core::Duration cold_left, core::Time now) -> bool;
auto RecordColdListing(ColdTable& table, const ColdPolicy& policy, const std::string& service,
                       const std::string& id, std::int64_t started_ms, core::Duration cold_left,
                       core::Time now) -> bool;
auto RecordColdEnd(ColdTable& table, const ColdPolicy& policy, const std::string& service,
                   const std::string& id, core::Time now) -> bool;

// Records that a request is sent to a replica that is not known as cold.
auto RecordWarmSend(ColdTable& table, std::string_view service, const std::string& id,
                    core::Time now) -> void;

// Returns whether the replica is cold and its service limits the rate.
auto IsCold(const ColdTable& table, std::string_view service, const std::string& id, core::Time now)
    -> bool;

// Returns whether this entry may now assign a request to the cold replica.
auto HasColdTurn(const ColdTable& table, const ColdPolicy& policy, std::string_view service,
                 const std::string& id, core::Time now) -> bool;

// Record the progress of a request at a cold replica: it was assigned, its bytes are about to be or
// have been written, the head of its response was received, it ended. A request that was assigned
// before the replica was cold needs a turn before it is sent.
auto TakeColdTurn(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                  const std::string& id, core::Time now) -> ColdTurn;
auto RecordColdSend(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                    const std::string& id, ColdTurn& turn, core::Time now) -> void;
auto RecordColdAnswer(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                      const std::string& id, ColdTurn& turn, core::Time now) -> void;
auto EndColdTurn(ColdTable& table, const ColdPolicy& policy, std::string_view service,
                 const std::string& id, ColdTurn& turn, core::Time now) -> void;

// Other entries that are known at this moment, and whether a link to any of them is open.
struct ColdView {
  std::vector<std::string> others;
  bool linked = false;
};

// Updates which entries split the rate, this entry's position among them, and whether it may use
// cold replicas: not before it has settled, and only if it has a link or is the only entry. Returns
// whether the latter changed. Call at intervals of up to 1 s.
auto UpdateColdMembers(ColdTable& table, const ColdPolicy& policy, const ColdView& view,
                       core::Time now) -> bool;

// Returns the next time at which a cold replica may take a request of this entry, or is no longer
// cold. Returns nothing if no replica is cold.
auto FindNextColdTurn(const ColdTable& table, const ColdPolicy& policy, core::Time now)
    -> std::optional<core::Time>;

// Forgets replicas that are warm, and starts of replicas that are not `listed` (services by id).
auto ForgetCold(ColdTable& table, const ColdPolicy& policy,
                const std::map<std::string, std::string>& listed, core::Time now) -> void;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_COLD_H_
