#include "filbertstair/runtime/ranked_mutex.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace filbertstair::runtime {
namespace {

// Runs `body` in a child process and returns whether it aborted.
template <typename Body>
auto Aborts(Body body) -> bool {
  const pid_t pid = fork();
  if (pid == 0) {
    close(STDERR_FILENO);
    body();
    _exit(0);
  }
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT;
}

// Guards against a lock order that differs between two paths, which deadlocks only under load.
class RankedMutexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RankedMutexTest);
  CPPUNIT_TEST(testAscendingOrderIsAllowed);
  CPPUNIT_TEST(testDescendingOrderAborts);
  CPPUNIT_TEST(testSameRankAborts);
  CPPUNIT_TEST(testSuspensionWithLockAborts);
  CPPUNIT_TEST_SUITE_END();

 public:
  auto testAscendingOrderIsAllowed() -> void {
    Guarded<int, Rank::config> first(1);
    Guarded<int, Rank::shares> second(2);
    const int sum = first.With([&](int& a) { return second.With([&](int& b) { return a + b; }); });
    CPPUNIT_ASSERT_EQUAL(3, sum);
    CPPUNIT_ASSERT(detail::HeldRank() == Rank::none);
  }

  auto testDescendingOrderAborts() -> void {
    CPPUNIT_ASSERT(Aborts([] {
      Guarded<int, Rank::config> first(1);
      Guarded<int, Rank::shares> second(2);
      second.With([&](int&) { first.With([](int&) {}); });
    }));
  }

  auto testSameRankAborts() -> void {
    CPPUNIT_ASSERT(Aborts([] {
      Guarded<int, Rank::queue> first(1);
      Guarded<int, Rank::queue> second(2);
      second.With([&](int&) { first.With([](int&) {}); });
    }));
  }

  auto testSuspensionWithLockAborts() -> void {
    CPPUNIT_ASSERT(Aborts([] {
      Guarded<int, Rank::queue> table(1);
      table.With([](int&) { detail::CheckNoLockHeld(); });
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RankedMutexTest);

}  // namespace
}  // namespace filbertstair::runtime
