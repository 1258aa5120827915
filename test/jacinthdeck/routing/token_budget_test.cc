// Tests of the token budget of extra attempts.
#include "jacinthdeck/routing/token_budget.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(TokenBudgetTest)

// Every attempt fails, and each failure requests another attempt. Unlimited
// retries would overload the targets and prolong the outage beyond its cause.
// The granted attempts must stay a fraction of the first attempts.
BOOST_AUTO_TEST_CASE(TokenBudget_EveryAttemptRetries_ShareIsBounded) {
  TokenBudget budget(0.1, 10);
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Earn();
    while (budget.TrySpend()) {
      ++granted;
    }
  }
  BOOST_TEST(granted <= 110);
  BOOST_TEST(granted >= 100);
}

BOOST_AUTO_TEST_CASE(TokenBudget_LongWithoutSpending_HoldsNoMoreThanTheBurst) {
  TokenBudget budget(0.5, 2);
  for (int i = 0; i < 1000; ++i) {
    budget.Earn();
  }
  BOOST_TEST(budget.TrySpend());
  BOOST_TEST(budget.TrySpend());
  BOOST_TEST(!budget.TrySpend());
}

BOOST_AUTO_TEST_CASE(TokenBudget_WithoutBurst_GrantsNothing) {
  TokenBudget budget(0.5, 0);
  budget.Earn();
  budget.Earn();
  BOOST_TEST(!budget.TrySpend());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
