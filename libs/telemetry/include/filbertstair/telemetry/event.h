#ifndef FILBERTSTAIR_TELEMETRY_EVENT_H_
#define FILBERTSTAIR_TELEMETRY_EVENT_H_

#include "filbertstair/core/names.h"

namespace filbertstair::telemetry {

// Log events. docs/events.md documents them; a test compares the two. Numbers are never reused.
enum class Event {
  started = 100,
  stopping = 101,
  stopped = 102,
  listening = 103,
  start_failed = 104,
  ready = 105,
  settings_reloaded = 106,
  settings_rejected = 107,
  overloaded = 108,
  overload_ended = 109,
  rotation_changed = 110,
  address_in_use = 111,
  listener_closed = 112,
  client_limited = 113,
  object_accepted = 200,
  object_rejected = 201,
  object_conflict = 202,
  platform_unreachable = 203,
  platform_reached = 204,
  name_conflict = 205,
  peer_connected = 300,
  peer_lost = 301,
  member_changed = 302,
  peer_refused = 303,
  replica_changed = 304,
  replica_set_aside = 305,
  block_quarantined = 306,
  replica_closed = 307,
  retry_after_ignored = 308,
  request_refused = 400,
  request_retried = 401,
  request_finished = 402,
  answer_cut = 403,
  attempt_cut = 404,
  grant_expired = 500,
  limit_changed = 501,
  workspace_usage = 502,
  internal_error = 900,
};

}  // namespace filbertstair::telemetry

namespace filbertstair::core {
template <>
inline constexpr NameTable<telemetry::Event, 38> kNames<telemetry::Event>{{
    {telemetry::Event::started, "started"},
    {telemetry::Event::stopping, "stopping"},
    {telemetry::Event::stopped, "stopped"},
    {telemetry::Event::listening, "listening"},
    {telemetry::Event::start_failed, "start_failed"},
    {telemetry::Event::ready, "ready"},
    {telemetry::Event::settings_reloaded, "settings_reloaded"},
    {telemetry::Event::settings_rejected, "settings_rejected"},
    {telemetry::Event::overloaded, "overloaded"},
    {telemetry::Event::overload_ended, "overload_ended"},
    {telemetry::Event::rotation_changed, "rotation_changed"},
    {telemetry::Event::address_in_use, "address_in_use"},
    {telemetry::Event::listener_closed, "listener_closed"},
    {telemetry::Event::client_limited, "client_limited"},
    {telemetry::Event::object_accepted, "object_accepted"},
    {telemetry::Event::object_rejected, "object_rejected"},
    {telemetry::Event::object_conflict, "object_conflict"},
    {telemetry::Event::platform_unreachable, "platform_unreachable"},
    {telemetry::Event::platform_reached, "platform_reached"},
    {telemetry::Event::name_conflict, "name_conflict"},
    {telemetry::Event::peer_connected, "peer_connected"},
    {telemetry::Event::peer_lost, "peer_lost"},
    {telemetry::Event::member_changed, "member_changed"},
    {telemetry::Event::peer_refused, "peer_refused"},
    {telemetry::Event::replica_changed, "replica_changed"},
    {telemetry::Event::replica_set_aside, "replica_set_aside"},
    {telemetry::Event::block_quarantined, "block_quarantined"},
    {telemetry::Event::replica_closed, "replica_closed"},
    {telemetry::Event::retry_after_ignored, "retry_after_ignored"},
    {telemetry::Event::request_refused, "request_refused"},
    {telemetry::Event::request_retried, "request_retried"},
    {telemetry::Event::request_finished, "request_finished"},
    {telemetry::Event::answer_cut, "answer_cut"},
    {telemetry::Event::attempt_cut, "attempt_cut"},
    {telemetry::Event::grant_expired, "grant_expired"},
    {telemetry::Event::limit_changed, "limit_changed"},
    {telemetry::Event::workspace_usage, "workspace_usage"},
    {telemetry::Event::internal_error, "internal_error"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_TELEMETRY_EVENT_H_
