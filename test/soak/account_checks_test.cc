// Tests that the soak's checks report a violation of each promise about client
// accounts.
#include "soak/account_checks.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "jacinthdeck/http/status.h"
#include "soak/checks.h"

namespace jacinthdeck::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAccountEntry = 3;
constexpr const char* kBusyKey = "key-busy-a";
constexpr const char* kSpareKey = "key-busy-c";
constexpr const char* kSmallKey = "key-small-a";
constexpr const char* kUnlimitedKey = "key-unlimited-a";

[[nodiscard]] TimePoint TimeAfterStart(Duration since_start) {
  return TimePoint(seconds(100)) + since_start;
}

struct AccountChecksFixture {
  History history;

  AccountChecksFixture() {
    history.account_versions = {
        {TimeAfterStart({}), TimePoint::max(), InitialAccounts()}};
    history.account_settings.slack = 3;
    history.calm_since = TimeAfterStart(seconds(1000));
  }

  [[nodiscard]] std::vector<Account>& accounts() {
    return history.account_versions.back().accounts;
  }

  //! Adds a version that replaces the last one at a time, with equal accounts.
  void AddVersion(Duration at) {
    history.account_versions.back().replaced =
        TimeAfterStart(at + milliseconds(1));
    history.account_versions.push_back(
        {TimeAfterStart(at), TimePoint::max(), accounts()});
  }

  //! Adds a query that was answered 20 ms after it was sent.
  Call& AddCall(Duration sent, const std::string& key) {
    Call call;
    call.id = std::to_string(history.calls.size());
    call.kind = CallKind::kQuery;
    call.credentials.key = key;
    call.entry = kAccountEntry;
    call.sent = TimeAfterStart(sent);
    call.ended = TimeAfterStart(sent + milliseconds(20));
    call.status = http_status::kOk;
    call.records = {{1, 0, HashOf(call.id)}};
    history.calls.push_back(call);
    return history.calls.back();
  }

  Call& AddRefusal(Duration sent, const std::string& key, int status) {
    Call& call = AddCall(sent, key);
    call.status = status;
    call.records.clear();
    return call;
  }

  //! Adds a run of the last call, 10 ms after it was sent.
  Run& AddRun(const std::string& account) {
    const Call& call = history.calls.back();
    history.runs.push_back(
        {call.id, "t1", call.sent + milliseconds(10), account, false});
    return history.runs.back();
  }

  //! Adds calls of an account that ran, from a time on.
  void AddRuns(int count, Duration first, Duration every) {
    for (int index = 0; index < count; ++index) {
      AddCall(first + index * every, kBusyKey);
      AddRun(kBusyAccount);
    }
  }

  //! Lasts until 12 s; changes must have come 4 s after it.
  void AddFault(std::size_t entry) {
    history.fault_periods.push_back({entry, FaultEffect::kPropagation,
                                     TimeAfterStart(seconds(9)),
                                     TimeAfterStart(seconds(12))});
  }

  [[nodiscard]] bool BreaksOnly(Promise promise) const {
    const std::vector<Violation> found = FindViolations(history);
    for (const Violation& violation : found) {
      BOOST_TEST_MESSAGE(violation.text);
    }
    return found.size() == 1 && found.front().promise == promise;
  }

  [[nodiscard]] bool HoldsAll() const {
    for (const Violation& violation : FindViolations(history)) {
      BOOST_TEST_MESSAGE(violation.text);
    }
    return FindViolations(history).empty();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AccountChecksTest, AccountChecksFixture)

// The limit is 10 per second and a burst of 10: (10 * 5 + 10) * 1.1 + 3 = 69.
BOOST_AUTO_TEST_CASE(Account_ExceedsItsLimitInAWindow_IsReported) {
  AddRuns(69, seconds(1), milliseconds(10));
  BOOST_TEST(HoldsAll());
  AddRuns(1, seconds(5), milliseconds(10));
  BOOST_TEST(BreaksOnly(Promise::kLimitHolds));
}

BOOST_AUTO_TEST_CASE(Account_ExceedsItsLimitOverMoreThanAWindow_IsAllowed) {
  AddRuns(69, seconds(1), milliseconds(10));
  AddRuns(60, seconds(7), milliseconds(10));
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(Request_RunsAtManyTargets_CountsOnce) {
  AddRuns(69, seconds(1), milliseconds(10));
  AddRun(kBusyAccount).target = "t2";
  BOOST_TEST(HoldsAll());
}

// A stopped target runs what it had received seconds ago; the time of admission
// is not known then.
BOOST_AUTO_TEST_CASE(Requests_RunLaterThanTheyWereSent_CountWhereCertain) {
  AddRuns(60, seconds(1), milliseconds(10));
  AddRuns(60, seconds(6), milliseconds(10));
  for (Run& run : history.runs) {
    run.at = TimeAfterStart(seconds(7));
  }
  BOOST_TEST(HoldsAll());
  AddRuns(10, seconds(8), milliseconds(10));
  BOOST_TEST(BreaksOnly(Promise::kLimitHolds));
}

BOOST_AUTO_TEST_CASE(Account_HasNoLimit_IsNotHeldToOne) {
  for (int index = 0; index < 500; ++index) {
    AddCall(seconds(1), kUnlimitedKey);
    AddRun(kUnlimitedAccount);
  }
  BOOST_TEST(HoldsAll());
}

// The lowered limit allows (5 * 5 + 5) * 1.1 + 3 = 36 from 18 s on: 3 s until
// all entries have it, and a window.
BOOST_AUTO_TEST_CASE(Limit_IsLowered_BindsOneWindowAfterAllHaveIt) {
  AddVersion(seconds(10));
  accounts().front().rate = 5;
  accounts().front().burst = 5;
  AddRuns(60, milliseconds(12900), milliseconds(10));
  BOOST_TEST(HoldsAll());
  AddRuns(37, milliseconds(18100), milliseconds(10));
  BOOST_TEST(BreaksOnly(Promise::kLimitHolds));
}

BOOST_AUTO_TEST_CASE(Limit_IsLoweredWhileAnEntryIsCutOff_BindsLater) {
  AddVersion(seconds(10));
  accounts().front().rate = 5;
  accounts().front().burst = 5;
  AddFault(kAccountEntry + 1);
  AddRuns(60, milliseconds(20900), milliseconds(1));
  BOOST_TEST(HoldsAll());
  AddRuns(37, milliseconds(27000), milliseconds(10));
  BOOST_TEST(BreaksOnly(Promise::kLimitHolds));
}

BOOST_AUTO_TEST_CASE(Target_GetsAKey_IsReported) {
  AddCall(seconds(1), kBusyKey);
  Run& run = AddRun(kBusyAccount);
  BOOST_TEST(HoldsAll());
  run.has_key = true;
  BOOST_TEST(BreaksOnly(Promise::kKeyIsNotPassedOn));
}

BOOST_AUTO_TEST_CASE(Target_GetsAnotherAccountThanTheKeys_IsReported) {
  AddCall(seconds(1), kBusyKey).credentials.forged_account = kUnlimitedAccount;
  Run& run = AddRun(kBusyAccount);
  BOOST_TEST(HoldsAll());
  run.account = kUnlimitedAccount;
  BOOST_TEST(BreaksOnly(Promise::kAccountIsTrue));
  run.account.clear();
  BOOST_TEST(BreaksOnly(Promise::kAccountIsTrue));
}

BOOST_AUTO_TEST_CASE(Target_GetsAnAccountOnAPublicRoute_IsReported) {
  Call& call = AddCall(seconds(1), kBusyKey);
  call.kind = CallKind::kPublic;
  call.credentials.forged_account = kUnlimitedAccount;
  Run& run = AddRun("");
  BOOST_TEST(HoldsAll());
  run.account = kUnlimitedAccount;
  BOOST_TEST(BreaksOnly(Promise::kAccountIsTrue));
}

BOOST_AUTO_TEST_CASE(Lookup_IsOverTheLimitAndRan_IsReported) {
  AddRefusal(seconds(1), kBusyKey, http_status::kTooManyRequests).kind =
      CallKind::kLookup;
  BOOST_TEST(HoldsAll());
  AddRun(kBusyAccount);
  BOOST_TEST(BreaksOnly(Promise::kRefusedNeverRan));
}

BOOST_AUTO_TEST_CASE(Lookup_IsUnauthorizedAndRan_IsReported) {
  AddFault(kAccountEntry);
  AddRefusal(seconds(10), kBusyKey, http_status::kUnauthorized).kind =
      CallKind::kLookup;
  BOOST_TEST(HoldsAll());
  AddRun(kBusyAccount);
  BOOST_TEST(BreaksOnly(Promise::kRefusedNeverRan));
}

BOOST_AUTO_TEST_CASE(SmallAccount_IsLimitedWithinItsLimit_IsReported) {
  history.calm_since = TimeAfterStart(seconds(10));
  for (int second = 0; second < 20; ++second) {
    AddCall(seconds(second), kSmallKey);
  }
  AddCall(seconds(20), kUnlimitedKey);
  BOOST_TEST(HoldsAll());
  history.calls[5].status = http_status::kTooManyRequests;
  history.calls[5].records.clear();
  BOOST_TEST(HoldsAll());
  history.calls[15].status = http_status::kTooManyRequests;
  history.calls[15].records.clear();
  BOOST_TEST(BreaksOnly(Promise::kWithinLimitIsServed));
}

// A limit that cannot be found out refuses callers as one that is exceeded.
BOOST_AUTO_TEST_CASE(SmallAccount_LimitIsUnknownInCalm_IsReported) {
  history.calm_since = TimeAfterStart(seconds(10));
  AddRefusal(seconds(9), kSmallKey, http_status::kUnavailable).reason =
      "limit_unknown";
  Call& call = AddRefusal(seconds(19), kSmallKey, http_status::kUnavailable);
  call.reason = "overload";
  BOOST_TEST(HoldsAll());
  call.reason = "limit_unknown";
  BOOST_TEST(BreaksOnly(Promise::kWithinLimitIsServed));
}

BOOST_AUTO_TEST_CASE(Account_IsLimitedAfterItExceededItsLimit_IsAllowed) {
  history.calm_since = TimeAfterStart(seconds(10));
  for (int second = 0; second < 20; ++second) {
    AddCall(seconds(second), kSmallKey);
  }
  for (int call = 0; call < 3; ++call) {
    AddCall(milliseconds(15100 + call), kSmallKey);
  }
  AddRefusal(seconds(19), kSmallKey, http_status::kTooManyRequests);
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(Request_RunsWithoutAKey_IsReported) {
  AddFault(kAccountEntry);
  AddCall(seconds(10), "");
  BOOST_TEST(HoldsAll());
  AddRun("");
  BOOST_TEST(BreaksOnly(Promise::kKeyIsRequired));
}

BOOST_AUTO_TEST_CASE(Request_RunsWithAnUnknownKey_IsReported) {
  AddFault(kAccountEntry);
  AddCall(seconds(10), "key-nobody");
  AddRun("");
  BOOST_TEST(BreaksOnly(Promise::kKeyIsRequired));
}

BOOST_AUTO_TEST_CASE(Request_RunsBeforeItsKeyIsAdded_IsReported) {
  AddFault(kAccountEntry);
  AddCall(milliseconds(9900), kSpareKey);
  AddRun(kBusyAccount);
  AddVersion(seconds(10));
  accounts().front().keys.emplace_back(kSpareKey);
  BOOST_TEST(BreaksOnly(Promise::kKeyIsRequired));
}

BOOST_AUTO_TEST_CASE(PublicRequest_RunsWithoutAKey_IsAllowed) {
  AddCall(seconds(1), "").kind = CallKind::kPublic;
  AddRun("");
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(RemovedKey_IsAcceptedAfterTheBound_IsReported) {
  AddVersion(seconds(10));
  std::erase(accounts().front().keys, kBusyKey);
  AddCall(milliseconds(12900), kBusyKey);
  AddRun(kBusyAccount);
  BOOST_TEST(HoldsAll());
  AddCall(milliseconds(13100), kBusyKey);
  AddRun(kBusyAccount);
  BOOST_TEST(BreaksOnly(Promise::kRemovedKeyIsRefused));
}

BOOST_AUTO_TEST_CASE(RemovedKey_AtAnEntryThatIsCutOff_IsBoundInStrictMode) {
  AddVersion(seconds(10));
  std::erase(accounts().front().keys, kBusyKey);
  AddFault(kAccountEntry);
  AddCall(milliseconds(14900), kBusyKey);
  AddRun(kBusyAccount);
  history.account_settings.strict_revoke = true;
  BOOST_TEST(HoldsAll());
  AddCall(milliseconds(15100), kBusyKey);
  AddRun(kBusyAccount);
  BOOST_TEST(BreaksOnly(Promise::kRemovedKeyIsRefused));
  history.account_settings.strict_revoke = false;
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(RemovedKey_ReturnsWithARestoredStore_IsAllowed) {
  const std::vector<Account> before = accounts();
  AddVersion(seconds(10));
  std::erase(accounts().front().keys, kBusyKey);
  history.account_versions.push_back(
      {TimeAfterStart(seconds(15)), TimeAfterStart(seconds(17)), before});
  history.account_versions[1].replaced = TimeAfterStart(seconds(17));
  history.account_versions.push_back({TimeAfterStart(seconds(17)),
                                      TimePoint::max(),
                                      history.account_versions[1].accounts});
  AddCall(milliseconds(14900), kUnlimitedKey);
  AddCall(milliseconds(19900), kBusyKey);
  AddRun(kBusyAccount);
  AddRefusal(milliseconds(16900), kBusyKey, http_status::kUnauthorized);
  BOOST_TEST(HoldsAll());
  AddCall(milliseconds(20100), kBusyKey);
  AddRun(kBusyAccount);
  BOOST_TEST(BreaksOnly(Promise::kRemovedKeyIsRefused));
}

BOOST_AUTO_TEST_CASE(ValidKey_IsRefused_IsReported) {
  AddVersion(seconds(10));
  accounts().front().keys.emplace_back(kSpareKey);
  AddRefusal(milliseconds(12900), kSpareKey, http_status::kUnauthorized);
  BOOST_TEST(HoldsAll());
  AddRefusal(milliseconds(13100), kSpareKey, http_status::kUnauthorized);
  BOOST_TEST(BreaksOnly(Promise::kValidKeyIsTaken));
  AddFault(kAccountEntry);
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(PublicRequest_IsUnauthorized_IsReported) {
  AddRefusal(seconds(1), "", http_status::kUnauthorized).kind =
      CallKind::kPublic;
  BOOST_TEST(BreaksOnly(Promise::kValidKeyIsTaken));
}

// Guards against a busy account whose refusals hide whether the others are
// served, or make a run appear not to recover.
BOOST_AUTO_TEST_CASE(CalmPeriod_AccountsAllowRefusals_OthersMustBeServed) {
  history.calm_since = TimeAfterStart(seconds(10));
  for (int index = 0; index < 20; ++index) {
    AddCall(seconds(19), kBusyKey);
  }
  for (int index = 0; index < 20; ++index) {
    AddRefusal(seconds(20), kBusyKey, http_status::kTooManyRequests);
    AddRefusal(seconds(20), "", http_status::kUnauthorized);
  }
  AddCall(seconds(20), kUnlimitedKey);
  BOOST_TEST(HoldsAll());
  BOOST_TEST(CountCalmCalls(history).sent == 1U);
  for (int index = 0; index < 4; ++index) {
    AddRefusal(seconds(20), kUnlimitedKey, http_status::kUnavailable);
  }
  BOOST_TEST(BreaksOnly(Promise::kRecovers));
}

BOOST_AUTO_TEST_CASE(Run_HasNoAccounts_HeadersAreNotChecked) {
  history.account_versions.clear();
  AddCall(seconds(1), "").credentials.forged_account = kBusyAccount;
  AddRun(kBusyAccount).has_key = true;
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
