#ifndef FILBERTSTAIR_TESTS_STANDINS_BATCH_H_
#define FILBERTSTAIR_TESTS_STANDINS_BATCH_H_

#include <cstdint>
#include <deque>
#include <iterator>
#include <list>

#include "tests/standins/history.h"
#include "tests/standins/http_server.h"

namespace filbertstair::standins {

// Number of requests in an engine at one time.
struct Load {
  std::int64_t at = 0;
  int running = 0;
  int waiting = 0;
};

// The engine's batch: a fixed number of places, and the requests that wait for one, in order of
// arrival. Used by one thread.
class Batch {
 public:
  using Queue = std::list<asio::steady_timer*>;

  explicit Batch(int size) : size(size) {}

  // Occupied share of the places besides the caller's own, from 0 to 1.
  auto Fill() const -> double {
    return this->size > 1 ? static_cast<double>(this->running - 1) / (this->size - 1) : 0;
  }

  // Load as it was `lag_ms` ago.
  auto Reported(int lag_ms) -> Load {
    const auto visible = NowUs() - lag_ms * std::int64_t{1000};
    while (this->loads.size() > 1 && this->loads[1].at <= visible) this->loads.pop_front();
    return this->loads.front();
  }

  auto Wait(asio::steady_timer* turn) -> Queue::iterator {
    const auto position = this->waiting.insert(this->waiting.end(), turn);
    this->Record();
    return position;
  }

  auto IsTurn(Queue::iterator position) const -> bool {
    return this->running < this->size && position == this->waiting.begin();
  }

  // Ends a wait; with `take`, the request occupies a place from now on.
  auto Stop(Queue::iterator position, bool take) -> void {
    this->waiting.erase(position);
    if (take) ++this->running;
    this->Changed();
  }

  auto Release() -> void {
    --this->running;
    this->Changed();
  }

 private:
  auto Record() -> void {
    this->loads.push_back({NowUs(), this->running, static_cast<int>(this->waiting.size())});
    // Bounds the memory of an engine whose load nobody reads.
    if (this->loads.size() > 100000) this->loads.pop_front();
  }

  auto Changed() -> void {
    if (!this->waiting.empty()) this->waiting.front()->cancel();
    this->Record();
  }

  int size;
  int running = 0;
  Queue waiting;
  std::deque<Load> loads{Load{}};
};

// Holds a place in the batch until the request ends or is cancelled.
class Place {
 public:
  explicit Place(Batch& batch) : batch(batch) {}
  Place(const Place&) = delete;
  auto operator=(const Place&) -> Place& = delete;
  ~Place() {
    if (this->waits) this->batch.Stop(this->position, false);
    if (this->held) this->batch.Release();
  }

  // Waits for a place. Throws if the wait is cancelled.
  auto Enter() -> asio::awaitable<void> {
    asio::steady_timer turn(co_await asio::this_coro::executor,
                            asio::steady_timer::time_point::max());
    this->position = this->batch.Wait(&turn);
    this->waits = true;
    while (!this->batch.IsTurn(this->position)) {
      // The batch cancels the timer to say that the first in line may look again. After a
      // cancellation of the coroutine the next co_await throws.
      beast::error_code woken;
      co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
    this->waits = false;
    this->held = true;
    this->batch.Stop(this->position, true);
  }

 private:
  Batch& batch;
  Batch::Queue::iterator position;
  bool waits = false;
  bool held = false;
};

}  // namespace filbertstair::standins

#endif  // FILBERTSTAIR_TESTS_STANDINS_BATCH_H_
