// Tests of a single rate limiter and its port.
#include "jacinthdeck/tenancy/rate_limiter.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RecordingPort : RateLimiterPort {
  std::vector<std::pair<HostId, RateMessage>> sent;
  std::map<CallId, RateVerdict> verdicts;

  void SendRateMessage(const HostId& to, const RateMessage& message) override {
    sent.emplace_back(to, message);
  }
  void OnRateVerdict(CallId call, const RateVerdict& verdict) override {
    BOOST_TEST(verdicts.emplace(call, verdict).second);
  }
  template <typename Message>
  [[nodiscard]] std::size_t CountOf() const {
    std::size_t count = 0;
    for (const auto& [to, message] : sent) {
      count += std::holds_alternative<Message>(message) ? 1 : 0;
    }
    return count;
  }
};

struct RateLimiterFixture {
  const HostId self{"self"};
  const HostId other{"other"};
  const TenantId tenant{"tenant"};
  TimePoint now{seconds(100)};
  RecordingPort port;
  RateLimiter limiter{{.host = self, .started_ms = 1000, .slack = 0},
                      port,
                      1,
                      now};
  std::uint64_t calls = 0;

  static std::shared_ptr<const TenantTable> Table(double rate, double burst) {
    Tenant tenant;
    tenant.name = TenantId("tenant");
    tenant.rate = rate;
    tenant.burst = burst;
    return std::make_shared<const TenantTable>(std::vector{tenant});
  }

  void SetHosts(const std::vector<HostId>& fronts, bool has_share) {
    limiter.SetHosts(fronts, static_cast<std::uint32_t>(fronts.size()),
                     has_share, now);
  }

  RateDecision Admit(Duration patience = milliseconds(100)) {
    ++calls;
    return limiter.Admit({CallId(calls), tenant, calls, now + patience}, now)
        .decision;
  }

  void RunFor(Duration duration) {
    const TimePoint end = now + duration;
    while (limiter.NextTimer() && *limiter.NextTimer() <= end) {
      now = std::max(now, *limiter.NextTimer());
      limiter.OnTimer(now);
    }
    now = end;
  }
};

BOOST_FIXTURE_TEST_SUITE(RateLimiterTest, RateLimiterFixture)

// Guards against timers and messages where no account has a limit.
BOOST_AUTO_TEST_CASE(SetTenants_NoLimits_NoTimerAndNoMessage) {
  limiter.SetTenants(Table(0, 0), now);
  SetHosts({self, other}, true);
  BOOST_TEST((Admit() == RateDecision::kAdmitted));
  BOOST_TEST(!limiter.NextTimer().has_value());
  BOOST_TEST(port.sent.empty());
}

// Guards against a single host that waits for others.
BOOST_AUTO_TEST_CASE(Admit_OnlyHost_DecidesAtOnce) {
  SetHosts({self}, true);
  limiter.SetTenants(Table(10, 5), now);
  RunFor(seconds(2));
  std::map<RateDecision, int> decisions;
  for (int i = 0; i < 20; ++i) {
    ++decisions[Admit()];
  }
  BOOST_TEST(decisions[RateDecision::kAdmitted] >= 4);
  BOOST_TEST(decisions[RateDecision::kLimited] >= 14);
  BOOST_TEST(decisions[RateDecision::kPending] == 0);
  BOOST_TEST(port.sent.empty());
}

// Guards against a limiter that goes on with the limits of an old
// configuration, and against pending requests that get no verdict.
BOOST_AUTO_TEST_CASE(SetTenants_LimitRemoved_PendingAdmittedAndTimersEnd) {
  SetHosts({other}, false);
  limiter.SetTenants(Table(10, 5), now);
  BOOST_TEST((Admit() == RateDecision::kPending));
  BOOST_TEST(limiter.StatusOf(tenant, now)->pending == 1U);
  limiter.SetTenants(Table(0, 0), now);
  BOOST_TEST((port.verdicts.at(CallId(1)).decision == RateDecision::kAdmitted));
  BOOST_TEST(!limiter.NextTimer().has_value());
}

// Guards against a request without a verdict when no host answers.
BOOST_AUTO_TEST_CASE(Admit_NoAnswer_UnknownInTime) {
  SetHosts({other}, false);
  limiter.SetTenants(Table(10, 5), now);
  BOOST_TEST((Admit() == RateDecision::kPending));
  RunFor(milliseconds(100));
  const RateVerdict verdict = port.verdicts.at(CallId(1));
  BOOST_TEST((verdict.decision == RateDecision::kUnknown));
  BOOST_TEST(verdict.retry_after.count() > 0);
  BOOST_TEST(port.CountOf<TokenRequest>() >= 3U);
}

// Guards against a verdict for a caller who has left.
BOOST_AUTO_TEST_CASE(Cancel_Pending_NoVerdict) {
  SetHosts({other}, false);
  limiter.SetTenants(Table(10, 5), now);
  BOOST_TEST((Admit() == RateDecision::kPending));
  limiter.Cancel(CallId(1), now);
  RunFor(seconds(1));
  BOOST_TEST(port.verdicts.empty());
}

// Guards against an answer to an earlier process, from another host, or with a
// number that was not sent.
BOOST_AUTO_TEST_CASE(OnMessage_ForeignGrant_Ignored) {
  SetHosts({other}, false);
  limiter.SetTenants(Table(10, 5), now);
  BOOST_TEST((Admit() == RateDecision::kPending));
  const TokenAward award{tenant, 1, 0, {}};
  limiter.OnMessage(other, TokenGrant{1, 999, {award}}, now);
  limiter.OnMessage(other, TokenGrant{2, 1000, {award}}, now);
  limiter.OnMessage(HostId("third"), TokenGrant{1, 1000, {award}}, now);
  BOOST_TEST(port.verdicts.empty());
  limiter.OnMessage(other, TokenGrant{1, 1000, {award}}, now);
  BOOST_TEST((port.verdicts.at(CallId(1)).decision == RateDecision::kAdmitted));
  limiter.OnMessage(other, TokenGrant{1, 1000, {award}}, now);
  BOOST_TEST(limiter.messages().ignored == 4U);
}

// Guards against tokens that are lost with requests that did not run.
BOOST_AUTO_TEST_CASE(Refund_OnlyHost_TokenIsUsedAgain) {
  SetHosts({self}, true);
  limiter.SetTenants(Table(1, 3), now);
  RunFor(seconds(10));
  int admitted = 0;
  while (Admit() == RateDecision::kAdmitted) {
    ++admitted;
  }
  BOOST_TEST(admitted >= 2);
  limiter.Refund(tenant, now);
  BOOST_TEST((Admit() == RateDecision::kAdmitted));
  BOOST_TEST((Admit() == RateDecision::kLimited));
}

// Guards against memory and work for accounts that are configured but idle.
BOOST_AUTO_TEST_CASE(OnTimer_AccountIdle_Forgotten) {
  SetHosts({self}, true);
  limiter.SetTenants(Table(10, 5), now);
  RunFor(seconds(2));
  BOOST_TEST((Admit() == RateDecision::kAdmitted));
  BOOST_TEST(limiter.Snapshot(now).accounts.size() == 1U);
  RunFor(seconds(10));
  BOOST_TEST(limiter.Snapshot(now).accounts.empty());
  BOOST_TEST(!limiter.NextTimer().has_value());
}

// Guards against an allocator that counts a repeated request twice.
BOOST_AUTO_TEST_CASE(OnMessage_RequestRepeated_CountedOnce) {
  SetHosts({self}, true);
  limiter.SetTenants(Table(1, 3), now);
  RunFor(seconds(10));
  const TokenRequest request{1, 50, {{tenant, 0, {77}}}};
  limiter.OnMessage(other, request, now);
  const double level = limiter.StatusOf(tenant, now)->level;
  limiter.OnMessage(other, request, now);
  BOOST_TEST(limiter.StatusOf(tenant, now)->level == level);
  BOOST_TEST(port.CountOf<TokenGrant>() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace jacinthdeck
