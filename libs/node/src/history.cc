#include "filbertstair/node/history.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "filbertstair/core/error.h"

namespace filbertstair::node {
namespace {

auto WriteEvent(History& history, const boost::json::object& event) -> void {
  if (history.file.is_open()) history.file << boost::json::serialize(event) << std::endl;
}

auto Microseconds(core::Time time) -> std::int64_t { return time.time_since_epoch().count(); }

}  // namespace

auto OpenHistory(History& history, const std::string& path) -> void {
  if (path.empty()) return;
  history.file.open(path, std::ios::app);
  if (!history.file) throw core::Error(core::Step::settings, path, "cannot open the history file");
}

auto RecordConfigVersion(History& history, core::Time now, const std::string& source,
                         const std::string& object, std::uint64_t version) -> void {
  WriteEvent(history, {{"at", Microseconds(now)},
                       {"kind", "config"},
                       {"source", source},
                       {"object", object},
                       {"version", version}});
}

auto RecordDrainStart(History& history, core::Time now, const std::string& source) -> void {
  WriteEvent(history, {{"at", Microseconds(now)}, {"kind", "leaving"}, {"source", source}});
}

}  // namespace filbertstair::node
