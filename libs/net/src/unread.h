#ifndef FILBERTSTAIR_NET_SRC_UNREAD_H_
#define FILBERTSTAIR_NET_SRC_UNREAD_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>

namespace filbertstair::net::detail {

// Returns the time since the last bytes arrived on the socket, to within the kernel's timer tick of
// 1 to 10 ms. All bytes that were read before have waited at least as long, in the backlog of the
// listener or in the socket's buffer. Returns zero if the socket does not tell.
inline auto TimeSinceArrival(int socket) -> std::chrono::milliseconds {
  ::tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr auto needed =
      offsetof(::tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
  const bool known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && size >= needed;
  return std::chrono::milliseconds(known ? info.tcpi_last_data_recv : 0);
}

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_UNREAD_H_
