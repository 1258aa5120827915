// Tests of who may wait, who pays for resends, and when refused callers return.
#include "jacinthdeck/forward/admission_policy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

#include "jacinthdeck/forward/flow_load.h"
#include "jacinthdeck/forward/usual_time_left.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId test_group("shard-0");
constexpr TimePoint kStart{seconds(100)};

[[nodiscard]] WaitingCall LateCall(std::uint64_t id, bool returning) {
  WaitingCall call;
  call.id = CallId(id);
  call.group = test_group;
  call.returning = returning;
  call.start_by = kStart + seconds(1);
  return call;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionPolicyTest)

// Guards against calls that wait for a start that will not come: four starts
// per second are expected, and ten calls wait.
BOOST_AUTO_TEST_CASE(MayWait_QueueLongerThanTheTimeLeft_Refused) {
  const AdmissionPolicy policy(1);
  WaitingCalls waiting(16);
  for (std::uint64_t id = 1; id <= 10; ++id) {
    BOOST_REQUIRE(!waiting.Add(LateCall(id, false), WaitClass::kLate));
  }
  BOOST_TEST(
      !policy.MayWait(waiting, LateCall(11, true), WaitClass::kLate, kStart));
}

// Guards against a second refusal of a caller, while a first try, whose caller
// may still return, gets a place.
BOOST_AUTO_TEST_CASE(MayWait_WaitOfMostOfTheTime_ReturningCallerOnly) {
  const AdmissionPolicy policy(1);
  WaitingCalls waiting(16);
  for (std::uint64_t id = 1; id <= 2; ++id) {
    BOOST_REQUIRE(!waiting.Add(LateCall(id, false), WaitClass::kLate));
  }
  BOOST_TEST(
      policy.MayWait(waiting, LateCall(11, true), WaitClass::kLate, kStart));
  BOOST_TEST(
      !policy.MayWait(waiting, LateCall(12, false), WaitClass::kLate, kStart));
}

// Guards against late calls in queues that calls in time need: they start only
// far below the limit.
BOOST_AUTO_TEST_CASE(MayStart_LateCallWithDelay_WaitsForMoreRoom) {
  const WaitingCall call = LateCall(1, false);
  const Duration limit = milliseconds(100);
  const Duration expected = milliseconds(80);
  BOOST_TEST(AdmissionPolicy::MayStart(call, WaitClass::kInTime, expected,
                                       limit, kStart));
  BOOST_TEST(!AdmissionPolicy::MayStart(call, WaitClass::kLate, expected, limit,
                                        kStart));
  BOOST_TEST(AdmissionPolicy::MayStart(call, WaitClass::kLate, milliseconds(10),
                                       limit, kStart));
}

// Guards against targets' queues that calls with a long objective keep full
// for those with a short one.
BOOST_AUTO_TEST_CASE(StartLimit_ShortAndLongObjectives_NearTheShortOne) {
  AdmissionPolicy policy(1);
  policy.OnCall(test_group, milliseconds(100), kStart);
  BOOST_TEST((policy.StartLimit(test_group) == milliseconds(100)));
  policy.OnCall(test_group, milliseconds(20), kStart);
  BOOST_TEST((policy.StartLimit(test_group) <= milliseconds(40)));
  // In a lasting overload, when most calls find no room, it is nearer.
  for (int i = 0; i < 10; ++i) {
    policy.OnOffered(test_group, i % 3 == 0);
  }
  BOOST_TEST((policy.StartLimit(test_group) < milliseconds(30)));
}

// Guards against callers that were refused together and return together.
BOOST_AUTO_TEST_CASE(RetryAfter_ManyRefusedAtOnce_SpreadOverTheTimeHonoured) {
  AdmissionPolicy policy(1);
  std::vector<int> returns_per_50_ms(12);
  for (int i = 0; i < 100; ++i) {
    const Duration after = policy.RetryAfter(test_group, milliseconds(50),
                                             milliseconds(1500), kStart);
    BOOST_TEST((after >= milliseconds(150)));
    BOOST_TEST((after <= milliseconds(500)));
    ++returns_per_50_ms.at(static_cast<std::size_t>(after / milliseconds(50)));
  }
  BOOST_TEST(std::ranges::max(returns_per_50_ms) <= 100 / 4);
}

// Guards against a caller that gains by resending at once and often: its next
// start costs more than that of others.
BOOST_AUTO_TEST_CASE(FlowLoad_Resender_PaysForItsRecentCalls) {
  FlowLoad load;
  for (int i = 0; i < 60; ++i) {
    load.Add("resender", 1, kStart + milliseconds(10 * i));
    if (i % 10 == 0) {
      load.Add("a", 1, kStart + milliseconds(10 * i));
      load.Add("b", 1, kStart + milliseconds(10 * i));
    }
  }
  BOOST_TEST(load.CostOf("resender", 1) > 2);
  BOOST_TEST(load.CostOf("a", 1) == 1);
  // A larger account pays only beyond its share.
  BOOST_TEST(load.CostOf("resender", 100) == 1);
  load.Add("a", 1, kStart + seconds(10));
  BOOST_TEST(load.CostOf("resender", 1) == 1);
}

// Guards against first tries taken for returning callers, and the reverse,
// while most calls are repeated ones.
BOOST_AUTO_TEST_CASE(UsualTimeLeft_HalfReturn_ToldApart) {
  UsualTimeLeft usual;
  for (int i = 0; i < 200; ++i) {
    usual.Add(i % 2 == 0 ? milliseconds(1500) : milliseconds(1100));
  }
  BOOST_TEST(!usual.IsReturning(milliseconds(1495)));
  BOOST_TEST(usual.IsReturning(milliseconds(1340)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
