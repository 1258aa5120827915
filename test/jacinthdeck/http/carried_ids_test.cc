// Tests of the memory for the request ids that a connection has carried.
#include "jacinthdeck/http/carried_ids.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace jacinthdeck {

namespace {

using std::chrono::seconds;

struct CarriedIdsFixture {
  CarriedIds ids;
  TimePoint now{seconds(100)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CarriedIdsTest, CarriedIdsFixture)

BOOST_AUTO_TEST_CASE(Id_CallMayRepeatIt_IsKeptAmongManyOthers) {
  ids.Add("a", now + seconds(6), now);
  for (int other = 0; other < 1000; ++other) {
    ids.Add(std::to_string(other), now + seconds(6), now);
    ids.EndLast(std::to_string(other));
  }
  BOOST_TEST(ids.Contains("a"));
  BOOST_TEST(!ids.Contains("b"));
}

// Guards against memory that grows with the requests on a connection.
BOOST_AUTO_TEST_CASE(Ids_RequestsEnded_FewAreKept) {
  for (int other = 0; other < 1000; ++other) {
    ids.Add(std::to_string(other), now + seconds(1), now);
    now += seconds(2);
  }
  BOOST_TEST(ids.Contains("999"));
  BOOST_TEST(ids.Contains("992"));
  BOOST_TEST(ids.size() <= 2 * CarriedIds::kMinKept);
}

// Guards against memory that grows with requests whose callers would wait for
// hours, on a connection that is used all the time.
BOOST_AUTO_TEST_CASE(Ids_RepeatableForLong_FillTheConnection) {
  std::size_t added = 0;
  for (; !ids.full(); ++added) {
    BOOST_REQUIRE(added <= CarriedIds::kMaxKept);
    ids.Add(std::to_string(added), now + seconds(3600), now);
  }
  BOOST_TEST(ids.Contains("0"));
}

BOOST_AUTO_TEST_CASE(Ids_Ended_NeverFillTheConnection) {
  for (int other = 0; other < 100000; ++other) {
    ids.Add(std::to_string(other), now + seconds(3600), now);
    ids.EndLast(std::to_string(other));
    BOOST_REQUIRE(!ids.full());
  }
}

BOOST_AUTO_TEST_CASE(Id_IsEmpty_IsNotKept) {
  ids.Add("a", now + seconds(6), now);
  ids.Add("", now + seconds(1), now);
  ids.EndLast("");
  BOOST_TEST(!ids.Contains(""));
  for (int other = 0; other < 1000; ++other) {
    ids.Add(std::to_string(other), now, now);
  }
  BOOST_TEST(ids.Contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
