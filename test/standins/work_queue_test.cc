// Tests of the slots of a stand-in target.
#include "target/work_queue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace jacinthdeck::standins {

struct WorkQueueFixture {
  using Clock = std::chrono::steady_clock;

  WorkQueue work{1};
  const Clock::time_point past = Clock::now();
  const Clock::time_point far = past + std::chrono::hours(1);
};

BOOST_FIXTURE_TEST_SUITE(WorkQueueTest, WorkQueueFixture)

BOOST_AUTO_TEST_CASE(Take_NoSlotAndNoQueue_IsFull) {
  BOOST_TEST((work.Take("1", 0, far) == WorkEnd::kDone));
  BOOST_TEST((work.Take("2", 0, far) == WorkEnd::kFull));
  work.Release("1");
  BOOST_TEST((work.Take("2", 0, far) == WorkEnd::kDone));
}

BOOST_AUTO_TEST_CASE(Take_NoSlotBeforeTheDeadline_EndsByIt) {
  BOOST_TEST((work.Take("1", 0, far) == WorkEnd::kDone));
  BOOST_TEST((work.Take("2", 1, past) == WorkEnd::kDeadline));
  BOOST_TEST(work.counts().waiting == 0U);
}

BOOST_AUTO_TEST_CASE(Work_Cancelled_EndsEarly) {
  BOOST_TEST((work.Take("1", 0, far) == WorkEnd::kDone));
  work.Cancel("1");
  BOOST_TEST((work.Work("1", far, far) == WorkEnd::kCancelled));
}

BOOST_AUTO_TEST_CASE(Work_PastDeadline_EndsByIt) {
  BOOST_TEST((work.Take("1", 0, far) == WorkEnd::kDone));
  BOOST_TEST((work.Work("1", far, past) == WorkEnd::kDeadline));
}

BOOST_AUTO_TEST_CASE(Cancel_UnknownAttempt_LeavesNoTrace) {
  work.Cancel("1");
  BOOST_TEST((work.Take("1", 0, far) == WorkEnd::kDone));
  BOOST_TEST((work.Work("1", past, far) == WorkEnd::kDone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
