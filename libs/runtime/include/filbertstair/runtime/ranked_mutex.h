#ifndef FILBERTSTAIR_RUNTIME_RANKED_MUTEX_H_
#define FILBERTSTAIR_RUNTIME_RANKED_MUTEX_H_

#include <mutex>
#include <utility>

#include "filbertstair/core/names.h"

namespace filbertstair::runtime {

// Lock order of the shared tables: a thread may lock a table only if the table's rank is above
// every rank that the thread holds.
enum class Rank {
  none = 0,
  config = 10,
  members = 20,
  queue = 30,
  admission = 40,
  shares = 50,
  traces = 60,
  links = 70,
  outbox = 80,
  bytes = 90
};

namespace detail {

// Returns the highest rank that the calling thread holds, or Rank::none.
auto HeldRank() -> Rank;

// Aborts the process if the calling thread holds a ranked mutex. Called where a fiber suspends: a
// mutex held across a suspension stays locked until that fiber runs again.
auto CheckNoLockHeld() -> void;

}  // namespace detail

// Mutex that aborts the process when it is locked out of order, so that a potential deadlock shows
// in the first test that takes the path rather than under load.
class RankedMutex {
 public:
  explicit RankedMutex(Rank rank) : rank(rank) {}

  auto lock() -> void;
  auto unlock() -> void;

 private:
  std::mutex mutex;
  Rank rank;
  Rank previous = Rank::none;
};

// Table protected by a ranked mutex. With is the only access: it holds the lock while `use` runs
// and returns its result.
template <typename Table, Rank kRank>
class Guarded {
 public:
  template <typename... Args>
  explicit Guarded(Args&&... args) : table(std::forward<Args>(args)...) {}

  template <typename Use>
  auto With(Use&& use) -> decltype(auto) {
    const std::lock_guard lock(this->mutex);
    return std::forward<Use>(use)(this->table);
  }

 private:
  RankedMutex mutex{kRank};
  Table table;
};

}  // namespace filbertstair::runtime

namespace filbertstair::core {
template <>
inline constexpr NameTable<runtime::Rank, 10> kNames<runtime::Rank>{{
    {runtime::Rank::none, "none"},
    {runtime::Rank::config, "config"},
    {runtime::Rank::members, "members"},
    {runtime::Rank::queue, "queue"},
    {runtime::Rank::admission, "admission"},
    {runtime::Rank::shares, "shares"},
    {runtime::Rank::traces, "traces"},
    {runtime::Rank::links, "links"},
    {runtime::Rank::outbox, "outbox"},
    {runtime::Rank::bytes, "bytes"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_RUNTIME_RANKED_MUTEX_H_
