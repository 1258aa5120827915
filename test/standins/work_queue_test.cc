// Tests of the slots and the wait queue of a stand-in target.
#include "target/work_queue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace jacinthdeck::standins {

struct WorkQueueFixture {
  using Clock = std::chrono::steady_clock;

  WorkQueue work{1};
  const Clock::time_point past = Clock::now();
  const Clock::time_point future = past + std::chrono::hours(1);
};

BOOST_FIXTURE_TEST_SUITE(WorkQueueTest, WorkQueueFixture)

BOOST_AUTO_TEST_CASE(AcquireSlot_NoSlotAndNoQueue_ReturnsQueueFull) {
  BOOST_TEST((work.AcquireSlot("1", 0, future) == WorkOutcome::kDone));
  BOOST_TEST((work.AcquireSlot("2", 0, future) == WorkOutcome::kQueueFull));
  work.ReleaseSlot("1");
  BOOST_TEST((work.AcquireSlot("2", 0, future) == WorkOutcome::kDone));
}

BOOST_AUTO_TEST_CASE(AcquireSlot_NoSlotBeforeDeadline_ReturnsDeadlineExceeded) {
  BOOST_TEST((work.AcquireSlot("1", 0, future) == WorkOutcome::kDone));
  BOOST_TEST(
      (work.AcquireSlot("2", 1, past) == WorkOutcome::kDeadlineExceeded));
  BOOST_TEST(work.counts().waiting == 0U);
}

BOOST_AUTO_TEST_CASE(Work_Cancelled_EndsEarly) {
  BOOST_TEST((work.AcquireSlot("1", 0, future) == WorkOutcome::kDone));
  work.Cancel("1");
  BOOST_TEST((work.Work("1", future, future) == WorkOutcome::kCancelled));
}

BOOST_AUTO_TEST_CASE(Work_PastDeadline_ReturnsDeadlineExceeded) {
  BOOST_TEST((work.AcquireSlot("1", 0, future) == WorkOutcome::kDone));
  BOOST_TEST((work.Work("1", future, past) == WorkOutcome::kDeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(Cancel_UnknownAttempt_DoesNotCancelItLater) {
  work.Cancel("1");
  BOOST_TEST((work.AcquireSlot("1", 0, future) == WorkOutcome::kDone));
  BOOST_TEST((work.Work("1", past, future) == WorkOutcome::kDone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
