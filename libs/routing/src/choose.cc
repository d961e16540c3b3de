#include "filbertstair/routing/choose.h"

#include <tuple>

namespace filbertstair::routing {

auto ChooseEndpoint(std::span<const EndpointView> views, const std::string& region,
                    std::uint64_t serial, const std::set<std::string>& tried)
    -> std::optional<std::size_t> {
  std::optional<std::size_t> best;
  std::tuple<bool, std::int64_t> best_score{};
  for (std::size_t n = 0; n < views.size(); ++n) {
    const std::size_t i = (n + serial) % views.size();
    const auto& view = views[i];
    if (!view.usable || view.free_slots <= 0 || tried.contains(view.id)) continue;
    const std::tuple score{view.region == region, view.free_slots};
    if (!best || score > best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace filbertstair::routing
