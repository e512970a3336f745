// Runs the body of a test in an event loop of a child process.

#ifndef MIMOSA_RUNTIME_CHILD_PROCESS_TEST_UTIL_H
#define MIMOSA_RUNTIME_CHILD_PROCESS_TEST_UTIL_H

#include "runtime/fiber_loop.h"

#include <gtest/gtest.h>

#include <functional>
#include <sys/wait.h>
#include <unistd.h>

namespace mimosa {

/// Runs \p Body in the event loop of a child process, since a thread can have
/// only one fiber scheduler during its lifetime. The test fails if an
/// expectation in \p Body fails or the child runs for more than 60 s.
inline void runInChildProcess(const std::function<void(FiberLoop &)> &Body) {
  constexpr unsigned TimeoutSeconds = 60;
  pid_t Child = fork();
  ASSERT_GE(Child, 0);
  if (Child == 0) {
    alarm(TimeoutSeconds);
    FiberLoop Loop;
    Loop.run([&] { Body(Loop); });
    _exit(testing::Test::HasFailure() ? 1 : 0);
  }
  int Status = 0;
  ASSERT_EQ(waitpid(Child, &Status, 0), Child);
  EXPECT_TRUE(WIFEXITED(Status) && WEXITSTATUS(Status) == 0) << Status;
}

} // namespace mimosa

#endif // MIMOSA_RUNTIME_CHILD_PROCESS_TEST_UTIL_H
