#include "filbertstair/node/trace.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace filbertstair::node {
namespace {

// Returns the request's trace; a new one replaces the oldest if the table is full.
auto FindOrAdd(TraceTable& table, std::string_view request) -> RequestTrace& {
  const auto found = table.slot_by_request.find(request);
  if (found != table.slot_by_request.end()) return table.ring[found->second];
  std::size_t slot = table.ring.size();
  if (slot < kMaxTraces) {
    table.ring.emplace_back();
  } else {
    slot = table.next_slot;
    table.next_slot = (table.next_slot + 1) % kMaxTraces;
    table.slot_by_request.erase(table.ring[slot].request);
    table.ring[slot] = {};
  }
  table.ring[slot].request = request;
  table.slot_by_request.emplace(request, slot);
  return table.ring[slot];
}

auto ToObject(const TraceEvent& event) -> boost::json::object {
  boost::json::object object = {{"at_us", event.recorded_at.time_since_epoch().count()},
                                {"kind", core::Name(event.kind)}};
  if (!event.peer.empty()) object["peer"] = event.peer;
  if (event.step) object["step"] = core::Name(*event.step);
  if (event.outcome) object["outcome"] = core::Name(*event.outcome);
  if (event.reason) object["reason"] = core::Name(*event.reason);
  if (event.cost) object["cost_us"] = *event.cost;
  return object;
}

}  // namespace

auto AddEvent(TraceTable& table, std::string_view request, TraceEvent event) -> void {
  auto& trace = FindOrAdd(table, request);
  if (trace.events.size() == kMaxTraceEvents) {
    trace.events.pop_back();
    ++trace.dropped;
  }
  trace.events.push_back(std::move(event));
}

auto SetTraceTarget(TraceTable& table, std::string_view request, const std::string& service,
                    const std::string& workspace) -> void {
  const auto found = table.slot_by_request.find(request);
  if (found == table.slot_by_request.end()) return;
  table.ring[found->second].service = service;
  table.ring[found->second].workspace = workspace;
}

auto FindTrace(const TraceTable& table, std::string_view request) -> const RequestTrace* {
  const auto found = table.slot_by_request.find(request);
  return found == table.slot_by_request.end() ? nullptr : &table.ring[found->second];
}

auto ToJson(const RequestTrace& trace, const std::string& process) -> std::string {
  boost::json::array events;
  for (const auto& event : trace.events) events.emplace_back(ToObject(event));
  return boost::json::serialize(boost::json::object{{"process", process},
                                                    {"request", trace.request},
                                                    {"service", trace.service},
                                                    {"workspace", trace.workspace},
                                                    {"dropped", trace.dropped},
                                                    {"events", std::move(events)}});
}

}  // namespace filbertstair::node
