#ifndef FILBERTSTAIR_REVIEW_STANDINS_3_HTTP_H_
#define FILBERTSTAIR_REVIEW_STANDINS_3_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Blocking HTTP/1.1 on loopback, with one thread for each connection.
namespace filbertstair::lab {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline auto SleepMs(std::int64_t ms) -> void { std::this_thread::sleep_for(Ms(ms)); }

using Fields = std::vector<std::pair<std::string, std::string>>;

inline auto Lower(std::string text) -> std::string {
  for (auto& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

// Head and body of a request or an answer.
struct Message {
  // Request line or status line.
  std::string first;
  Fields fields;
  std::string body;
  // Whether the body arrived to its end.
  bool complete = false;

  auto Field(const std::string& name) const -> std::string {
    for (const auto& [key, value] : this->fields) {
      if (Lower(key) == Lower(name)) return value;
    }
    return "";
  }
  auto Word(int index) const -> std::string {
    std::size_t at = 0;
    for (int i = 0; i < index; ++i) {
      at = this->first.find(' ', at);
      if (at == std::string::npos) return "";
      ++at;
    }
    return this->first.substr(at, this->first.find(' ', at) - at);
  }
  auto Status() const -> int {
    const auto word = this->Word(1);
    return word.empty() ? 0 : std::atoi(word.c_str());
  }
};

inline auto Loopback(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A connected socket with what was read ahead.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  auto Close() -> void {
    if (this->socket >= 0) close(this->socket);
    this->socket = -1;
  }
  auto Reset() -> void {
    const linger now{1, 0};
    if (this->socket >= 0) setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->Close();
  }
  auto Socket() const -> int { return this->socket; }

  auto Send(std::string_view bytes) -> bool {
    while (!bytes.empty()) {
      const auto sent = send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Returns whether the peer has closed the connection.
  auto IsClosed() const -> bool {
    pollfd item{this->socket, POLLIN | POLLRDHUP, 0};
    if (poll(&item, 1, 0) <= 0) return false;
    return (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  // Reads a head; false at the end of the connection or after `until`.
  auto ReadHead(Message& message, Clock::time_point until) -> bool {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until)) return false;
    }
    const std::string head = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 4);
    auto line_end = head.find("\r\n");
    message.first = head.substr(0, line_end);
    while (line_end != std::string::npos) {
      const auto begin = line_end + 2;
      line_end = head.find("\r\n", begin);
      const auto line = head.substr(begin, line_end - begin);
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') value.erase(0, 1);
      message.fields.emplace_back(line.substr(0, colon), value);
    }
    return true;
  }

  // Reads the body of a message whose head was read.
  auto ReadBody(Message& message, Clock::time_point until) -> bool {
    if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
      while (true) {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
          if (!this->Fill(until)) return false;
        }
        const auto size = std::stoull(this->buffer.substr(0, end), nullptr, 16);
        while (this->buffer.size() < end + 2 + size + 2) {
          if (!this->Fill(until)) return false;
        }
        message.body += this->buffer.substr(end + 2, size);
        this->buffer.erase(0, end + 2 + size + 2);
        if (size == 0) break;
      }
    } else {
      const auto length = message.Field("Content-Length");
      const auto size = length.empty() ? 0 : std::stoull(length);
      while (this->buffer.size() < size) {
        if (!this->Fill(until)) return false;
      }
      message.body = this->buffer.substr(0, size);
      this->buffer.erase(0, size);
    }
    message.complete = true;
    return true;
  }

 private:
  auto Fill(Clock::time_point until) -> bool {
    const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
    pollfd item{this->socket, POLLIN, 0};
    if (left <= 0 || poll(&item, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const auto size = recv(this->socket, bytes, sizeof(bytes), 0);
    if (size <= 0) return false;
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int socket;
  std::string buffer;
};

// Opens a connection to a loopback port; null if it is refused.
inline auto Connect(int port) -> std::unique_ptr<Connection> {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(socket);
    return nullptr;
  }
  return std::make_unique<Connection>(socket);
}

// Returns a port that was free a moment ago, each once.
inline auto FreePort() -> int {
  static std::set<int> given;
  while (true) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = Loopback(0);
    socklen_t size = sizeof(address);
    if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      throw std::runtime_error("no free port");
    }
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    close(socket);
    const int port = ntohs(address.sin_port);
    if (given.insert(port).second) return port;
  }
}

// Serves connections on a loopback port until it is stopped, which closes them all.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(int port, Handler handler) : port(port), handler(std::move(handler)) {}

  auto Start() -> void {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = Loopback(this->port);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(socket, 1024) != 0) {
      throw std::runtime_error("can't listen on " + std::to_string(this->port));
    }
    this->listener = socket;
    std::thread([this, socket] { this->Accept(socket); }).detach();
  }

  // Ends like a process that is killed: all connections end, new ones are refused.
  auto Stop() -> void {
    shutdown(this->listener.exchange(-1), SHUT_RDWR);
    const std::lock_guard lock(this->mutex);
    for (const int socket : this->open) shutdown(socket, SHUT_RDWR);
  }

 private:
  auto Accept(int socket) -> void {
    while (true) {
      const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) break;
      {
        const std::lock_guard lock(this->mutex);
        this->open.insert(accepted);
      }
      std::thread([this, accepted] {
        Connection connection(accepted);
        this->handler(connection);
        const std::lock_guard lock(this->mutex);
        this->open.erase(accepted);
      }).detach();
    }
    close(socket);
  }

  int port;
  Handler handler;
  std::atomic<int> listener = -1;
  std::mutex mutex;
  std::set<int> open;
};

// Returns an answer with a length.
inline auto FormatAnswer(const std::string& status, const Fields& fields, const std::string& body)
    -> std::string {
  std::string out = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : fields) out.append(name).append(": ").append(value) += "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace filbertstair::lab

#endif  // FILBERTSTAIR_REVIEW_STANDINS_3_HTTP_H_
