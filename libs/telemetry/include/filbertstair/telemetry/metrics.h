#ifndef FILBERTSTAIR_TELEMETRY_METRICS_H_
#define FILBERTSTAIR_TELEMETRY_METRICS_H_

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace filbertstair::telemetry {

enum class MetricKind { counter, gauge, histogram };

// Metrics of a daemon. docs/metrics.md documents them; a test compares the two.
enum class Metric {
  requests,
  refusals,
  retries,
  attempts_cut,
  unread_wait,
  queue_wait,
  first_byte,
  part_gap,
  waiting,
  slots,
  running,
  staged,
  grants,
  service_time,
  control_sent,
  control_received,
  config_version,
  config_age,
  config_conflicts,
  platform_calls,
  store_restorations,
  members,
  quarantined_blocks,
  crash_evidence_bytes,
  crash_evidence_dropped,
  retry_budget_used,
  retry_budget_refusals,
  sends_withheld,
  evacuated_domains,
  cold_replicas,
  cold_requests,
  client_bytes,
  client_limits,
};

// Description of a metric. `label` is the name of its single label; empty for none.
struct MetricInfo {
  Metric metric;
  MetricKind kind;
  std::string_view name;
  std::string_view label;
  std::string_view help;
};

inline constexpr std::array<MetricInfo, 33> kMetrics{{
    {Metric::requests, MetricKind::counter, "filbertstair_requests_total", "outcome",
     "Requests answered, by outcome"},
    {Metric::refusals, MetricKind::counter, "filbertstair_refusals_total", "reason",
     "Requests or submissions refused, by reason"},
    {Metric::retries, MetricKind::counter, "filbertstair_retries_total", "reason",
     "Requests submitted again, by reason"},
    {Metric::attempts_cut, MetricKind::counter, "filbertstair_attempts_cut_total", "cause",
     "Attempts that ended without a whole response, by cause: replica, silence or deadline"},
    {Metric::unread_wait, MetricKind::histogram, "filbertstair_unread_wait_seconds", "",
     "Time for which a request that had arrived was not read, as far as the kernel tells"},
    {Metric::queue_wait, MetricKind::histogram, "filbertstair_queue_wait_seconds", "",
     "Time from arrival at the entry to admission"},
    {Metric::first_byte, MetricKind::histogram, "filbertstair_first_byte_seconds", "",
     "Time from arrival at the entry to the first part of the answer's body"},
    {Metric::part_gap, MetricKind::histogram, "filbertstair_part_gap_seconds", "",
     "Time between two parts of an answer's body"},
    {Metric::waiting, MetricKind::gauge, "filbertstair_waiting_requests", "",
     "Requests waiting in the entry's queues"},
    {Metric::slots, MetricKind::gauge, "filbertstair_slots", "",
     "Requests that the endpoint process lets run at once"},
    {Metric::running, MetricKind::gauge, "filbertstair_running_requests", "",
     "Requests running at the replica"},
    {Metric::staged, MetricKind::gauge, "filbertstair_staged_requests", "",
     "Admitted requests waiting for a slot"},
    {Metric::grants, MetricKind::counter, "filbertstair_grants_total", "result",
     "Grants, by result: issued, redeemed, returned or expired"},
    {Metric::service_time, MetricKind::counter, "filbertstair_service_seconds_total", "workspace",
     "Slot time given, by workspace"},
    {Metric::control_sent, MetricKind::counter, "filbertstair_control_sent_bytes_total", "kind",
     "Bytes of control messages sent, by kind"},
    {Metric::control_received, MetricKind::counter, "filbertstair_control_received_bytes_total",
     "kind", "Bytes of control messages received, by kind"},
    {Metric::config_version, MetricKind::gauge, "filbertstair_config_version", "object",
     "Version in force of each published object"},
    {Metric::config_age, MetricKind::gauge, "filbertstair_config_contact_age_seconds", "",
     "Time since some entry is known to have heard the platform"},
    {Metric::config_conflicts, MetricKind::counter, "filbertstair_config_conflicts_total", "",
     "Times that two contents with one version were seen"},
    {Metric::platform_calls, MetricKind::counter, "filbertstair_platform_calls_total", "result",
     "Calls to the platform, by result: ok or failed"},
    {Metric::store_restorations, MetricKind::counter, "filbertstair_store_restorations_total", "",
     "Times that the platform's store came back from an older copy, as seen by its era"},
    {Metric::members, MetricKind::gauge, "filbertstair_members", "state",
     "Known processes, by state"},
    {Metric::quarantined_blocks, MetricKind::gauge, "filbertstair_quarantined_blocks", "",
     "Prompt blocks that are quarantined because replicas crashed under them"},
    {Metric::crash_evidence_bytes, MetricKind::gauge, "filbertstair_crash_evidence_bytes", "holder",
     "Estimated memory of what is known of crashes and prompt blocks, by holder: table, or updates "
     "for other entries"},
    {Metric::crash_evidence_dropped, MetricKind::counter,
     "filbertstair_crash_evidence_dropped_total", "kind",
     "Evidence on prompt blocks that was dropped because its table was full, by kind: crash, loss "
     "or unconfirmed"},
    {Metric::retry_budget_used, MetricKind::gauge, "filbertstair_retry_budget_used_ratio",
     "service",
     "Retries of the last window as a share of those that the budget allows, by service"},
    {Metric::retry_budget_refusals, MetricKind::counter, "filbertstair_retry_budget_refusals_total",
     "service", "Retries that were not made because the budget was used up, by service"},
    {Metric::sends_withheld, MetricKind::counter, "filbertstair_sends_withheld_total", "cause",
     "Assigned requests that were not sent, by cause: unavailable, evacuated or "
     "region_not_allowed"},
    {Metric::evacuated_domains, MetricKind::gauge, "filbertstair_evacuated_failure_domains", "",
     "Failure domains that the operator evacuates"},
    {Metric::cold_replicas, MetricKind::gauge, "filbertstair_cold_replicas", "",
     "Cold replicas to which the entries limit their requests"},
    {Metric::cold_requests, MetricKind::counter, "filbertstair_cold_requests_total", "result",
     "Requests assigned to cold replicas, by result: sent, or withheld because it was not the "
     "entry's turn"},
    {Metric::client_bytes, MetricKind::gauge, "filbertstair_client_bytes", "use",
     "Bytes held for clients, by use: connections, bodies or messages"},
    {Metric::client_limits, MetricKind::counter, "filbertstair_client_limits_total", "reason",
     "Requests refused and connections closed to limit what clients may use, by reason"},
}};

namespace detail {
struct MetricStore;
}  // namespace detail

// Metrics of one process. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  auto operator=(const Metrics&) -> Metrics& = delete;

  // Adds `amount` to a counter. `label` is the value of its label, if it has one.
  auto Count(Metric metric, std::string_view label = {}, double amount = 1) -> void;
  // Sets a gauge.
  auto Set(Metric metric, double value, std::string_view label = {}) -> void;
  // Adds a sample to a histogram, which is exported in seconds.
  auto Observe(Metric metric, std::chrono::microseconds value) -> void;

  // Returns all metrics in the Prometheus text exposition format.
  auto Render() const -> std::string;

 private:
  std::unique_ptr<detail::MetricStore> store;
};

}  // namespace filbertstair::telemetry

#endif  // FILBERTSTAIR_TELEMETRY_METRICS_H_
