// Tests of the credentials that the soak's callers send.
#include "soak/credentials.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "soak/account.h"

namespace jacinthdeck::soak {

struct CredentialsFixture {
  Random random{1};
  const std::vector<Account> accounts = InitialAccounts();

  [[nodiscard]] std::set<std::string> DrawKeys(CallerRole role) {
    std::set<std::string> keys;
    for (int draw = 0; draw < 200; ++draw) {
      keys.insert(DrawCredentials(role, random).key);
    }
    return keys;
  }

  [[nodiscard]] const Account& Find(const std::string& name) const {
    return *std::ranges::find(accounts, name, &Account::name);
  }
};

BOOST_FIXTURE_TEST_SUITE(CredentialsTest, CredentialsFixture)

BOOST_AUTO_TEST_CASE(Callers_OfABusyAccount_SendEachOfItsKeys) {
  const std::vector<std::string> all = AllKeysOf(kBusyAccount);
  BOOST_TEST((DrawKeys(CallerRole::kBusy) ==
              std::set<std::string>(all.begin(), all.end())));
}

// Guards against callers of the small account that are refused for their key,
// after which nothing would show whether the account's limit refuses any.
BOOST_AUTO_TEST_CASE(Callers_OfTheSmallAccount_SendKeysThatAreInForce) {
  const std::vector<std::string>& held = Find(kSmallAccount).keys;
  BOOST_TEST((DrawKeys(CallerRole::kSmall) ==
              std::set<std::string>(held.begin(), held.end())));
}

BOOST_AUTO_TEST_CASE(Strangers_Call_SendNoKeyOrAnUnknownOne) {
  const std::set<std::string> keys = DrawKeys(CallerRole::kStranger);
  BOOST_TEST(keys.size() == 2U);
  BOOST_TEST(keys.contains(""));
  for (const Account& account : accounts) {
    for (const std::string& key : AllKeysOf(account.name)) {
      BOOST_TEST(!keys.contains(key));
    }
  }
}

BOOST_AUTO_TEST_CASE(Callers_ForgeAccounts_NowAndThen) {
  int forged = 0;
  for (int draw = 0; draw < 600; ++draw) {
    const Credentials drawn = DrawCredentials(CallerRole::kBusy, random);
    forged += drawn.forged_account.empty() ? 0 : 1;
  }
  BOOST_TEST(forged > 50);
  BOOST_TEST(forged < 200);
}

BOOST_AUTO_TEST_CASE(Callers_OfTheSmallAccount_KeepToItsLimit) {
  int callers = 0;
  for (std::size_t caller = 0; caller < 40; ++caller) {
    callers += RoleOf(caller) == CallerRole::kSmall ? 1 : 0;
  }
  const Account& small = Find(kSmallAccount);
  BOOST_TEST(callers <= small.burst);
  for (int draw = 0; draw < 200; ++draw) {
    const double seconds =
        std::chrono::duration<double>(DrawSmallPause(random)).count();
    BOOST_TEST(callers / seconds < small.rate);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
