#include "filbertstair/runtime/ranked_mutex.h"

#include <cstdio>
#include <cstdlib>

namespace filbertstair::runtime {
namespace {

thread_local Rank held_rank = Rank::none;

auto AbortOnViolation(const char* what, Rank held, Rank wanted) -> void {
  std::fprintf(stderr, "lock order violated: %s (held %s, wanted %s)\n", what,
               core::Name(held).data(), core::Name(wanted).data());
  std::abort();
}

}  // namespace

namespace detail {

auto HeldRank() -> Rank { return held_rank; }

auto CheckNoLockHeld() -> void {
  if (held_rank != Rank::none)
    AbortOnViolation("fiber suspends with a table locked", held_rank, Rank::none);
}

}  // namespace detail

auto RankedMutex::lock() -> void {
  if (held_rank >= this->rank) AbortOnViolation("lock out of order", held_rank, this->rank);
  this->mutex.lock();
  this->previous = held_rank;
  held_rank = this->rank;
}

auto RankedMutex::unlock() -> void {
  held_rank = this->previous;
  this->mutex.unlock();
}

}  // namespace filbertstair::runtime
