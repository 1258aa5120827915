// Tests of the checks of keys and limits before a call is forwarded.
#include "jacinthdeck/entry/tenant_gate.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/tenancy/key_digest.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateVerdict kAdmit{};
constexpr RateVerdict kWait{RateDecision::kPending, {}};
constexpr RateVerdict kLimit{RateDecision::kLimited, milliseconds(1300)};
constexpr RateVerdict kNotKnown{RateDecision::kUnknown, milliseconds(40)};

struct FakeLimiter final : RequestLimiter {
  RateVerdict verdict = kAdmit;
  std::shared_ptr<const TenantTable> table;
  std::vector<RateRequest> asked;
  std::vector<CallId> cancelled;
  std::vector<std::string> refunded;

  void SetTenants(std::shared_ptr<const TenantTable> tenants,
                  TimePoint /*now*/) override {
    table = std::move(tenants);
  }
  RateVerdict Admit(const RateRequest& request, TimePoint /*now*/) override {
    asked.push_back(request);
    return verdict;
  }
  void Cancel(CallId call, TimePoint /*now*/) override {
    cancelled.push_back(call);
  }
  void Refund(const TenantId& tenant, TimePoint /*now*/) override {
    refunded.push_back(tenant.raw());
  }
};

struct GateFixture : TenantGateSink {
  ManualClock clock;
  TargetProtocol protocol = [] {
    TargetProtocol names;
    names.key = "X-Key";
    names.tenant = "X-Account";
    return names;
  }();
  FakeLimiter limiter;
  TenantGateOptions options;
  std::unique_ptr<TenantGate> gate = MakeGate();
  std::vector<ForwardCall> submitted;
  std::vector<GateRefusal> refused;
  Duration key_age{};
  std::uint64_t version = 0;
  std::uint64_t next_call = 1;

  void SubmitCall(ForwardCall call) override {
    submitted.push_back(std::move(call));
  }
  void RefuseCall(GateRefusal refusal) override {
    refused.push_back(std::move(refusal));
  }
  Duration KeyAge() const override { return key_age; }

  std::unique_ptr<TenantGate> MakeGate() {
    return std::make_unique<TenantGate>(options, protocol, limiter, *this);
  }

  static Tenant Account(const std::string& name,
                        const std::string& key,
                        double rate = 0) {
    Tenant tenant;
    tenant.name = TenantId(name);
    tenant.keys = {DigestOf(key)};
    tenant.rate = rate;
    tenant.burst = rate;
    return tenant;
  }

  static Route RouteAt(const std::string& prefix, bool is_public) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.objective = milliseconds(200);
    route.is_public = is_public;
    route.services = {{ServiceId("s"), 1}};
    return route;
  }

  void Configure(const std::vector<Tenant>& tenants, bool all_public = false) {
    gate->SetConfig(std::make_shared<const RoutingConfig>(
                        ++version,
                        std::vector<Route>{RouteAt("/a/", all_public),
                                           RouteAt("/open/", true)},
                        std::vector<ServiceConfig>{}, CallerLimits{},
                        std::make_shared<const TenantTable>(tenants)),
                    clock.Now());
  }

  CallId Call(std::vector<Header> headers,
              const std::string& target = "/a/1?q",
              TimePoint deadline = TimePoint::max()) {
    ReceivedCall received;
    received.request = std::make_shared<OpaqueRequest>();
    received.request->host = "h";
    received.request->target = target;
    received.request->headers = std::move(headers);
    received.call.id = CallId(next_call++);
    received.call.request = received.request;
    received.call.arrived = clock.Now();
    received.call.deadline = deadline;
    received.call.flow = "10.0.0.9";
    const CallId id = received.call.id;
    gate->OnCall(std::move(received), clock.Now());
    return id;
  }

  CallId KeyedCall(const std::string& key) { return Call({{"x-key", key}}); }

  void Decide(CallId call, const RateVerdict& verdict) {
    gate->OnVerdict(call, verdict);
    gate->ProcessVerdicts(clock.Now());
  }

  std::uint64_t Count(const std::string& account, GateOutcome outcome) const {
    return gate->counters().CountsOf(
        TenantId(account))[static_cast<std::size_t>(outcome)];
  }

  //! Header names and values in one text.
  static std::string HeadersOf(const ForwardCall& call) {
    std::string text;
    for (const Header& header : call.request->headers) {
      text += header.name + "=" + header.value + ";";
    }
    return text;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TenantGateTest, GateFixture)

BOOST_AUTO_TEST_CASE(Call_WithoutConfig_PassesToForwarder) {
  (void)Call({{"X-Key", "k"}, {"X-Account", "b"}});
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(HeadersOf(submitted[0]) == "");
  BOOST_TEST(refused.empty());
}

// Guards against a key that reaches a target through a host that does not know
// the first configuration with accounts yet.
BOOST_AUTO_TEST_CASE(Call_ConfigWithoutAccounts_PassesWithoutBothHeaders) {
  Configure({});
  (void)Call({{"X-Key", "k"}, {"A", "1"}, {"x-account", "b"}, {"X-Key", "2"}});
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(HeadersOf(submitted[0]) == "A=1;");
  BOOST_TEST(submitted[0].tenant.raw() == "");
  BOOST_TEST(submitted[0].request->tenant.empty());
  BOOST_TEST(submitted[0].flow == "10.0.0.9");
  BOOST_TEST(!submitted[0].priority.has_value());
  BOOST_TEST(limiter.asked.empty());
}

// Guards against a key that reaches a target, and against a caller who names
// its own account.
BOOST_AUTO_TEST_CASE(Call_KnownKey_HasAccountAndNoKey) {
  Tenant account = Account("acme", "k1");
  account.priority = 3;
  Configure({account});
  (void)Call({{"A", "1"}, {"x-KEY", "k1"}, {"X-ACCOUNT", "other"}});
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(HeadersOf(submitted[0]) == "A=1;");
  BOOST_TEST(submitted[0].tenant.raw() == "acme");
  BOOST_TEST(submitted[0].request->tenant == "acme");
  BOOST_TEST(submitted[0].flow == "acme");
  BOOST_TEST(submitted[0].priority.value() == 3U);
  // An account without a limit costs no token.
  BOOST_TEST(limiter.asked.empty());
}

// Guards against a key that is read after the headers, which hold it, have
// moved up over it: all callers are then refused.
BOOST_AUTO_TEST_CASE(Call_OtherHeadersFollowTheKey_HasAccount) {
  Configure({Account("acme", "k1")});
  (void)Call({{"X-Key", "k1"}, {"A", "1"}, {"B", "2"}});
  BOOST_TEST(refused.empty());
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(HeadersOf(submitted[0]) == "A=1;B=2;");
  BOOST_TEST(submitted[0].tenant.raw() == "acme");
}

BOOST_AUTO_TEST_CASE(Call_NoKeyUnknownKeyOrTwoKeys_IsUnauthorized) {
  Configure({Account("acme", "k1")});
  (void)Call({});
  (void)Call({{"X-Key", "k2"}});
  (void)Call({{"X-Key", ""}});
  (void)Call({{"X-Key", "k1"}, {"x-key", "k1"}});
  (void)Call({{"X-Key", std::string(8192, 'k')}});
  (void)Call({{"X-Key", std::string("k1\0\x01", 4)}});
  BOOST_TEST(submitted.empty());
  BOOST_REQUIRE_EQUAL(refused.size(), 6U);
  for (const GateRefusal& refusal : refused) {
    BOOST_TEST((refusal.answer.kind == AnswerKind::kUnauthorized));
    BOOST_TEST((refusal.answer.reason == ForwardReason::kUnknownKey));
    BOOST_TEST(!refusal.answer.retry_after.has_value());
    BOOST_TEST(refusal.trace.route != nullptr);
  }
  BOOST_TEST(gate->counters().unauthorized() == 6U);
}

// Guards against a key that is passed on where it is not checked.
BOOST_AUTO_TEST_CASE(Call_PublicOrUnknownRoute_PassesWithoutBothHeaders) {
  Configure({Account("acme", "k1", 5)});
  (void)Call({{"X-Key", "k1"}, {"X-Account", "acme"}}, "/open/1");
  (void)Call({{"X-Key", "k1"}, {"X-Account", "acme"}}, "/none/1");
  BOOST_REQUIRE_EQUAL(submitted.size(), 2U);
  for (const ForwardCall& call : submitted) {
    BOOST_TEST(HeadersOf(call).empty());
    BOOST_TEST(call.request->tenant.empty());
    BOOST_TEST(call.flow == "10.0.0.9");
  }
  BOOST_TEST(limiter.asked.empty());
}

BOOST_AUTO_TEST_CASE(Call_OldKeys_AreRefusedWithStrictRevokeOnly) {
  Configure({Account("acme", "k1")});
  key_age = seconds(60);
  (void)KeyedCall("k1");
  BOOST_TEST(submitted.size() == 1U);

  options.strict_revoke = true;
  gate = MakeGate();
  Configure({Account("acme", "k1")});
  (void)KeyedCall("k1");
  BOOST_REQUIRE_EQUAL(refused.size(), 1U);
  BOOST_TEST((refused[0].answer.kind == AnswerKind::kNotRun));
  BOOST_TEST((refused[0].answer.reason == ForwardReason::kStaleKeys));
  BOOST_TEST(refused[0].answer.retry_after.has_value());
  (void)Call({}, "/open/1");
  key_age = options.revoke_after;
  (void)KeyedCall("k1");
  BOOST_TEST(submitted.size() == 3U);
}

BOOST_AUTO_TEST_CASE(Call_OverLimitOrUnknown_IsRefusedWithTime) {
  Configure({Account("acme", "k1", 5)});
  limiter.verdict = kLimit;
  (void)KeyedCall("k1");
  limiter.verdict = kNotKnown;
  (void)KeyedCall("k1");
  BOOST_REQUIRE_EQUAL(refused.size(), 2U);
  BOOST_TEST((refused[0].answer.kind == AnswerKind::kOverLimit));
  BOOST_TEST((refused[0].answer.reason == ForwardReason::kRateLimit));
  BOOST_TEST((refused[0].answer.retry_after == kLimit.retry_after));
  BOOST_TEST(refused[0].tenant.raw() == "acme");
  BOOST_TEST((refused[1].answer.kind == AnswerKind::kNotRun));
  BOOST_TEST((refused[1].answer.reason == ForwardReason::kLimitUnknown));
  BOOST_TEST((refused[1].answer.retry_after == kNotKnown.retry_after));
  BOOST_TEST(Count("acme", GateOutcome::kLimited) == 1U);
  BOOST_TEST(Count("acme", GateOutcome::kUnknown) == 1U);
}

BOOST_AUTO_TEST_CASE(Call_Pending_IsAnsweredByVerdict) {
  Configure({Account("acme", "k1", 5)});
  limiter.verdict = kWait;
  const CallId first = KeyedCall("k1");
  const CallId second = KeyedCall("k1");
  BOOST_TEST(gate->waiting() == 2U);
  gate->OnVerdict(first, kAdmit);
  BOOST_TEST(submitted.empty());
  BOOST_TEST(gate->has_verdicts());
  gate->ProcessVerdicts(clock.Now());
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(submitted[0].tenant.raw() == "acme");
  Decide(second, kLimit);
  BOOST_REQUIRE_EQUAL(refused.size(), 1U);
  // A verdict that arrives twice is ignored.
  Decide(first, kAdmit);
  BOOST_TEST(submitted.size() == 1U);
  BOOST_TEST(gate->waiting() == 0U);
}

// Guards against a token that is lost with its caller, and against one that is
// given back twice.
BOOST_AUTO_TEST_CASE(Caller_LeavesWhileCallWaits_RequestIsWithdrawn) {
  Configure({Account("acme", "k1", 5)});
  limiter.verdict = kWait;
  const CallId undecided = KeyedCall("k1");
  const CallId decided = KeyedCall("k1");
  gate->OnVerdict(decided, kAdmit);
  BOOST_TEST(gate->OnCallerLeft(undecided, clock.Now()));
  BOOST_TEST(gate->OnCallerLeft(decided, clock.Now()));
  BOOST_TEST(!gate->OnCallerLeft(decided, clock.Now()));
  gate->ProcessVerdicts(clock.Now());
  BOOST_TEST(submitted.empty());
  BOOST_TEST((limiter.cancelled == std::vector<CallId>{undecided}));
  BOOST_TEST(limiter.refunded == std::vector<std::string>{"acme"});
}

BOOST_AUTO_TEST_CASE(CallEnd_NotRun_RefundsOnce) {
  Configure({Account("acme", "k1", 5), Account("free", "k2")});
  const CallId not_run = KeyedCall("k1");
  const CallId run = KeyedCall("k1");
  const CallId unlimited = KeyedCall("k2");
  gate->OnCallEnd(not_run, false, clock.Now());
  gate->OnCallEnd(not_run, false, clock.Now());
  gate->OnCallEnd(run, true, clock.Now());
  gate->OnCallEnd(unlimited, false, clock.Now());
  BOOST_TEST(limiter.refunded == std::vector<std::string>{"acme"});
  BOOST_TEST(Count("acme", GateOutcome::kAdmitted) == 2U);
  BOOST_TEST(Count("acme", GateOutcome::kRefunded) == 1U);
}

// Guards against a removed key that still admits the calls that wait.
BOOST_AUTO_TEST_CASE(Config_RemovesKeyOfWaitingCalls_AreUnauthorized) {
  Configure({Account("acme", "k1", 5)});
  limiter.verdict = kWait;
  const CallId undecided = KeyedCall("k1");
  const CallId decided = KeyedCall("k1");
  gate->OnVerdict(decided, kAdmit);
  Configure({Account("acme", "k9", 5)});
  BOOST_TEST(refused.size() == 2U);
  BOOST_TEST(gate->counters().unauthorized() == 2U);
  BOOST_TEST((limiter.cancelled == std::vector<CallId>{undecided}));
  BOOST_TEST(limiter.refunded == std::vector<std::string>{"acme"});
  BOOST_TEST(gate->waiting() == 0U);
}

// Guards against a call that is charged to the account that had its key before.
BOOST_AUTO_TEST_CASE(Config_MovesKeyOfWaitingCall_NewAccountIsAsked) {
  Configure({Account("acme", "k1", 5), Account("b", "k2", 5)});
  limiter.verdict = kWait;
  const CallId call = KeyedCall("k1");
  const TimePoint decide_by = limiter.asked[0].decide_by;
  Configure({Account("acme", "k9", 5), Account("b", "k1", 5)});
  BOOST_TEST((limiter.cancelled == std::vector<CallId>{call}));
  BOOST_REQUIRE_EQUAL(limiter.asked.size(), 2U);
  BOOST_TEST(limiter.asked[1].tenant.raw() == "b");
  BOOST_TEST((limiter.asked[1].decide_by == decide_by));
  // The table is set before the limiter is asked for the new account.
  BOOST_TEST(limiter.table->tenants().size() == 2U);
  Decide(call, kAdmit);
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(submitted[0].request->tenant == "b");
}

BOOST_AUTO_TEST_CASE(Config_ChangesWhileCallWaits_CallKeepsWaiting) {
  Configure({Account("acme", "k1", 5)});
  limiter.verdict = kWait;
  const CallId call = KeyedCall("k1");
  Tenant urgent = Account("acme", "k1", 7);
  urgent.priority = 0;
  Configure({urgent});
  BOOST_TEST(limiter.cancelled.empty());
  BOOST_TEST(limiter.asked.size() == 1U);
  Decide(call, kAdmit);
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(submitted[0].priority.value() == 0U);
}

BOOST_AUTO_TEST_CASE(Config_RemovesAccountsOrLimit_WaitingCallsAreSubmitted) {
  for (const bool keeps_account : {false, true}) {
    Configure({Account("acme", "k1", 5)});
    limiter.verdict = kWait;
    (void)KeyedCall("k1");
    submitted.clear();
    Configure(keeps_account ? std::vector{Account("acme", "k1")}
                            : std::vector<Tenant>{});
    BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
    BOOST_TEST(submitted[0].request->tenant == (keeps_account ? "acme" : ""));
    BOOST_TEST(HeadersOf(submitted[0]).empty());
  }
  BOOST_TEST(limiter.cancelled.size() == 2U);
  Configure({Account("acme", "k1", 5)});
  (void)KeyedCall("k1");
  submitted.clear();
  Configure({Account("acme", "k1", 5)}, true);
  BOOST_REQUIRE_EQUAL(submitted.size(), 1U);
  BOOST_TEST(submitted[0].request->tenant.empty());
}

BOOST_AUTO_TEST_CASE(DecideBy_IsQuarterOfObjectiveAndBeforeDeadline) {
  Configure({Account("acme", "k1", 5)});
  clock.Advance(seconds(100));
  const TimePoint now = clock.Now();
  (void)KeyedCall("k1");
  (void)Call({{"X-Key", "k1"}}, "/a/1", now + milliseconds(30));
  (void)Call({{"X-Key", "k1"}}, "/a/1", now + milliseconds(3));
  BOOST_TEST((limiter.asked[0].decide_by - now == milliseconds(50)));
  BOOST_TEST((limiter.asked[1].decide_by < now + milliseconds(30)));
  BOOST_TEST((limiter.asked[2].decide_by == now));
  BOOST_TEST(limiter.asked[1].request_hash == limiter.asked[2].request_hash);
  BOOST_TEST(limiter.asked[0].request_hash != limiter.asked[1].request_hash);
}

BOOST_AUTO_TEST_CASE(Counters_ManyAccounts_TopAndRestSumUp) {
  std::vector<Tenant> accounts;
  accounts.reserve(30);
  for (int index = 0; index < 30; ++index) {
    accounts.push_back(
        Account("t" + std::to_string(index), "k" + std::to_string(index)));
  }
  Configure(accounts);
  for (int index = 0; index < 30; ++index) {
    for (int call = 0; call <= index; ++call) {
      (void)KeyedCall("k" + std::to_string(index));
    }
  }
  const auto top = gate->counters().Top(AccountCounters::kListed);
  BOOST_REQUIRE_EQUAL(top.size(), 20U);
  BOOST_TEST(top[0].tenant.raw() == "t29");
  BOOST_TEST(top[0].counts[0] == 30U);
  // t0 to t9 have 1 to 10 requests.
  BOOST_TEST(gate->counters().Rest(top)[0] == 55U);
  accounts.pop_back();
  Configure(accounts);
  BOOST_TEST(gate->counters().Rest(gate->counters().Top(20))[0] == 45U + 30U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
