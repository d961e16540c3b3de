#include "filbertstair/runtime/pool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

#include "filbertstair/runtime/await.h"
#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"

namespace filbertstair::runtime {
namespace {

using std::chrono::milliseconds;

auto CpuTime() -> std::chrono::microseconds {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         std::chrono::microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

class PoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolTest);
  CPPUNIT_TEST(testSignalWakesAcrossWorkers);
  CPPUNIT_TEST(testTimersRunWhileFibersAreBusy);
  CPPUNIT_TEST(testIdleWorkersDoNotSpin);
  CPPUNIT_TEST(testExceptionIsReported);
  CPPUNIT_TEST_SUITE_END();

  std::atomic<int> errors = 0;

 public:
  // Guards against a wake-up lost between workers, which would leave a granted request waiting.
  auto testSignalWakesAcrossWorkers() -> void {
    Pool pool(2, [](const std::exception&) {});
    Signal ping;
    Signal pong;
    std::promise<void> done;
    constexpr int rounds = 2000;
    pool.Post(0, [&] {
      for (int i = 0; i < rounds; ++i) {
        ping.Notify();
        pong.Wait();
      }
      done.set_value();
    });
    pool.Post(1, [&] {
      for (int i = 0; i < rounds; ++i) {
        ping.Wait();
        pong.Notify();
      }
    });
    done.get_future().get();
    pool.Stop();
  }

  // Guards against busy fibers that starve I/O on their worker.
  auto testTimersRunWhileFibersAreBusy() -> void {
    Pool pool(1, [](const std::exception&) {});
    std::promise<void> done;
    bool fired = false;
    pool.Post(0, [&] {
      boost::asio::steady_timer timer(IoContext(), milliseconds(1));
      Await([&](auto handler) { timer.async_wait(std::move(handler)); });
      fired = true;
    });
    pool.Post(0, [&] {
      while (!fired) boost::this_fiber::yield();
      done.set_value();
    });
    done.get_future().get();
    pool.Stop();
  }

  // Guards against a scheduler that busy-polls: two idle workers must use less than 2 % of a core.
  auto testIdleWorkersDoNotSpin() -> void {
    Pool pool(2, [](const std::exception&) {});
    const auto before = CpuTime();
    std::this_thread::sleep_for(milliseconds(300));
    CPPUNIT_ASSERT((CpuTime() - before) < milliseconds(6));
    pool.Stop();
  }

  auto testExceptionIsReported() -> void {
    std::promise<void> reported;
    Pool pool(1, [&](const std::exception&) { reported.set_value(); });
    pool.Post(0, [] { throw std::runtime_error("task failed"); });
    reported.get_future().get();
    pool.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolTest);

}  // namespace
}  // namespace filbertstair::runtime
