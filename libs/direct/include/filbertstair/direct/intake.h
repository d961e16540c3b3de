#ifndef FILBERTSTAIR_DIRECT_INTAKE_H_
#define FILBERTSTAIR_DIRECT_INTAKE_H_

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Limits of the rate at which an entry admits requests, relative to its processor cores.
struct AdmissionRatePolicy {
  // Maximum of admitted requests per second and core. A request costs at least 0.4 ms of processor
  // time in total, so that more than these can't be served in time; the limit bounds a flood before
  // its delay shows.
  double max_rate_per_core = 2500;
  // Requests per second and core that are admitted whatever the delay. A request costs 0.6 to 1 ms
  // on average, so that at least a quarter of the time goes to requests that are served, and the
  // service of a workspace during a flood by another one has a lower bound.
  double min_rate_per_core = 400;
  // Timer delay at which the rate stays constant; the rate falls above it and rises below it. A
  // request takes about ten event loop turns of its worker up to its first event, so that at this
  // delay it loses half of an objective of 500 ms.
  core::Duration target_delay = std::chrono::milliseconds(25);
  // Relative change of the rate in one call of UpdateAdmissionRate, for a delay of zero or of twice
  // the target, and the bounds of the factor. The cost of a request is spread over the second or
  // two of its response, so that a faster change oscillates.
  double gain = 0.1;
  double min_rate_factor = 0.92;
  double max_rate_factor = 1.03;
  // Time over which unused rate accumulates, so that requests that arrive together are admitted.
  core::Duration burst = std::chrono::milliseconds(100);
  // Time by which workspaces far below their share may use the rate in advance. Other workspaces
  // wait until this is made up for.
  core::Duration borrow_window = std::chrono::milliseconds(250);
  // Cost of a request for the rate, relative to the mean: a part that every request costs and one
  // in proportion to its expected output, whose events take most of the processor time. Requests
  // that cost less need less credit, so that an entry short of processor time serves more of these.
  double fixed_cost = 0.3;
  double max_cost = 3;
  // Weight of one request in the mean expected output.
  double output_weight = 0.01;
  // Fraction of its max-min share below which a workspace counts as below its share, and above
  // which it counts as above it.
  double below_share_ratio = 0.5;
  double above_share_ratio = 1.1;
  // Retry delay for a refused caller, which most likely retries at another entry.
  core::Duration short_retry_delay = std::chrono::milliseconds(100);
  // A workspace that requests at least this many times its share has its callers at this entry,
  // where they retry into the same flood. Their retries are spread between the two delays, so that
  // they don't double the flood.
  double flood_share_ratio = 2;
  core::Duration min_flood_retry_delay = std::chrono::seconds(1);
  core::Duration max_flood_retry_delay = std::chrono::seconds(4);
};

// Recently admitted service of a workspace at an entry, relative to its max-min share.
enum class ShareClass { below, within, above };

// Rate limiter of one worker: a token bucket whose rate follows the timer delay.
struct AdmissionLimiter {
  // Processor cores of the worker; 0 if not specified. The rate then has no upper limit until the
  // worker lags for the first time, and one core is assumed for the lower limit.
  double cores = 0;
  // Admitted requests per second.
  double rate = 0;
  // Requests that may be admitted at `credit_at`; negative while some were admitted in advance.
  double credit = 0;
  core::Time credit_at{};
  // Requests admitted since the last call of UpdateAdmissionRate, and their moving average in
  // requests per second.
  double admitted = 0;
  double mean_admitted_rate = 0;
  core::Time rate_updated_at{};
  // Moving average of the expected output of the requests that arrived; 0 before the first one.
  double mean_output = 0;
};

// Returns the limiter of a worker with `cores` processor cores; 0 if not specified.
auto MakeAdmissionLimiter(const AdmissionRatePolicy& policy, double cores, core::Time now)
    -> AdmissionLimiter;

// Updates the rate from the mean timer delay. Call at regular intervals of about 50 ms.
auto UpdateAdmissionRate(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                         core::Duration delay, core::Time now) -> void;

// Compares the service that a workspace was `admitted` with its max-min share, both in the same
// unit.
auto ClassifyShare(const AdmissionRatePolicy& policy, double admitted, double share) -> ShareClass;

// Returns the delay after which a refused caller of a workspace that requested `requested` of its
// `share` should retry. `uniform_sample` is a random sample in [0, 1].
auto ChooseRetryDelay(const AdmissionRatePolicy& policy, double requested, double share,
                      double uniform_sample) -> core::Duration;

// Whether the rate is used so far that requests of some workspaces are refused.
auto IsRateLimited(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                   core::Time now) -> bool;

// Records the expected output in tokens of a request that arrived, and returns the request's cost
// for the rate, which is 1 for the mean request.
auto RecordOutput(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy, double output)
    -> double;

// Whether a request of a workspace of this class is admitted. The rate goes first to workspaces
// below their share; those above it leave half of the burst to others.
auto MayAdmit(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
              ShareClass share_class, core::Time now, double cost = 1) -> bool;

// Takes the cost of a request from the limiter's credit.
auto RecordAdmission(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy, core::Time now,
                     double cost = 1) -> void;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::ShareClass, 3> kNames<direct::ShareClass>{
    {{direct::ShareClass::below, "below"},
     {direct::ShareClass::within, "within"},
     {direct::ShareClass::above, "above"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_INTAKE_H_
