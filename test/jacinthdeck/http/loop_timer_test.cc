// Tests of the loop's timer, whose handler is queued before it is cancelled.
#include "jacinthdeck/http/loop_timer.h"

#include <boost/asio/post.hpp>
#include <optional>

#include "jacinthdeck/http/loop_fixture.h"

namespace jacinthdeck {

namespace {

struct LoopTimerFixture : EventLoopFixture {
  std::optional<LoopTimer> timer{std::in_place, loop};
  int first = 0;
  int second = 0;

  //! Starts the timer and leaves its handler in the queue of the loop.
  void QueueFirst() {
    timer->Start(Duration::zero(), [this] { ++first; });
    asio::post(loop, [] {});
    BOOST_REQUIRE(loop.poll_one() == 1U);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LoopTimerTest, LoopTimerFixture)

BOOST_AUTO_TEST_CASE(Timer_Expired_HandlerRunsOnce) {
  QueueFirst();
  loop.run();
  BOOST_TEST(first == 1);
}

// Guards against a handler that acts although its wait was cancelled: it was
// queued before.
BOOST_AUTO_TEST_CASE(Timer_CancelledWhileHandlerIsQueued_HandlerDoesNotRun) {
  QueueFirst();
  timer->Cancel();
  loop.run();
  BOOST_TEST(first == 0);
}

// Guards against a handler that acts in place of the one of a later wait.
BOOST_AUTO_TEST_CASE(Timer_RestartedWhileHandlerIsQueued_LaterHandlerRuns) {
  QueueFirst();
  timer->Start(Duration::zero(), [this] { ++second; });
  loop.run();
  BOOST_TEST(first == 0);
  BOOST_TEST(second == 1);
}

// Guards against a handler that uses an object that is gone with its timer.
BOOST_AUTO_TEST_CASE(Timer_DestroyedWhileHandlerIsQueued_HandlerDoesNotRun) {
  QueueFirst();
  timer.reset();
  loop.run();
  BOOST_TEST(first == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
