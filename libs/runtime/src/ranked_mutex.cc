#include "filbertstair/runtime/ranked_mutex.h"

#include <cstdio>
#include <cstdlib>

namespace filbertstair::runtime {
namespace {

thread_local Rank held_rank = Rank::none;

auto AbortOnViolation(const char* what, Rank held, Rank requested) -> void {
  std::fprintf(stderr, "lock order violated: %s (held %s, requested %s)\n", what,
               core::Name(held).data(), core::Name(requested).data());
  std::abort();
}

}  // namespace

namespace detail {

auto HeldRank() -> Rank { return held_rank; }

auto CheckNoLockHeld() -> void {
  if (held_rank != Rank::none) {
    AbortOnViolation("fiber suspended while holding a lock", held_rank, Rank::none);
  }
}

}  // namespace detail

auto RankedMutex::lock() -> void {
  if (held_rank >= this->rank) {
    AbortOnViolation("lock acquired out of order", held_rank, this->rank);
  }
  this->mutex.lock();
  this->previous = held_rank;
  held_rank = this->rank;
}

auto RankedMutex::unlock() -> void {
  held_rank = this->previous;
  this->mutex.unlock();
}

}  // namespace filbertstair::runtime
