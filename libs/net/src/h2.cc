#include "filbertstair/net/h2.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "acceptor.h"
#include "filbertstair/core/error.h"
#include "filbertstair/runtime/signal.h"

namespace filbertstair::net {
namespace detail {

using Clock = std::chrono::steady_clock;

// Queued bytes on one stream from which Send suspends the caller's fiber.
constexpr std::size_t kSendBufferBytes = std::size_t{256} * 1024;
// Flow-control windows: unread bytes that a peer may have in flight on one stream and on one
// connection. The window of the connection is larger, so that one slow reader does not block the
// other streams.
constexpr std::int32_t kStreamWindowBytes = 1 << 20;
constexpr std::int32_t kConnectionWindowBytes = 64 << 20;
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// The same for a client whose memory counts. Messages between entries take up to a few kilobytes.
constexpr std::size_t kSmallReadBufferBytes = std::size_t{16} * 1024;
// Memory that an accepted connection takes from the byte budget, with its two fibers, its buffer
// and the state of the protocol.
constexpr std::size_t kSessionBytes = std::size_t{64} * 1024;
// Unread bytes of a stream that count as a part of the connection; those beyond are taken from the
// byte budget.
constexpr std::size_t kUnchargedBytes = std::size_t{16} * 1024;
// Interval at which connections without a stream are looked for.
constexpr std::chrono::milliseconds kStreamlessInterval{1000};
constexpr std::size_t kWriteBatchBytes = std::size_t{64} * 1024;
constexpr std::size_t kLengthPrefixBytes = 4;

struct StreamState {
  std::int32_t id = 0;
  std::string path;
  std::string peer;
  // Sending side.
  std::string outgoing;
  std::size_t outgoing_offset = 0;
  bool finish_requested = false;
  bool end_sent = false;
  runtime::Signal writable;
  // Receiving side.
  std::string incoming;
  std::size_t incoming_offset = 0;
  // Received bytes that have not yet been returned to the peer's flow-control window.
  std::size_t unconsumed = 0;
  bool peer_finished = false;
  runtime::Signal readable;
  // Memory of `incoming` beyond kUnchargedBytes.
  std::optional<HeldBytes> held;
  std::size_t charged = 0;
  // Whether the session no longer has the stream.
  bool closed = false;
  std::deque<std::shared_ptr<runtime::Signal>> close_waiters;
  std::string close_reason;
};

struct Session : std::enable_shared_from_this<Session> {
  Session(Tcp::socket socket, std::string peer)
      : socket(std::move(socket)), peer(std::move(peer)) {}
  ~Session() { nghttp2_session_del(this->handle); }
  Session(const Session&) = delete;
  auto operator=(const Session&) -> Session& = delete;

  Tcp::socket socket;
  std::string peer;
  nghttp2_session* handle = nullptr;
  bool open = true;
  StreamHandler handler;
  // Those of the listener; the defaults on the client's side.
  StreamLimits limits;
  // Memory of the connection; null on the client's side.
  std::shared_ptr<HeldBytes> held;
  // Whether a message has been received on one of the streams.
  bool received_message = false;
  Clock::time_point streamless_since = Clock::now();
  std::unordered_map<std::int32_t, std::shared_ptr<StreamState>> streams;
  runtime::Signal output_ready;
};

namespace {

auto CloseStream(StreamState& state, const std::string& reason) -> void {
  if (state.closed) return;
  state.closed = true;
  state.close_reason = reason;
  state.readable.Notify();
  state.writable.Notify();
  for (auto& waiter : state.close_waiters) waiter->Notify();
}

auto CloseSession(Session& session, const std::string& reason) -> void {
  if (!session.open) return;
  session.open = false;
  boost::system::error_code ignored;
  session.socket.shutdown(Tcp::socket::shutdown_both, ignored);
  session.socket.close(ignored);
  for (auto& [id, state] : session.streams) CloseStream(*state, reason);
  session.streams.clear();
  session.output_ready.Notify();
}

auto OnDataSource(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length,
                  std::uint32_t* flags, nghttp2_data_source* source, void*) -> ssize_t {
  auto& state = *static_cast<StreamState*>(source->ptr);
  const std::size_t count = std::min(length, state.outgoing.size() - state.outgoing_offset);
  std::copy_n(state.outgoing.data() + state.outgoing_offset, count, buffer);
  state.outgoing_offset += count;
  if (state.outgoing_offset == state.outgoing.size()) {
    state.outgoing.clear();
    state.outgoing_offset = 0;
    if (state.finish_requested) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      state.end_sent = true;
    } else if (count == 0) {
      return NGHTTP2_ERR_DEFERRED;
    }
  }
  if (state.outgoing.size() - state.outgoing_offset < kSendBufferBytes) state.writable.Notify();
  return static_cast<ssize_t>(count);
}

auto OnBeginHeaders(nghttp2_session* handle, const nghttp2_frame* frame, void* user) -> int {
  auto& session = *static_cast<Session*>(user);
  if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
  auto state = std::make_shared<StreamState>();
  state->id = frame->hd.stream_id;
  state->peer = session.peer;
  session.streams[state->id] = state;
  nghttp2_session_set_stream_user_data(handle, state->id, state.get());
  return 0;
}

auto OnHeader(nghttp2_session* handle, const nghttp2_frame* frame, const std::uint8_t* name,
              std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
              std::uint8_t, void*) -> int {
  auto* state =
      static_cast<StreamState*>(nghttp2_session_get_stream_user_data(handle, frame->hd.stream_id));
  const std::string_view key(reinterpret_cast<const char*>(name), name_size);
  if (state != nullptr && key == ":path") {
    state->path.assign(reinterpret_cast<const char*>(value), value_size);
  }
  return 0;
}

auto SubmitResponse(nghttp2_session* handle, StreamState& state) -> void {
  static const std::array<std::uint8_t, 8> name = {':', 's', 't', 'a', 't', 'u', 's', 0};
  static const std::array<std::uint8_t, 4> value = {'2', '0', '0', 0};
  const nghttp2_nv header{const_cast<std::uint8_t*>(name.data()),
                          const_cast<std::uint8_t*>(value.data()), 7, 3, NGHTTP2_NV_FLAG_NONE};
  nghttp2_data_provider provider{};
  provider.source.ptr = &state;
  provider.read_callback = OnDataSource;
  nghttp2_submit_response(handle, state.id, &header, 1, &provider);
}

auto OnFrame(nghttp2_session* handle, const nghttp2_frame* frame, void* user) -> int {
  auto& session = *static_cast<Session*>(user);
  const auto found = session.streams.find(frame->hd.stream_id);
  if (found == session.streams.end()) return 0;
  const auto state = found->second;
  if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    SubmitResponse(handle, *state);
    auto stream = std::make_shared<Stream>(session.shared_from_this(), state);
    runtime::Spawn([handler = session.handler, stream] { handler(stream); });
  }
  const bool may_end_stream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
  if (may_end_stream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    state->peer_finished = true;
    state->readable.Notify();
  }
  return 0;
}

// Takes the memory of the stream's unread bytes from the budget. Returns whether there is room.
auto ChargeStream(Session& session, StreamState& state) -> bool {
  const auto needed = state.incoming.capacity();
  if (session.limits.budget == nullptr || needed <= kUnchargedBytes || needed <= state.charged) {
    return true;
  }
  if (!state.held) {
    state.held.emplace(session.limits.budget, ByteUse::messages);
    state.held->AllowEviction(
        [executor = session.socket.get_executor(), weak = session.weak_from_this()] {
          boost::asio::post(executor, [weak] {
            const auto evicted = weak.lock();
            if (!evicted) return;
            if (evicted->limits.on_limit) evicted->limits.on_limit(LimitReason::evicted);
            CloseSession(*evicted, "closed to make room");
          });
        });
  }
  if (!state.held->TryGrow(needed - state.charged)) {
    if (session.limits.on_limit) session.limits.on_limit(LimitReason::no_memory);
    return false;
  }
  state.charged = needed;
  return true;
}

auto OnData(nghttp2_session* handle, std::uint8_t, std::int32_t id, const std::uint8_t* data,
            std::size_t size, void* user) -> int {
  auto& session = *static_cast<Session*>(user);
  nghttp2_session_consume_connection(handle, size);
  const auto found = session.streams.find(id);
  if (found == session.streams.end()) return 0;
  found->second->incoming.append(reinterpret_cast<const char*>(data), size);
  found->second->unconsumed += size;
  found->second->readable.Notify();
  return ChargeStream(session, *found->second) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

auto OnStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) -> int {
  auto& session = *static_cast<Session*>(user);
  const auto found = session.streams.find(id);
  if (found == session.streams.end()) return 0;
  const auto state = found->second;
  session.streams.erase(found);
  if (session.streams.empty()) {
    session.received_message = false;
    session.streamless_since = Clock::now();
  }
  const bool clean = code == NGHTTP2_NO_ERROR && state->peer_finished;
  CloseStream(*state, clean ? "stream ended" : "stream reset by peer");
  return 0;
}

auto MakeCallbacks() -> nghttp2_session_callbacks* {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClose);
  return callbacks;
}

auto InitSession(Session& session, bool server) -> void {
  static nghttp2_session_callbacks* const callbacks = MakeCallbacks();
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, session.limits.max_streams);
  if (server) {
    nghttp2_session_server_new2(&session.handle, callbacks, &session, option);
  } else {
    nghttp2_session_client_new2(&session.handle, callbacks, &session, option);
  }
  nghttp2_option_del(option);
  const std::array<nghttp2_settings_entry, 2> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, session.limits.max_streams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}}};
  nghttp2_submit_settings(session.handle, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session.handle, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

// Collects about kWriteBatchBytes of pending output of the session.
auto CollectOutput(Session& session, std::string& batch) -> void {
  batch.clear();
  while (batch.size() < kWriteBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session.handle, &data);
    if (size <= 0) break;
    batch.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
}

auto WriteLoop(const std::shared_ptr<Session>& session) -> void {
  std::string batch;
  while (session->open) {
    CollectOutput(*session, batch);
    if (batch.empty()) {
      session->output_ready.Wait();
      continue;
    }
    const auto result = runtime::Await([&](auto handler) {
      boost::asio::async_write(session->socket, boost::asio::buffer(batch), std::move(handler));
    });
    if (result.error) CloseSession(*session, result.error.message());
  }
}

auto ReadLoop(const std::shared_ptr<Session>& session) -> void {
  std::vector<std::uint8_t> buffer(session->limits.budget ? kSmallReadBufferBytes
                                                          : kReadBufferBytes);
  while (session->open) {
    const auto result = runtime::Await([&](auto handler) {
      session->socket.async_read_some(boost::asio::buffer(buffer), std::move(handler));
    });
    if (result.error) {
      CloseSession(*session, result.error.message());
      return;
    }
    if (!session->open) return;
    const ssize_t consumed = nghttp2_session_mem_recv(session->handle, buffer.data(), result.size);
    if (consumed < 0) {
      CloseSession(*session, nghttp2_strerror(static_cast<int>(consumed)));
      return;
    }
    session->output_ready.Notify();
  }
}

auto StartLoops(const std::shared_ptr<Session>& session) -> void {
  runtime::Spawn([session] { WriteLoop(session); });
  runtime::Spawn([session] { ReadLoop(session); });
}

auto PeerName(const Tcp::socket& socket) -> std::string {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error) return "unknown";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Removes and returns the next message if it has arrived completely.
auto PopMessage(Session& session, StreamState& state) -> std::optional<std::string> {
  const std::size_t available = state.incoming.size() - state.incoming_offset;
  if (available < kLengthPrefixBytes) return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    size = (size << 8) | static_cast<unsigned char>(state.incoming[state.incoming_offset + i]);
  }
  if (size > session.limits.max_message_bytes) {
    throw core::Error(core::Step::decode, state.peer,
                      "message of " + std::to_string(size) + " bytes is too large");
  }
  if (available < kLengthPrefixBytes + size) return std::nullopt;
  std::string message = state.incoming.substr(state.incoming_offset + kLengthPrefixBytes, size);
  state.incoming_offset += kLengthPrefixBytes + size;
  session.received_message = true;
  if (state.incoming_offset == state.incoming.size()) {
    state.incoming.clear();
    state.incoming_offset = 0;
    if (state.held) {
      std::string().swap(state.incoming);
      state.held.reset();
      state.charged = 0;
    }
  }
  return message;
}

// The accepted connections of one listener.
struct StreamListener {
  StreamLimits limits;
  // In the order in which they were accepted.
  std::list<std::weak_ptr<Session>> sessions;
};

auto RemoveClosed(StreamListener& listener) -> void {
  std::erase_if(listener.sessions, [](const auto& weak) {
    const auto session = weak.lock();
    return !session || !session->open;
  });
}

// Returns whether there is room for another connection, after closing one if need be.
auto MakeRoom(StreamListener& listener) -> bool {
  RemoveClosed(listener);
  const auto& limits = listener.limits;
  const bool has_room =
      limits.budget == nullptr || limits.budget->HasRoomForConnection(kSessionBytes);
  if (has_room && listener.sessions.size() < limits.max_connections) return true;
  if (limits.on_limit) limits.on_limit(LimitReason::many_connections);
  for (const auto& weak : listener.sessions) {
    const auto session = weak.lock();
    if (!session || session->received_message) continue;
    CloseSession(*session, "closed to make room");
    return true;
  }
  return false;
}

// Closes connections that have had no stream for too long.
auto CloseStreamless(StreamListener& listener) -> void {
  while (true) {
    runtime::SleepFor(kStreamlessInterval);
    RemoveClosed(listener);
    const auto now = Clock::now();
    // Closing wakes fibers, but suspends none and removes no element.
    for (const auto& weak : listener.sessions) {
      const auto session = weak.lock();
      if (!session || !session->streams.empty()) continue;
      if (now - session->streamless_since < listener.limits.max_streamless_time) continue;
      if (listener.limits.on_limit) listener.limits.on_limit(LimitReason::slow_send);
      CloseSession(*session, "no stream was opened");
    }
  }
}

// Returns all received bytes to the peer's flow-control window. Called only while a fiber receives,
// so that an idle reader blocks the sender. Counts incomplete messages too, since a message may be
// larger than the window.
auto ReopenWindow(Session& session, StreamState& state) -> void {
  if (state.closed || state.unconsumed == 0) return;
  nghttp2_session_consume_stream(session.handle, state.id, state.unconsumed);
  state.unconsumed = 0;
  session.output_ready.Notify();
}

}  // namespace
}  // namespace detail

Stream::Stream(std::shared_ptr<detail::Session> session, std::shared_ptr<detail::StreamState> state)
    : session(std::move(session)), state(std::move(state)) {}

Stream::~Stream() {
  if (!this->state->closed && !(this->state->finish_requested && this->state->peer_finished)) {
    this->Reset();
  }
}

auto Stream::Send(std::string_view message) -> void {
  auto& s = *this->state;
  while (!s.closed && s.outgoing.size() - s.outgoing_offset >= detail::kSendBufferBytes) {
    s.writable.Wait();
  }
  if (s.closed) throw core::Error(core::Step::write, s.peer, s.close_reason);
  const auto size = static_cast<std::uint32_t>(message.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    s.outgoing.push_back(static_cast<char>((size >> shift) & 0xFF));
  }
  s.outgoing.append(message);
  nghttp2_session_resume_data(this->session->handle, s.id);
  this->session->output_ready.Notify();
}

auto Stream::Finish() -> void {
  if (this->state->closed || this->state->finish_requested) return;
  this->state->finish_requested = true;
  nghttp2_session_resume_data(this->session->handle, this->state->id);
  this->session->output_ready.Notify();
}

auto Stream::Receive() -> std::optional<std::string> {
  return this->ReceiveUntil(detail::Clock::time_point::max());
}

auto Stream::ReceiveUntil(std::chrono::steady_clock::time_point deadline)
    -> std::optional<std::string> {
  auto& s = *this->state;
  bool expired = false;
  while (true) {
    detail::ReopenWindow(*this->session, s);
    if (auto message = detail::PopMessage(*this->session, s)) return message;
    if (s.peer_finished) {
      if (s.incoming.empty()) return std::nullopt;
      throw core::Error(core::Step::read, s.peer, "stream ended inside a message");
    }
    if (s.closed) throw core::Error(core::Step::read, s.peer, s.close_reason);
    // What arrived just before the deadline is still returned, but a part of a message does not
    // extend it: the wait would return at once, again and again.
    if (expired) throw core::Error(core::Step::read, s.peer, "timed out");
    if (deadline == detail::Clock::time_point::max()) {
      s.readable.Wait();
    } else {
      expired = !s.readable.WaitUntil(deadline);
    }
  }
}

auto Stream::Reset() -> void {
  if (this->state->closed) return;
  if (this->session->open) {
    nghttp2_submit_rst_stream(this->session->handle, NGHTTP2_FLAG_NONE, this->state->id,
                              NGHTTP2_CANCEL);
    this->session->output_ready.Notify();
  }
  detail::CloseStream(*this->state, "stream reset");
}

auto Stream::WaitClosed() -> void {
  if (this->state->closed) return;
  auto waiter = std::make_shared<runtime::Signal>();
  this->state->close_waiters.push_back(waiter);
  waiter->Wait();
}

auto Stream::Path() const -> const std::string& { return this->state->path; }

auto Stream::Peer() const -> const std::string& { return this->state->peer; }

Connection::Connection(std::shared_ptr<detail::Session> session) : session(std::move(session)) {}

Connection::~Connection() { this->Close(); }

auto Connection::StartStream(const std::string& path) -> std::shared_ptr<Stream> {
  auto& session = *this->session;
  if (!session.open) throw core::Error(core::Step::connect, session.peer, "connection is closed");
  auto state = std::make_shared<detail::StreamState>();
  state->path = path;
  state->peer = session.peer;
  const auto header = [](std::string_view name, std::string_view value) {
    return nghttp2_nv{reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                      reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
                      value.size(), NGHTTP2_NV_FLAG_NONE};
  };
  const std::array<nghttp2_nv, 4> headers = {header(":method", "POST"), header(":scheme", "http"),
                                             header(":authority", session.peer),
                                             header(":path", path)};
  nghttp2_data_provider provider{};
  provider.source.ptr = state.get();
  provider.read_callback = detail::OnDataSource;
  state->id = nghttp2_submit_request(session.handle, nullptr, headers.data(), headers.size(),
                                     &provider, state.get());
  if (state->id < 0) {
    throw core::Error(core::Step::connect, session.peer, nghttp2_strerror(state->id));
  }
  session.streams[state->id] = state;
  session.output_ready.Notify();
  return std::make_shared<Stream>(this->session, state);
}

auto Connection::IsOpen() const -> bool { return this->session->open; }

auto Connection::Close() -> void { detail::CloseSession(*this->session, "connection closed"); }

auto Connect(const std::string& address, std::chrono::milliseconds timeout)
    -> std::shared_ptr<Connection> {
  const auto endpoint = ParseAddress(address);
  detail::Tcp::socket socket(runtime::IoContext());
  boost::asio::steady_timer timer(runtime::IoContext(), timeout);
  timer.async_wait([&socket](const boost::system::error_code& error) {
    boost::system::error_code ignored;
    if (!error) socket.close(ignored);
  });
  const auto result =
      runtime::Await([&](auto handler) { socket.async_connect(endpoint, std::move(handler)); });
  // If the timer expired at the same time, its handler is already queued and refers to `socket`;
  // the sleep lets it run first.
  const bool expired = timer.cancel() == 0;
  if (result.error || expired) {
    if (expired) runtime::SleepFor(std::chrono::microseconds(1));
    const bool timed_out = result.error == boost::asio::error::operation_aborted || !result.error;
    throw core::Error(core::Step::connect, address,
                      timed_out ? "timed out" : result.error.message());
  }
  boost::system::error_code ignored;
  socket.set_option(detail::Tcp::no_delay(true), ignored);
  auto session = std::make_shared<detail::Session>(std::move(socket), address);
  detail::InitSession(*session, false);
  detail::StartLoops(session);
  return std::make_shared<Connection>(session);
}

auto ListenStreams(const std::string& address, StreamHandler handler, StreamLimits limits) -> void {
  const auto acceptor = detail::OpenAcceptor(address);
  const auto listener = std::make_shared<detail::StreamListener>();
  listener->limits = std::move(limits);
  detail::AcceptHandlers handlers;
  handlers.screen = [listener](int, detail::InitialData&) { return !detail::MakeRoom(*listener); };
  handlers.accepted = [listener](detail::InitialData& initial_data) {
    initial_data.held = std::make_shared<HeldBytes>(listener->limits.budget, ByteUse::connections);
    static_cast<void>(initial_data.held->TryGrow(detail::kSessionBytes));
  };
  handlers.serve = [handler = std::move(handler), listener](
                       detail::Tcp::socket socket, const detail::InitialData& initial_data) {
    const std::string peer = detail::PeerName(socket);
    auto session = std::make_shared<detail::Session>(std::move(socket), peer);
    session->handler = handler;
    session->limits = listener->limits;
    session->held = initial_data.held;
    detail::InitSession(*session, true);
    detail::StartLoops(session);
    listener->sessions.push_back(session);
  };
  detail::AcceptLoop(acceptor, std::move(handlers));
  if (listener->limits.max_streamless_time > std::chrono::milliseconds(0)) {
    runtime::Spawn([listener] { detail::CloseStreamless(*listener); });
  }
}

}  // namespace filbertstair::net
