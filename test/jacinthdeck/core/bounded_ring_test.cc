// Tests of the bounded queue between threads.
#include "jacinthdeck/core/bounded_ring.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace jacinthdeck {

struct BoundedRingFixture {
  BoundedRing<int> ring{4};
};

BOOST_FIXTURE_TEST_SUITE(BoundedRingTest, BoundedRingFixture)

// A stalled reader must not block the writers. The fifth item is rejected
// immediately, and the writer keeps it so that it can answer the call with
// "not run".
BOOST_AUTO_TEST_CASE(TryPush_RingFull_ReturnsFalseAndLeavesTheItem) {
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(ring.TryPush(int{i}));
  }
  int fifth = 5;
  BOOST_TEST(!ring.TryPush(fifth));
  BOOST_TEST(fifth == 5);
  const std::vector<int> taken = ring.PopAll(std::chrono::microseconds(0));
  BOOST_TEST(taken == (std::vector<int>{0, 1, 2, 3}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(PopAll_TwoWriters_ReturnsEveryAcceptedItem) {
  int accepted[2] = {0, 0};
  const auto write = [&](int writer) {
    for (int i = 0; i < 1000; ++i) {
      while (!ring.TryPush(int{writer})) {
        std::this_thread::yield();
      }
      ++accepted[writer];
    }
  };
  std::thread first(write, 0);
  std::thread second(write, 1);
  int seen[2] = {0, 0};
  while (seen[0] + seen[1] < 2000) {
    for (const int writer : ring.PopAll(std::chrono::seconds(10))) {
      ++seen[writer];
    }
  }
  first.join();
  second.join();
  BOOST_TEST(seen[0] == accepted[0]);
  BOOST_TEST(seen[1] == accepted[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
