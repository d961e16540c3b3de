#include "filbertstair/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace filbertstair::telemetry {
namespace detail {

// Upper bounds of histogram buckets, from a round trip on loopback to the longest queue timeout.
const prometheus::Histogram::BucketBoundaries kBucketBoundsSeconds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.5, 1, 1.8, 5, 10, 30, 60};

struct MetricStore {
  prometheus::Registry registry;
  std::map<Metric, prometheus::Family<prometheus::Counter>*> counters;
  std::map<Metric, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<Metric, prometheus::Histogram*> histograms;
};

namespace {

auto FindInfo(Metric metric) -> const MetricInfo& {
  return kMetrics.at(static_cast<std::size_t>(metric));
}

auto Labels(const MetricInfo& info, std::string_view value) -> prometheus::Labels {
  if (info.label.empty()) return {};
  return {{std::string(info.label), std::string(value)}};
}

auto Register(MetricStore& store, const MetricInfo& info) -> void {
  const std::string name(info.name);
  const std::string help(info.help);
  switch (info.kind) {
    case MetricKind::counter:
      store.counters[info.metric] =
          &prometheus::BuildCounter().Name(name).Help(help).Register(store.registry);
      break;
    case MetricKind::gauge:
      store.gauges[info.metric] =
          &prometheus::BuildGauge().Name(name).Help(help).Register(store.registry);
      break;
    case MetricKind::histogram:
      store.histograms[info.metric] = &prometheus::BuildHistogram()
                                           .Name(name)
                                           .Help(help)
                                           .Register(store.registry)
                                           .Add({}, kBucketBoundsSeconds);
      break;
  }
}

}  // namespace
}  // namespace detail

Metrics::Metrics() : store(std::make_unique<detail::MetricStore>()) {
  for (const auto& info : kMetrics) detail::Register(*this->store, info);
}

Metrics::~Metrics() = default;

auto Metrics::Count(Metric metric, std::string_view label, double amount) -> void {
  const auto& info = detail::FindInfo(metric);
  this->store->counters.at(metric)->Add(detail::Labels(info, label)).Increment(amount);
}

auto Metrics::Set(Metric metric, double value, std::string_view label) -> void {
  const auto& info = detail::FindInfo(metric);
  this->store->gauges.at(metric)->Add(detail::Labels(info, label)).Set(value);
}

auto Metrics::Observe(Metric metric, std::chrono::microseconds value) -> void {
  this->store->histograms.at(metric)->Observe(static_cast<double>(value.count()) * 1e-6);
}

auto Metrics::Render() const -> std::string {
  return prometheus::TextSerializer().Serialize(this->store->registry.Collect());
}

}  // namespace filbertstair::telemetry
