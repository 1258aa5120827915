// Tests of the order in which waiting calls start, and of who makes room.
#include "jacinthdeck/forward/waiting_calls.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace jacinthdeck {

struct WaitingCallsFixture {
  static constexpr std::size_t kCapacity = 12;

  const ServiceId group{"shard-0"};
  WaitingCalls calls{kCapacity};
  std::uint64_t next = 1;

  WaitingCall Make(const std::string& flow,
                   std::uint32_t priority = 1,
                   bool returning = false) {
    WaitingCall call;
    call.id = CallId(next++);
    call.group = group;
    call.flow = flow;
    call.priority = priority;
    call.returning = returning;
    call.in_time_until = TimePoint() + std::chrono::milliseconds(50);
    call.start_by = TimePoint() + std::chrono::milliseconds(1000);
    return call;
  }

  void Add(const WaitingCall& call, WaitClass wait_class = WaitClass::kInTime) {
    BOOST_REQUIRE(!calls.Add(call, wait_class));
  }

  std::string TakeFlows(int count) {
    std::string taken;
    for (int i = 0; i < count; ++i) {
      taken += calls.TakeNext(group).flow;
    }
    return taken;
  }
};

BOOST_FIXTURE_TEST_SUITE(WaitingCallsTest, WaitingCallsFixture)

// Guards against late calls that displace calls in time, whatever their
// priority: goodput in time would fall with every call that waits.
BOOST_AUTO_TEST_CASE(TakeNext_LateAndInTime_InTimeFirst) {
  Add(Make("l", 0), WaitClass::kLate);
  Add(Make("t", 2));
  BOOST_TEST(TakeFlows(2) == "tl");
}

// Guards against urgent calls that wait behind others, and against others that
// never start while urgent calls keep coming.
BOOST_AUTO_TEST_CASE(TakeNext_UrgentBacklog_UrgentFirstAndOthersNotStarved) {
  for (int i = 0; i < 5; ++i) {
    Add(Make("o", 1));
  }
  Add(Make("u", 0));
  BOOST_TEST(TakeFlows(1) == "u");
  int others = 0;
  for (int i = 0; i < 10; ++i) {
    Add(Make("u", 0));
    others += TakeFlows(1) == "o" ? 1 : 0;
  }
  BOOST_TEST(others >= 2);
  BOOST_TEST(others <= 3);
}

// Guards against a flow that sends more than others and gets more starts.
BOOST_AUTO_TEST_CASE(TakeNext_OneFlowHasMost_FlowsTakeTurns) {
  for (int i = 0; i < 8; ++i) {
    Add(Make("f"));
  }
  Add(Make("a"));
  Add(Make("b"));
  BOOST_TEST(TakeFlows(4).find_first_not_of("fab") == std::string::npos);
  BOOST_TEST(calls.size() == 6U);
  BOOST_TEST(TakeFlows(6) == "ffffff");
}

// Guards against a caller that is refused for the second time because calls of
// its own flow arrived before it; their callers can still return.
BOOST_AUTO_TEST_CASE(TakeNext_ReturningCaller_BeforeFirstTryOfItsFlow) {
  Add(Make("a"));
  const WaitingCall returning = Make("a", 1, true);
  Add(returning);
  BOOST_TEST((calls.TakeNext(group).id == returning.id));
}

// Guards against a flow that fills the queue: its own calls make room for those
// of others, and it gets no further place.
BOOST_AUTO_TEST_CASE(Add_FullByOneFlow_ItsExcessIsShed) {
  for (std::size_t i = 0; i < kCapacity; ++i) {
    Add(Make("f"));
  }
  const WaitingCall other = Make("a");
  const auto shed = calls.Add(other, WaitClass::kInTime);
  BOOST_REQUIRE(shed.has_value());
  BOOST_TEST(shed->flow == "f");
  BOOST_TEST(calls.Contains(other.id));
  const WaitingCall more = Make("f");
  const auto refused = calls.Add(more, WaitClass::kInTime);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->id == more.id));
}

// The same with a late call, which must not make a call in time leave.
BOOST_AUTO_TEST_CASE(Add_FullOfCallsInTime_LateCallIsRefused) {
  for (std::size_t i = 0; i < kCapacity; ++i) {
    Add(Make("f"));
  }
  const WaitingCall late = Make("a");
  const auto refused = calls.Add(late, WaitClass::kLate);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->id == late.id));
}

// Guards against a call that waits beyond the time at which it is late, or can
// no longer be answered.
BOOST_AUTO_TEST_CASE(TakeDue_TimeReached_TakesByClass) {
  Add(Make("a"));
  Add(Make("b"), WaitClass::kLate);
  BOOST_TEST(
      !calls.TakeDue(TimePoint() + std::chrono::milliseconds(49)).has_value());
  const auto due = calls.TakeDue(TimePoint() + std::chrono::milliseconds(50));
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST(due->flow == "a");
  BOOST_TEST(
      (calls.NextDue() == TimePoint() + std::chrono::milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
