#ifndef FILBERTSTAIR_TESTS_STANDINS_HISTORY_H_
#define FILBERTSTAIR_TESTS_STANDINS_HISTORY_H_

#include <xxhash.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace filbertstair::standins {

// Microseconds on the machine's monotonic clock, which all processes of one test share.
inline auto NowUs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Checksum that a stand-in puts into its answer and a caller recomputes, as 16 hexadecimal digits.
inline auto Checksum(std::string_view text) -> std::string {
  char out[17];
  std::snprintf(out, sizeof(out), "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return out;
}

// File with one JSON object per line. Each line is flushed before Append returns, so a process that
// is killed loses no event that it acted on. An empty path records nothing.
class History {
 public:
  History(const std::string& path, std::string source) : source(std::move(source)) {
    if (path.empty()) return;
    this->out.open(path, std::ios::app);
    if (!this->out) throw std::runtime_error("cannot open history file " + path);
  }

  // Writes `event` with the current time as "at" (microseconds) and the writer's id as "source".
  auto Append(std::string_view kind, boost::json::object event) -> void {
    if (!this->out.is_open()) return;
    event["kind"] = kind;
    event["source"] = this->source;
    const std::lock_guard lock(this->mutex);
    event["at"] = NowUs();
    this->out << boost::json::serialize(event) << '\n' << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream out;
  std::string source;
};

}  // namespace filbertstair::standins

#endif  // FILBERTSTAIR_TESTS_STANDINS_HISTORY_H_
