// Tests of the child processes that the soak starts.
#include "soak/child.h"

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

namespace jacinthdeck::soak {

struct ChildFixture {
  std::string directory =
      (std::filesystem::temp_directory_path() / "child-XXXXXX").string();

  ChildFixture() { BOOST_REQUIRE(mkdtemp(directory.data()) != nullptr); }
  ~ChildFixture() { std::filesystem::remove_all(directory); }
};

BOOST_FIXTURE_TEST_SUITE(ChildTest, ChildFixture)

// Guards against a child that inherits a caller's connection, so that an entry
// does not see that the caller has closed it and waits until the end of a stop.
BOOST_AUTO_TEST_CASE(Child_Starts_KeepsNoConnectionOpen) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE(pipe(ends.data()) == 0);
  Child child({"/bin/sh", "-c", "echo ready; exec sleep 60"},
              directory + "/output");
  BOOST_TEST(child.WaitForOutput("(ready)", std::chrono::seconds(10)) ==
             "ready");
  close(ends[1]);
  pollfd reader{ends[0], POLLIN, 0};
  BOOST_TEST(poll(&reader, 1, 1000) == 1);
  BOOST_TEST((reader.revents & POLLHUP) != 0);
  close(ends[0]);
}

// Guards against an entry whose death is taken for an orderly end.
BOOST_AUTO_TEST_CASE(Child_Ends_StatusTellsHow) {
  const auto status_of = [&](const std::string& script) {
    Child child({"/bin/sh", "-c", script}, directory + "/output");
    while (child.IsRunning()) {
      std::this_thread::yield();
    }
    return child.WaitStatus().value();
  };
  BOOST_TEST(WEXITSTATUS(status_of("exit 0")) == 0);
  BOOST_TEST(WEXITSTATUS(status_of("exit 3")) == 3);
  const int killed = status_of("kill -SEGV $$");
  BOOST_TEST(WIFSIGNALED(killed));
  BOOST_TEST(WTERMSIG(killed) == SIGSEGV);
  Child running({"/bin/sh", "-c", "exec sleep 60"}, directory + "/output");
  BOOST_TEST(!running.WaitStatus().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
