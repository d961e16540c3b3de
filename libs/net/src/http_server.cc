#include "filbertstair/net/http_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <map>
#include <optional>
#include <utility>

#include "acceptor.h"
#include "beast_request.h"
#include "filbertstair/core/error.h"
#include "screen.h"
#include "server_exchange.h"
#include "unread.h"

namespace filbertstair::net {
namespace detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

auto ToHttpRequest(http::request<http::string_body> message, const std::string& peer)
    -> HttpRequest {
  auto request = ToHead(message.base(), peer);
  request.body = std::move(message.body());
  return request;
}

auto ClassifyReadError(const boost::system::error_code& error) -> RequestFault {
  if (error == http::error::body_limit) return RequestFault::body_too_large;
  if (error == http::error::header_limit) return RequestFault::header_too_large;
  // A chunk size line or trailer without end. The header's limit is below that of the buffer.
  if (error == http::error::buffer_overflow) return RequestFault::malformed;
  if (error.category() == http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream && error != http::error::partial_message) {
    return RequestFault::malformed;
  }
  return RequestFault::none;
}

}  // namespace
}  // namespace detail

struct HttpListener::State {
  // A request that is being received, and since when.
  struct Receiving {
    detail::beast::tcp_stream* stream = nullptr;
    std::chrono::steady_clock::time_point since;
  };

  HttpLimits limits;
  HttpHandlers handlers;
  std::shared_ptr<detail::Tcp::acceptor> acceptor;
  // Connections on which no request is being handled, with what makes a planned stop wait until
  // their fibers have seen what has arrived; null before the stop.
  std::map<detail::beast::tcp_stream*, std::shared_ptr<void>> idle;
  // In the order in which they began.
  std::list<Receiving> receiving;
  std::size_t connections = 0;
  bool draining = false;
};

namespace detail {
namespace {

// Maximum number of bytes beyond the header's limit that are kept until the parser can use them.
// Beast limits neither the line that states the size of a chunk nor the trailer. Larger than what
// screening may have read from the connection.
constexpr std::size_t kReadAheadBytes = std::size_t{64} << 10;

// Maximum wait for the first request of a connection that was accepted as the listener closed. A
// caller sends it within a round trip.
constexpr std::chrono::milliseconds kFirstRequestTime{200};

// Limits on the rest of a refused request. A caller that reads while it sends stops within a round
// trip; one that only reads afterwards sends all of its body first.
constexpr std::chrono::milliseconds kMaxDiscardTime{500};
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;
constexpr std::size_t kDiscardReadBytes = std::size_t{16} << 10;

// Memory that a connection takes from the byte budget: one with a request in progress takes about
// 47 KB, including its fiber, the connection to the replica and the received data.
constexpr std::size_t kConnectionBytes = std::size_t{64} << 10;
// Time after which a request that is being received may be closed to make room for another
// connection. An ordinary client sends its request within a few round trips.
constexpr std::chrono::milliseconds kMinReceiveTime{1000};
// Bytes of one read of a body.
constexpr std::size_t kBodyReadBytes = std::size_t{16} << 10;
// Bytes that a body takes from the budget at once.
constexpr std::size_t kBodyStepBytes = std::size_t{16} << 10;
// Memory of a body in chunks, whose size is not known in advance, as a multiple of its size: the
// string that holds it doubles.
constexpr std::size_t kGrowingBodyFactor = 2;

auto HasUnreadBytes(beast::tcp_stream& stream) -> bool {
  boost::system::error_code error;
  return stream.socket().available(error) > 0;
}

auto CurrentLimits(const HttpListener::State& listener) -> HttpLimits {
  return listener.handlers.limits ? listener.handlers.limits() : listener.limits;
}

// Waits for bytes on an idle connection unless some are already buffered.
auto WaitForBytes(HttpListener::State& listener, beast::tcp_stream& stream,
                  beast::flat_buffer& buffer) -> boost::system::error_code {
  constexpr std::size_t first_read = 4096;
  boost::system::error_code error;
  // A wait that was cancelled to close the connection goes on if a request has arrived meanwhile:
  // closing would reset it.
  while (buffer.size() == 0 && (!error || HasUnreadBytes(stream))) {
    const auto idle_time = CurrentLimits(listener).max_idle_time;
    listener.idle[&stream] = nullptr;
    stream.expires_after(listener.draining ? std::min(idle_time, kFirstRequestTime) : idle_time);
    const auto result = runtime::Await([&](auto handler) {
      stream.async_read_some(buffer.prepare(first_read), std::move(handler));
    });
    listener.idle.erase(&stream);
    buffer.commit(result.size);
    error = result.error;
    if (error && error != boost::asio::error::operation_aborted) return error;
  }
  return buffer.size() > 0 ? boost::system::error_code() : error;
}

// Reads more bytes of a request that has begun.
auto ReadMore(beast::tcp_stream& stream, beast::flat_buffer& buffer) -> boost::system::error_code {
  constexpr std::size_t read_size = 4096;
  const auto result = runtime::Await(
      [&](auto handler) { stream.async_read_some(buffer.prepare(read_size), std::move(handler)); });
  buffer.commit(result.size);
  return result.error;
}

auto Bytes(const beast::flat_buffer& buffer) -> std::string_view {
  return {static_cast<const char*>(buffer.cdata().data()), buffer.size()};
}

// Waits for the first bytes of the next request. Skips one empty line before it, which some callers
// send after a body: it does not begin a request.
auto WaitForRequest(HttpListener::State& listener, beast::tcp_stream& stream,
                    beast::flat_buffer& buffer) -> boost::system::error_code {
  constexpr std::string_view line_end = "\r\n";
  if (const auto error = WaitForBytes(listener, stream, buffer)) return error;
  if (Bytes(buffer) == "\r") {
    stream.expires_after(CurrentLimits(listener).max_idle_time);
    if (const auto error = ReadMore(stream, buffer)) return error;
  }
  if (!Bytes(buffer).starts_with(line_end)) return {};
  buffer.consume(line_end.size());
  return WaitForBytes(listener, stream, buffer);
}

// Reads the head of a request. Unlike http::async_read_header, refuses folded fields, which the
// parser joins without a trace.
auto ReadHead(beast::tcp_stream& stream, beast::flat_buffer& buffer,
              http::request_parser<http::string_body>& parser, std::size_t max_fields,
              bool& too_many_fields) -> boost::system::error_code {
  while (true) {
    boost::system::error_code error;
    if (buffer.size() > 0) {
      // The parser uses no byte of an incomplete head, so that all of its lines are in the buffer.
      too_many_fields = CountFields(Bytes(buffer)) > max_fields;
      if (too_many_fields) return http::error::header_limit;
      const bool folded = HasFoldedField(Bytes(buffer));
      buffer.consume(parser.put(buffer.cdata(), error));
      if (parser.is_header_done()) return folded ? http::error::bad_obs_fold : error;
      if (error && error != http::error::need_more) return error;
    }
    if ((error = ReadMore(stream, buffer))) return error;
  }
}

// Result of reading a request.
struct RequestRead {
  boost::system::error_code error;
  // Set if the request is refused for another reason than `error` tells.
  RequestFault fault = RequestFault::none;
  std::optional<HttpResponse> refusal{};
  bool admitted = false;
};

// When the first bytes of a request arrived.
struct RequestArrival {
  core::Time began_at{};
  core::Duration unread_wait{};
};

auto ObserveLimit(const HttpListener::State& listener, LimitReason reason) -> void {
  if (listener.handlers.on_limit) listener.handlers.on_limit(reason);
}

// Returns a function that closes the connection on its own worker, and may be called from any
// thread. Does nothing once `alive` is destroyed.
auto MakeRemoteClose(const std::shared_ptr<beast::tcp_stream*>& alive) -> std::function<void()> {
  return [executor = (*alive)->get_executor(), weak = std::weak_ptr<beast::tcp_stream*>(alive)] {
    boost::asio::post(executor, [weak] {
      if (const auto stream = weak.lock()) (*stream)->cancel();
    });
  };
}

// Takes what the body needs from the budget. Returns whether there is room.
auto ChargeBody(HeldBytes& held, std::size_t& charged, std::size_t needed) -> bool {
  if (needed <= charged) return true;
  const auto steps = (needed - charged + kBodyStepBytes - 1) / kBodyStepBytes;
  if (!held.TryGrow(steps * kBodyStepBytes)) return false;
  charged += steps * kBodyStepBytes;
  return true;
}

// Parses the bytes in the buffer.
auto ParseBody(beast::flat_buffer& buffer, http::request_parser<http::string_body>& parser)
    -> boost::system::error_code {
  while (!parser.is_done() && buffer.size() > 0) {
    boost::system::error_code error;
    const auto used = parser.put(buffer.cdata(), error);
    buffer.consume(used);
    if (error == http::error::need_more) return {};
    if (error) return error;
    if (used == 0) break;
  }
  return {};
}

// Reads the rest of a body within the limits on its rate and its memory.
auto ReadBody(HttpListener::State& listener, beast::tcp_stream& stream, beast::flat_buffer& buffer,
              http::request_parser<http::string_body>& parser, const HttpLimits& limits,
              HeldBytes& held) -> RequestRead {
  using Clock = std::chrono::steady_clock;
  const auto alive = std::make_shared<beast::tcp_stream*>(&stream);
  held.AllowEviction(MakeRemoteClose(alive));
  const auto factor = parser.chunked() ? kGrowingBodyFactor : 1;
  const auto min_window_bytes =
      limits.min_body_rate *
      static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(limits.rate_window).count());
  const auto end = Clock::now() + limits.max_body_read_time;
  auto window_end = std::min(end, Clock::now() + limits.rate_window);
  std::size_t window_bytes = 0;
  std::size_t charged = 0;
  parser.eager(true);
  while (true) {
    if (const auto error = ParseBody(buffer, parser)) return {.error = error};
    if (!ChargeBody(held, charged, factor * parser.get().body().size())) {
      return {.error = http::error::body_limit, .fault = RequestFault::no_memory};
    }
    if (parser.is_done()) break;
    if (buffer.size() + kBodyReadBytes > buffer.max_size()) {
      return {.error = http::error::buffer_overflow};
    }
    stream.expires_at(window_end);
    const auto result = runtime::Await([&](auto handler) {
      stream.async_read_some(buffer.prepare(kBodyReadBytes), std::move(handler));
    });
    buffer.commit(result.size);
    if (result.error) {
      if (result.error == beast::error::timeout) ObserveLimit(listener, LimitReason::slow_send);
      if (result.error != boost::asio::error::operation_aborted) return {.error = result.error};
      return {.error = result.error, .fault = RequestFault::no_memory};
    }
    window_bytes += result.size;
    if (window_bytes < min_window_bytes) continue;
    window_bytes = 0;
    window_end = std::min(end, Clock::now() + limits.rate_window);
  }
  // The connection was chosen for closing as the last bytes arrived.
  if (!held.EndEviction()) {
    return {.error = http::error::body_limit, .fault = RequestFault::no_memory};
  }
  return {};
}

// Returns whether the bytes in the buffer are the whole body.
auto HasWholeBody(const beast::flat_buffer& buffer,
                  const http::request_parser<http::string_body>& parser) -> bool {
  const auto length = parser.content_length_remaining();
  return parser.is_done() || (length && *length <= buffer.size());
}

// Lists the request as one that is being received, during its lifetime.
struct ReceivingGuard {
  ReceivingGuard(HttpListener::State& listener, beast::tcp_stream& stream)
      : listener(listener),
        item(listener.receiving.insert(listener.receiving.end(),
                                       {&stream, std::chrono::steady_clock::now()})) {}
  ~ReceivingGuard() { this->listener.receiving.erase(this->item); }
  ReceivingGuard(const ReceivingGuard&) = delete;
  auto operator=(const ReceivingGuard&) -> ReceivingGuard& = delete;

  HttpListener::State& listener;
  std::list<HttpListener::State::Receiving>::iterator item;
};

auto ReadRequest(HttpListener::State& listener, beast::tcp_stream& stream,
                 beast::flat_buffer& buffer, http::request_parser<http::string_body>& parser,
                 const std::string& peer, const RequestArrival& arrival,
                 std::optional<HeldBytes>& held) -> RequestRead {
  const ReceivingGuard receiving(listener, stream);
  // The limits may change while the connection is idle.
  const auto limits = CurrentLimits(listener);
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  buffer.max_size(std::max(limits.max_header_bytes + kReadAheadBytes, buffer.size()));
  stream.expires_after(limits.max_header_time);
  bool too_many_fields = false;
  if (const auto error =
          ReadHead(stream, buffer, parser, limits.max_header_fields, too_many_fields)) {
    if (too_many_fields) ObserveLimit(listener, LimitReason::many_fields);
    return {.error = error,
            .fault = too_many_fields ? RequestFault::too_many_fields : RequestFault::none};
  }
  // Any error of the parser's category makes the request malformed.
  if (!IsValidHead(parser.get())) return {.error = http::error::bad_field};
  if (!IsServed(parser.get().method())) return {.error = http::error::bad_method};
  bool admitted = false;
  if (listener.handlers.check_head && !HasWholeBody(buffer, parser)) {
    auto head = ToHead(parser.get().base(), peer);
    head.began_at = arrival.began_at;
    head.unread_wait = arrival.unread_wait;
    auto checked = listener.handlers.check_head(head);
    if (checked.refusal) {
      return {.error = http::error::body_limit, .refusal = std::move(checked.refusal)};
    }
    admitted = checked.admitted;
  }
  if (parser.get()[http::field::expect] == "100-continue") {
    const std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    runtime::Await([&](auto handler) {
      boost::asio::async_write(stream, boost::asio::buffer(interim), std::move(handler));
    });
  }
  RequestRead read;
  if (!parser.is_done()) {
    held.emplace(listener.handlers.budget, ByteUse::bodies);
    read = ReadBody(listener, stream, buffer, parser, limits, *held);
    if (read.fault == RequestFault::no_memory) {
      ObserveLimit(listener, held->EndEviction() ? LimitReason::no_memory : LimitReason::evicted);
    }
  }
  read.admitted = admitted;
  stream.expires_never();
  return read;
}

// Reads and drops what the caller still sends after a refusal, within limits. Closing a connection
// with unread bytes resets it, and the caller may then lose the refusal.
auto DiscardUnread(beast::tcp_stream& stream, beast::flat_buffer& buffer) -> void {
  boost::system::error_code ignored;
  stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  stream.expires_after(kMaxDiscardTime);
  std::size_t discarded = buffer.size();
  while (discarded < kMaxDiscardedBytes) {
    buffer.clear();
    const auto result = runtime::Await([&](auto handler) {
      stream.async_read_some(buffer.prepare(kDiscardReadBytes), std::move(handler));
    });
    if (result.error) return;
    discarded += result.size;
  }
}

// Sends the refusal of a request that was not read to its end, if there is one.
auto RefuseUnread(HttpListener::State& listener, ServerExchange& exchange,
                  beast::flat_buffer& buffer, http::request_parser<http::string_body>& parser,
                  const RequestRead& read) -> void {
  const auto fault = read.fault == RequestFault::none ? ClassifyReadError(read.error) : read.fault;
  if (!read.refusal && fault == RequestFault::none) return;
  // What was read of the body is not needed any more, and discarding takes a while.
  std::string().swap(parser.get().body());
  Responder responder(exchange);
  try {
    if (read.refusal) {
      responder.Respond(read.refusal->status, read.refusal->headers, read.refusal->body);
    } else {
      listener.handlers.fault(fault, responder);
    }
    DiscardUnread(exchange.stream, buffer);
  } catch (const core::Error&) {
    // The caller has disconnected.
  }
}

auto StopWatching(ServerExchange& exchange) -> void {
  while (exchange.watching_disconnect) {
    boost::system::error_code ignored;
    exchange.stream.socket().cancel(ignored);
    runtime::SleepFor(std::chrono::microseconds(1));
  }
}

auto HandleRequest(HttpListener::State& listener, ServerExchange& exchange,
                   const HttpRequest& request) -> void {
  Responder responder(exchange);
  try {
    listener.handlers.request(request, responder);
  } catch (const core::Error& error) {
    // The caller has disconnected, or the handler failed after the response had begun.
    exchange.aborted = true;
  } catch (...) {
    // The watching fiber refers to the exchange, which the exception destroys.
    StopWatching(exchange);
    throw;
  }
  if (!exchange.ended) exchange.aborted = true;
  StopWatching(exchange);
}

// Drops bytes that have arrived, within limits: closing a connection with unread bytes resets it,
// and the caller may then lose the response.
auto DiscardAvailable(int socket) -> void {
  for (std::size_t discarded = 0; discarded < kMaxDiscardedBytes;) {
    const auto bytes = ReceiveAvailable(socket);
    if (bytes.empty()) return;
    discarded += bytes.size();
  }
}

// Returns whether the byte budget has room for a connection.
auto HasConnectionRoom(const HttpListener::State& listener) -> bool {
  const auto& budget = listener.handlers.budget;
  return budget == nullptr || budget->HasRoomForConnection(kConnectionBytes);
}

// Closes an idle connection, or else the one that has been receiving a request for longest. Nothing
// of that request has run.
auto MakeRoom(HttpListener::State& listener) -> void {
  if (!listener.idle.empty()) {
    listener.idle.begin()->first->cancel();
    return;
  }
  if (listener.receiving.empty()) return;
  auto& oldest = listener.receiving.front();
  if (std::chrono::steady_clock::now() - oldest.since < kMinReceiveTime) return;
  ObserveLimit(listener, LimitReason::many_connections);
  oldest.stream->cancel();
}

// Sends the response to a refused request that has arrived completely; on a listener that has
// reached max_connections, to any bytes. Returns whether the connection is finished, which is
// always the case on such a listener.
auto ScreenConnection(HttpListener::State& listener, int socket, InitialData& initial_data)
    -> bool {
  const auto limits = CurrentLimits(listener);
#ifdef FILBERTSTAIR_BROKEN_connection_limit
  const bool full = false;
#else
  const bool full = listener.connections >= limits.max_connections || !HasConnectionRoom(listener);
#endif
  if (!full && !listener.handlers.should_screen()) return false;
  // Closes an idle connection to make room. Otherwise connections without a request would lock out
  // later callers for as long as max_idle_time.
  if (full) MakeRoom(listener);
  initial_data.bytes = ReceiveAvailable(socket);
  const auto request = ParseCompleteRequest(initial_data.bytes, limits);
  if (!request && (!full || initial_data.bytes.empty())) return full;
  const auto result = listener.handlers.screen(request.value_or(HttpRequest()), full);
  initial_data.admitted = result.admitted;
  if (!result.refusal) return full;
  if (!request) DiscardAvailable(socket);
  SendNonBlocking(socket, *result.refusal);
  return true;
}

// Counts an open connection for its lifetime.
struct ConnectionGuard {
  explicit ConnectionGuard(std::size_t& count) : count(count) { ++this->count; }
  ~ConnectionGuard() { --this->count; }
  ConnectionGuard(const ConnectionGuard&) = delete;
  auto operator=(const ConnectionGuard&) -> ConnectionGuard& = delete;

  std::size_t& count;
};

// Returns what the process counts until the request is finished, if it counts requests.
auto BeginWork(const HttpListener::State& listener) -> std::shared_ptr<void> {
  return listener.handlers.begin_work ? listener.handlers.begin_work() : nullptr;
}

auto ServeConnection(const std::shared_ptr<HttpListener::State>& listener, Tcp::socket socket,
                     InitialData initial_data) -> void {
  // A planned stop waits for the first request of a connection that it has accepted.
  if (!listener->draining) initial_data.work.reset();
  boost::system::error_code ignored;
  const auto remote = socket.remote_endpoint(ignored);
  const std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  buffer.commit(boost::asio::buffer_copy(buffer.prepare(initial_data.bytes.size()),
                                         boost::asio::buffer(initial_data.bytes)));
  initial_data.bytes = {};
  bool keep_open = true;
  for (bool first = true; keep_open; first = false) {
    if (listener->draining && !first && buffer.size() == 0 && !HasUnreadBytes(stream)) break;
    if (WaitForRequest(*listener, stream, buffer)) break;
    const auto work = BeginWork(*listener);
    const auto unread_wait = TimeSinceArrival(stream.socket().native_handle());
    const auto began_at =
        std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now()) -
        unread_wait;
    initial_data.work.reset();
    http::request_parser<http::string_body> parser;
    std::optional<HeldBytes> held;
    const auto read =
        ReadRequest(*listener, stream, buffer, parser, peer, {began_at, unread_wait}, held);
    const auto limits = CurrentLimits(*listener);
    ServerExchange exchange(stream, peer, false);
    exchange.write_grace = limits.write_grace;
    exchange.min_read_rate = limits.min_read_rate;
    exchange.on_limit = listener->handlers.on_limit;
    if (read.error) {
      RefuseUnread(*listener, exchange, buffer, parser, read);
      break;
    }
    exchange.is_head_request = parser.get().method() == http::verb::head;
    exchange.supports_chunked = parser.get().version() >= 11;
    exchange.keep_alive = parser.get().keep_alive() && !listener->handlers.should_close();
    auto request = ToHttpRequest(parser.release(), peer);
    request.admitted = std::exchange(initial_data.admitted, false) || read.admitted;
    request.began_at = began_at;
    request.unread_wait = unread_wait;
    HandleRequest(*listener, exchange, request);
    keep_open = exchange.keep_alive && !exchange.aborted;
    // The reads of a body have enlarged the buffer, which the connection would keep while idle.
    if (buffer.size() == 0 && buffer.capacity() > kBodyReadBytes) buffer.shrink_to_fit();
    // An orderly close would make a truncated response look complete.
    if (exchange.close_delimited && !exchange.ended) {
      stream.close();
      return;
    }
  }
  stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  stream.close();
}

auto MakeAcceptHandlers(const std::shared_ptr<HttpListener::State>& state) -> AcceptHandlers {
  AcceptHandlers accept;
  // Counted before the fiber runs: a batch of connections is accepted before any of them runs, and
  // screening has to know of those before it.
  accept.accepted = [state](InitialData& initial_data) {
    initial_data.counted = std::make_shared<ConnectionGuard>(state->connections);
    initial_data.held = std::make_shared<HeldBytes>(state->handlers.budget, ByteUse::connections);
    // A connection that was accepted is served also if another worker has taken the room meanwhile.
    static_cast<void>(initial_data.held->TryGrow(kConnectionBytes));
    initial_data.work = BeginWork(*state);
  };
  accept.serve = [state](Tcp::socket socket, InitialData initial_data) {
    ServeConnection(state, std::move(socket), std::move(initial_data));
  };
  if (state->handlers.screen) {
    accept.screen = [state](int socket, InitialData& initial_data) {
      return ScreenConnection(*state, socket, initial_data);
    };
  }
  return accept;
}

}  // namespace
}  // namespace detail

auto HttpListener::IsFull() const -> bool {
  return this->state->connections >= detail::CurrentLimits(*this->state).max_connections ||
         !detail::HasConnectionRoom(*this->state);
}

auto HttpListener::Drain() -> DrainCounts {
  this->state->draining = true;
  DrainCounts counts;
  boost::system::error_code ignored;
  const auto protocol = this->state->acceptor->local_endpoint(ignored).protocol();
  // Closing the acceptor resets the connections in its backlog, on which requests may have arrived.
#ifndef FILBERTSTAIR_BROKEN_accept_backlog
  constexpr auto all = std::numeric_limits<std::size_t>::max();
  counts.accepted = detail::AcceptPending(*this->state->acceptor, protocol,
                                          detail::MakeAcceptHandlers(this->state), all)
                        .accepted;
#endif
  this->state->acceptor->close(ignored);
  for (auto& [stream, work] : this->state->idle) {
    // The process may be paused before the fiber of the connection runs, and exit right after.
    work = detail::BeginWork(*this->state);
    if (detail::HasUnreadBytes(*stream)) {
      ++counts.unread;
    } else {
      ++counts.idle;
      stream->cancel();
    }
  }
  return counts;
}

auto ListenHttp(const std::string& address, HttpLimits limits, HttpHandlers handlers)
    -> HttpListener {
  auto state = std::make_shared<HttpListener::State>();
  state->limits = limits;
  state->handlers = std::move(handlers);
  state->acceptor = detail::OpenAcceptor(address);
  detail::AcceptLoop(state->acceptor, detail::MakeAcceptHandlers(state));
  return HttpListener(state);
}

}  // namespace filbertstair::net
