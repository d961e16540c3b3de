#ifndef FILBERTSTAIR_TESTS_FLEET_CALLER_H_
#define FILBERTSTAIR_TESTS_FLEET_CALLER_H_

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "filbertstair/core/types.h"
#include "tests/fleet/event.h"

namespace filbertstair::fleet {

// One HTTP request and what the history says about it. `id` becomes X-Test-Id and X-Test-Echo.
struct Call {
  // Address "ip:port" of the listener.
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::string host;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string id;
  std::string workspace;
  std::string service;
  core::CallClass call_class = core::CallClass::repeatable;
  std::string key;
  std::chrono::milliseconds timeout = std::chrono::seconds(30);
  // Called with each part of the body as it arrives; returning false closes the connection.
  std::function<bool(std::string_view)> on_part;
};

struct Reply {
  // 0 if the connection failed before a status arrived.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  // Whether the end of the message was received.
  bool complete = false;
  // Transport error, empty if there was none.
  std::string error;

  // Header by its name in lower case, or an empty text.
  auto Header(const std::string& name) const -> std::string;
};

// Contents of a stand-in's answer, JSON or server-sent events.
struct Answer {
  std::string text;
  std::string echo;
  std::string announced;
  std::string received;
  bool complete = false;
};

// Collects events of one test process and appends them to a JSON-lines file. Thread-safe.
class Recorder {
 public:
  explicit Recorder(std::string path);

  // Stamps the event with the current time and appends it.
  auto Record(Event event) -> void;
  auto Path() const -> const std::string& { return this->path; }

 private:
  std::string path;
  std::mutex mutex;
};

// Sends one request over a new connection and waits for the reply. Throws nothing for transport
// errors; they are in the reply.
auto Send(const Call& call) -> Reply;

// Reads a stand-in's answer and recomputes its length and checksum.
auto ReadAnswer(const Reply& reply) -> Answer;

// The event that a reply means for its caller.
auto OutcomeOf(const Call& call, const Reply& reply, const std::string& source) -> Event;

// Sends the call and records its invocation and its outcome. Returns the outcome; with `reply`, the
// reply as well.
auto Invoke(const Call& call, const std::string& source, Recorder& recorder, Reply* reply = nullptr)
    -> Event;

// A UUIDv7 with the current time. `serial` makes keys of the same millisecond distinct.
auto MakeKey(std::uint64_t serial) -> std::string;

}  // namespace filbertstair::fleet

#endif  // FILBERTSTAIR_TESTS_FLEET_CALLER_H_
