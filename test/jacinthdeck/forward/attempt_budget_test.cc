// Tests of the budget of extra attempts.
#include "jacinthdeck/forward/attempt_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
constexpr double kRatio = 0.2;
constexpr double kConstant = 52;

struct Event {
  TimePoint at;
  bool extra = false;
};

//! Maximum number of extra attempts above the ratio in any window that ends at
//! an event.
[[nodiscard]] double MaxExcess(const std::vector<Event>& events) {
  double worst = 0;
  std::deque<Event> window;
  int requests = 0;
  int extras = 0;
  for (const Event& event : events) {
    window.push_back(event);
    (event.extra ? extras : requests) += 1;
    while (window.front().at + kWindow < event.at) {
      (window.front().extra ? extras : requests) -= 1;
      window.pop_front();
    }
    worst = std::max(worst, extras - kRatio * requests);
  }
  return worst;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AttemptBudgetTest)

// Guards against a sum of extra attempts above ratio and constant in any
// sliding window, since targets see only the sum. Six hosts spend all that
// their budgets allow, under changing load and without communication.
BOOST_AUTO_TEST_CASE(
    AttemptBudget_SixHostsSpendAll_SumStaysWithinBudgetInEveryWindow) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    std::vector<AttemptBudget> hosts;
    for (int i = 0; i < 6; ++i) {
      hosts.emplace_back(AttemptBudgetOptions{kRatio, kConstant, kWindow});
      hosts.back().SetShare(1.0 / 6, TimePoint(seconds(0)));
    }
    std::vector<Event> events;
    TimePoint now(seconds(60));
    for (int step = 0; step < 30000; ++step) {
      const bool quiet = (step / 6000) % 2 == 1;
      now += milliseconds(quiet ? 20 : 2);
      AttemptBudget& host = hosts[random.Below(hosts.size())];
      host.OnRequest(now);
      events.push_back({now, false});
      while (host.TrySpend(now)) {
        events.push_back({now, true});
      }
    }
    BOOST_TEST(MaxExcess(events) <= kConstant);
  }
}

// Guards against a restarted host that spends the same share twice in one
// window: the previous process may have spent it just before.
BOOST_AUTO_TEST_CASE(AttemptBudget_ProcessRestarted_ConstantStartsAtZero) {
  const TimePoint start(seconds(100));
  AttemptBudget budget({kRatio, kConstant, kWindow});
  budget.SetShare(1, start);
  BOOST_TEST(!budget.TrySpend(start));
  BOOST_TEST(budget.TrySpend(start + kWindow));
}

BOOST_AUTO_TEST_CASE(AttemptBudget_AttemptNotSent_RefundRestoresBudget) {
  const TimePoint now(seconds(100));
  AttemptBudget budget({0, 2, kWindow});
  budget.SetShare(1, TimePoint(seconds(0)));
  BOOST_TEST(budget.TrySpend(now));
  BOOST_TEST(!budget.TrySpend(now));
  budget.Refund(now);
  BOOST_TEST(budget.TrySpend(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
