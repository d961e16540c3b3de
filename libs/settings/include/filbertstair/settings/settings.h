#ifndef FILBERTSTAIR_SETTINGS_SETTINGS_H_
#define FILBERTSTAIR_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertstair/core/address.h"
#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"
#include "filbertstair/schema/problem.h"

namespace filbertstair::settings {

enum class LogLevel { debug, info, warning, error };
enum class LogFormat { text, json };

// Which process admits requests to a replica: its endpoint process, or each entry independently.
enum class Admission { endpoint, entry };

using core::Address;
using core::FormatAddress;
using core::ParseAddress;

// Bound on the requests that a cold replica receives in any second from all entries together: its
// rate x `overage` + `margin`.
struct ColdReplicas {
  double overage = 1.5;
  std::uint32_t margin = 5;
};

// Settings of one daemon process.
struct Settings {
  core::Role role = core::Role::entry;
  std::string id;
  std::string region;
  std::string failure_domain;
  std::uint32_t workers = 2;
  // CPU cores that the process may use, if its VM or container limits them.
  std::optional<double> cores;
  // Memory limit of the process in MB, if it has one.
  std::optional<std::uint32_t> memory_mb;

  // Entry only: which process admits requests, and the region of each failure domain. An entry that
  // admits requests itself needs the regions to tell local replicas from those in other regions.
  Admission admission = Admission::endpoint;
  std::map<std::string, std::string> failure_domains;
  ColdReplicas cold_replicas;

  // Listen addresses. Port 0 lets the system choose a port. `callers` is used by an entry only.
  Address callers;
  Address peers;
  Address admin;

  // Entry only: address of the platform's configuration service.
  Address platform;
  // Addresses of entries to connect to before the VM list is known.
  std::vector<Address> seeds;

  // Endpoint only: the pool of its replica in the VM list, and the replica's address.
  std::string pool;
  Address replica;

  LogLevel log_level = LogLevel::info;
  LogFormat log_format = LogFormat::text;
  // Maximum time that a planned stop waits for requests in flight. The default equals the default
  // request timeout of a service, so that a planned stop interrupts no request.
  core::Duration drain_grace = std::chrono::seconds(600);
  // Path of the file to which configuration changes and the start of draining are appended; empty
  // to write none.
  std::string history;
};

// Maximum size of a settings file in bytes.
inline constexpr std::size_t kMaxSettingsBytes = 1'000'000;

using schema::Problem;

struct ParseResult {
  // Present if and only if there are no problems.
  std::optional<Settings> settings;
  std::vector<Problem> problems;
};

// Parses and validates settings in the format of docs/settings.md. `file_name` is used only in
// problems. Reports all problems at once and does not throw on malformed input.
auto ParseSettings(std::string_view text, const std::string& file_name) -> ParseResult;

// Reads and parses a settings file. Throws core::Error with step `settings` and the path as peer if
// the file cannot be read.
auto ReadSettingsFile(const std::string& path) -> ParseResult;

}  // namespace filbertstair::settings

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::settings::LogLevel, 4>
    filbertstair::core::kNames<filbertstair::settings::LogLevel>{
        {{filbertstair::settings::LogLevel::debug, "debug"},
         {filbertstair::settings::LogLevel::info, "info"},
         {filbertstair::settings::LogLevel::warning, "warning"},
         {filbertstair::settings::LogLevel::error, "error"}}};

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::settings::LogFormat, 2>
    filbertstair::core::kNames<filbertstair::settings::LogFormat>{
        {{filbertstair::settings::LogFormat::text, "text"},
         {filbertstair::settings::LogFormat::json, "json"}}};

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::settings::Admission, 2>
    filbertstair::core::kNames<filbertstair::settings::Admission>{
        {{filbertstair::settings::Admission::endpoint, "endpoint"},
         {filbertstair::settings::Admission::entry, "entry"}}};

#endif  // FILBERTSTAIR_SETTINGS_SETTINGS_H_
