// Tests of WaitingAttempts and TimerQueue.
#include "jacinthdeck/query/waiting_attempts.h"

#include <boost/test/unit_test.hpp>

#include "jacinthdeck/core/timer_queue.h"

namespace jacinthdeck {

struct WaitingAttemptsFixture {
  WaitingAttempts waiting{2};
  const ServiceId service{"Desk"};

  std::optional<WaitingKey> Add(std::uint64_t call,
                                int deadline_ms,
                                std::vector<TargetId> replicas) {
    return waiting.Add(WaitingAttempt{
        CallId(call), 0, AttemptKind::kFirst, service, std::move(replicas),
        TimePoint() + std::chrono::milliseconds(deadline_ms)});
  }
};

BOOST_FIXTURE_TEST_SUITE(WaitingAttemptsTest, WaitingAttemptsFixture)

BOOST_AUTO_TEST_CASE(First_SeveralWait_EarliestDeadlineOfThatTarget) {
  const TargetId a("a");
  const TargetId b("b");
  (void)Add(1, 50, {a, b});
  const auto early = Add(2, 20, {b});
  BOOST_TEST((waiting.Get(*waiting.First(a)).call == CallId(1)));
  BOOST_TEST((waiting.Get(*waiting.First(b)).call == CallId(2)));
  waiting.Remove(*early);
  BOOST_TEST((waiting.Get(*waiting.First(b)).call == CallId(1)));
}

BOOST_AUTO_TEST_CASE(Add_Full_IsRefused) {
  BOOST_TEST(Add(1, 50, {TargetId("a")}).has_value());
  const auto second = Add(2, 50, {TargetId("a")});
  BOOST_TEST(!Add(3, 50, {TargetId("a")}).has_value());
  waiting.Remove(*second);
  BOOST_TEST(waiting.CountOf(service) == 1U);
  BOOST_TEST(waiting.Targets().size() == 1U);
}

BOOST_AUTO_TEST_CASE(TimerQueue_MovedAndRemovedTimers_FireOnceInOrder) {
  TimerQueue<CallId> timers;
  const TimePoint start;
  const auto at = [start](int ms) {
    return start + std::chrono::milliseconds(ms);
  };
  timers.Set(CallId(1), at(30));
  timers.Set(CallId(2), at(20));
  timers.Set(CallId(3), at(10));
  timers.Set(CallId(1), at(5));
  timers.Remove(CallId(3));
  BOOST_TEST((timers.Next() == at(5)));
  BOOST_TEST((timers.TakeDue(at(20)) == CallId(1)));
  BOOST_TEST((timers.TakeDue(at(20)) == CallId(2)));
  BOOST_TEST(!timers.TakeDue(at(100)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
