#include "filbertstair/core/error.h"

#include <utility>

namespace filbertstair::core {

Error::Error(Step step, std::string peer, const std::string& message)
    : std::runtime_error(std::string(Name(step)) + " " + peer + ": " + message),
      step(step),
      peer(std::move(peer)) {}

}  // namespace filbertstair::core
