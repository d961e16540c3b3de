#ifndef FILBERTSTAIR_CLI_TEST_RESPONDER_H_
#define FILBERTSTAIR_CLI_TEST_RESPONDER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace filbertstair::cli {

// Fake admin listener whose responses the test supplies. Serves one request per connection.
class Responder {
 public:
  struct Response {
    int status = 200;
    std::string body;
  };
  // Called with "METHOD TARGET" on the responder's thread.
  using Handler = std::function<Response(const std::string&)>;

  explicit Responder(Handler handler)
      : handler(std::move(handler)), thread([this] { this->Serve(); }) {}
  Responder(const Responder&) = delete;
  auto operator=(const Responder&) -> Responder& = delete;
  ~Responder() {
    this->stopped = true;
    boost::asio::ip::tcp::socket wake(this->io);
    boost::system::error_code ignored;
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  auto Address() const -> std::string {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  auto Serve() -> void {
    namespace http = boost::beast::http;
    while (true) {
      auto socket = this->acceptor.accept();
      if (this->stopped) return;
      boost::beast::flat_buffer buffer;
      http::request<http::string_body> request;
      boost::system::error_code error;
      http::read(socket, buffer, request, error);
      if (error) continue;
      const auto [status, body] =
          this->handler(std::string(request.method_string()) + " " + std::string(request.target()));
      http::response<http::string_body> response(static_cast<http::status>(status), 11, body);
      response.keep_alive(false);
      response.prepare_payload();
      http::write(socket, response, error);
    }
  }

  Handler handler;
  std::atomic<bool> stopped = false;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor{this->io, {boost::asio::ip::address_v4::loopback(), 0}};
  std::thread thread;
};

// Returns a loopback address on which nothing listens.
inline auto UnusedAddress() -> std::string {
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_TEST_RESPONDER_H_
