#ifndef FILBERTSTAIR_APPS_FILBERTSTAIRD_ROLE_H_
#define FILBERTSTAIR_APPS_FILBERTSTAIRD_ROLE_H_

#include <functional>

#include "filbertstair/node/node.h"
#include "filbertstair/node/start.h"
#include "filbertstair/settings/settings.h"

// The role that a process plays: an entry, or the process in front of one replica.
namespace filbertstair {

// Actions on a running role, triggered by signals.
struct RoleActions {
  std::function<void()> drain;
  std::function<void(node::StopScope)> stop;
  std::function<void(const settings::Settings&)> reload = [](const settings::Settings&) {};
};

// Starts the role that the settings name.
auto StartRole(node::Node& node) -> RoleActions;

}  // namespace filbertstair

#endif  // FILBERTSTAIR_APPS_FILBERTSTAIRD_ROLE_H_
