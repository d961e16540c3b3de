#ifndef FILBERTSTAIR_DIRECT_INTAKE_H_
#define FILBERTSTAIR_DIRECT_INTAKE_H_

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Bounds of the rate at which an entry takes requests in, by its processor cores.
struct AdmissionRatePolicy {
  // Requests a second and core that are taken in at most. A request costs at least 0.4 ms of
  // processor time up to its end, so that more than these can't be served in time, and a flood is
  // bounded before its delay shows.
  double max_rate_per_core = 2500;
  // Requests a second and core that are taken in whatever the delay. A request costs 0.6 to 1 ms in
  // the mean, so that at least a quarter of the time goes to requests that are served, and what a
  // workspace gets under a flood of another one has a lower bound.
  double min_rate_per_core = 400;
  // Delay of timers at which the rate stays as it is; it falls above and rises below. A request
  // takes some ten turns of its worker up to its first event, so that it then loses half of an
  // objective of 500 ms.
  core::Duration target_delay = std::chrono::milliseconds(25);
  // Change of the rate in one interval of Adapt, for a delay of twice the target or none, and its
  // bounds. The cost of a request is spread over the second or two of its answer, so that a faster
  // change swings between too much and too little.
  double gain = 0.1;
  double min_rate_factor = 0.92;
  double max_rate_factor = 1.03;
  // Time for which unused rate adds up, so that requests that come together are taken in.
  core::Duration burst = std::chrono::milliseconds(100);
  // Time for which workspaces far below their share may use the rate ahead. Other workspaces wait
  // until it is made up.
  core::Duration borrow_window = std::chrono::milliseconds(250);
  // Part of its max-min share below which a workspace counts as far below it, and from which it has
  // more than its share.
  double below_share_ratio = 0.5;
  double above_share_ratio = 1.1;
  // Time after which a refused caller comes back, most likely to another entry.
  core::Duration short_retry_delay = std::chrono::milliseconds(100);
  // A workspace that asks for this many times its share has its callers at this entry, where they
  // come back to the same flood. They are spread over these times, so that they don't double it.
  double flood_share_ratio = 2;
  core::Duration min_flood_retry_delay = std::chrono::seconds(1);
  core::Duration max_flood_retry_delay = std::chrono::seconds(4);
};

// How much of an entry a workspace took lately, measured against its max-min share.
enum class ShareClass { below, within, above };

// The bound in force at one worker.
struct AdmissionLimiter {
  // Processor cores of the worker; 0 if not stated. The rate then has no upper bound until the
  // worker is late for the first time, and one core is assumed for the lower one.
  double cores = 0;
  // Requests a second.
  double rate = 0;
  // Requests that may be taken in at `at`; negative while some were taken in ahead.
  double credit = 0;
  core::Time credit_at{};
  // Requests taken in since the last call of Adapt, and their mean rate a second.
  double admitted = 0;
  double mean_admitted_rate = 0;
  core::Time rate_updated_at{};
};

// Returns the bound of a worker with so many processor cores.
auto MakeAdmissionLimiter(const AdmissionRatePolicy& policy, double cores, core::Time now)
    -> AdmissionLimiter;

// Adapts the rate to the delay of timers. Call at even intervals of some 50 ms.
auto UpdateAdmissionRate(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                         core::Duration delay, core::Time now) -> void;

// Returns the standing of a workspace that took `taken` of a max-min share of `share`.
auto ClassifyShare(const AdmissionRatePolicy& policy, double admitted, double share) -> ShareClass;

// Returns the time after which a refused caller of a workspace that asked for `asked` should come
// back. `draw` is an even draw from 0 to 1.
auto ChooseRetryDelay(const AdmissionRatePolicy& policy, double requested, double share,
                      double uniform_sample) -> core::Duration;

// Whether so much of the rate is used that not every request is taken in, whoever asks.
auto IsRateLimited(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                   core::Time now) -> bool;

// Whether a request of a workspace with this standing is taken in. The rate goes first to those
// below their share: those above leave half of the burst to others.
auto MayAdmit(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
              ShareClass share_class, core::Time now) -> bool;

// Records that a request was taken in.
auto RecordAdmission(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy, core::Time now)
    -> void;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::ShareClass, 3> kNames<direct::ShareClass>{
    {{direct::ShareClass::below, "below"},
     {direct::ShareClass::within, "within"},
     {direct::ShareClass::above, "above"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_INTAKE_H_
