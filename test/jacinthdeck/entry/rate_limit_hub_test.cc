// Tests of rate limiters that are joined by sockets over loopback.
#include "jacinthdeck/entry/rate_limit_hub.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/tenancy/key_digest.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RateLimitHubFixture : RateLimitObserver {
  BoottimeClock clock;
  asio::io_context loop;
  std::map<CallId, RateVerdict> verdicts;
  RateLimitHub front{loop, clock, Options("front"), *this, 1};
  RateLimitHub other{loop, clock, Options("other"), *this, 2};
  std::vector<HostRecord> records;

  RateLimitHubFixture() {
    Tenant tenant;
    tenant.name = TenantId("acme");
    tenant.keys = {DigestOf("k")};
    tenant.rate = 1000;
    tenant.burst = 100;
    const auto table =
        std::make_shared<const TenantTable>(std::vector<Tenant>{tenant});
    for (RateLimitHub* hub : {&front, &other}) {
      BOOST_REQUIRE(Capture([&]() -> Result<bool> {
                      BOOST_LEAF_CHECK(hub->Listen({"127.0.0.1", 0}));
                      return true;
                    }).index() == 0);
      hub->SetTenants(table, clock.Now());
    }
    records = {RecordOf("front", front), RecordOf("other", other)};
  }

  static RateLimiterOptions Options(const std::string& name) {
    RateLimiterOptions options;
    options.host = HostId(name);
    options.started_ms = 1;
    return options;
  }

  static HostRecord RecordOf(const std::string& name, const RateLimitHub& hub) {
    HostRecord record;
    record.name = HostId(name);
    record.rate_limits = "127.0.0.1:" + std::to_string(hub.port());
    return record;
  }

  void OnRateVerdict(CallId call, const RateVerdict& verdict) override {
    verdicts[call] = verdict;
  }
  void OnRateMessage() override {}

  //! The first host alone serves callers, so it allocates all limits.
  void Join(const std::vector<HostRecord>& known) {
    for (RateLimitHub* hub : {&front, &other}) {
      hub->SetAddresses(known, clock.Now());
      hub->SetHosts({records[0]}, 1, hub == &front, clock.Now());
    }
  }

  bool RunUntil(const std::function<bool()>& done) {
    const TimePoint end = clock.Now() + seconds(10);
    while (!done() && clock.Now() < end) {
      loop.run_one_for(milliseconds(5));
      front.OnTimer(clock.Now());
      other.OnTimer(clock.Now());
    }
    return done();
  }

  //! Asks the host without a share until a request is admitted.
  bool OtherAdmits() {
    std::uint64_t next = 1;
    return RunUntil([&] {
      const CallId call(next++);
      const TimePoint now = clock.Now();
      const RateVerdict verdict =
          other.Admit({call, TenantId("acme"), next, now + seconds(1)}, now);
      return verdict.decision == RateDecision::kAdmitted ||
             std::ranges::any_of(verdicts, [](const auto& item) {
               return item.second.decision == RateDecision::kAdmitted;
             });
    });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimitHubTest, RateLimitHubFixture)

BOOST_AUTO_TEST_CASE(Hub_WithoutShare_IsServedByAllocator) {
  Join(records);
  BOOST_TEST(OtherAdmits());
  BOOST_TEST(other.traffic().received > 0U);
  BOOST_TEST(other.counters().damaged + other.counters().foreign == 0U);
}

// Guards against a host that refuses its last callers while it stops: its
// record is gone by then.
BOOST_AUTO_TEST_CASE(Hub_RecordIsGone_IsStillServed) {
  Join(records);
  Join({records[0]});
  BOOST_TEST(OtherAdmits());
}

// Guards against a datagram of a stranger that leases a share or takes tokens.
BOOST_AUTO_TEST_CASE(Datagram_DamagedOrForeign_IsDroppedAndCounted) {
  Join(records);
  udp::socket stranger(loop, udp::v4());
  const udp::endpoint to(asio::ip::address_v4::loopback(), front.port());
  const auto forged = EncodeRateMessage(HostId("other"), ShareRequest{1})[0];
  stranger.send_to(asio::buffer(forged), to);
  stranger.send_to(asio::buffer(std::string("GET / HTTP/1.1")), to);
  BOOST_TEST(RunUntil([&] {
    return front.counters().foreign == 1 && front.counters().damaged == 1;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
