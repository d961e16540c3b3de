#ifndef FILBERTSTAIR_TESTS_SOAK_CLIENTS_H_
#define FILBERTSTAIR_TESTS_SOAK_CLIENTS_H_

#include <string>

#include "tests/soak/callers.h"
#include "tests/soak/profile.h"

namespace filbertstair::soak {

// Sends the requests of a profile until the time is over and appends one line to the output for
// each attempt. Arrivals don't wait for answers. Clients connect to entries of their zone that
// answer the question for readiness with 200, and come back a few times within their deadline.
// `options.admins` has the entries' addresses for that question, in the order of `entries`.
auto RunClients(const Profile& profile, const CallerOptions& options) -> void;

}  // namespace filbertstair::soak

#endif  // FILBERTSTAIR_TESTS_SOAK_CLIENTS_H_
