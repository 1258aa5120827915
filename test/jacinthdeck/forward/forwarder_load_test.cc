// Tests of admission under overload, and of the budget of extra attempts.
#include "jacinthdeck/forward/forwarder.h"

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

BOOST_FIXTURE_TEST_SUITE(ForwarderLoadTest, ForwarderFixture)

// Guards against calls that wait beyond their objective. Targets report long
// queues, so the call is refused immediately with a retry time: its caller can
// act, and the targets spend no work on answers that are too late.
BOOST_AUTO_TEST_CASE(Overload_QueuesAreLong_RefusedImmediately) {
  WarmUp("/read/1", milliseconds(40));
  ReportLoadOfAllTargets(LoadReport{3, 18, 3, 1}, milliseconds(40));
  (void)Submit("/read/next");
  BOOST_TEST(port.sent.empty());
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kOverload));
  BOOST_TEST((OnlyAnswer().answer.retry_after >= milliseconds(100)));
}

// Guards against refusals that never end. After an overload all measured
// latencies are high, but the targets are idle. Refusing calls because of these
// latencies would prevent new measurements, and every caller would be refused
// for the lifetime of the process.
BOOST_AUTO_TEST_CASE(Overload_OverWithHighLatencies_CallsAreAdmitted) {
  WarmUp("/read/1", milliseconds(400));
  Advance(seconds(1));
  (void)Submit("/read/2");
  BOOST_TEST(port.sent.size() == 1U);
  BOOST_TEST(port.delivered.empty());
}

// Guards against refusals that never end because of short deadlines. A route
// was slow for a while, and then its callers give it less time than that. If
// past latencies alone refused all of them for too little time, a route without
// a call in flight would never measure that it is fast again, and its callers
// would be refused for the lifetime of the process.
BOOST_AUTO_TEST_CASE(Overload_OverWithShortDeadlines_OneCallIsAdmittedAtATime) {
  WarmUp("/read/1", milliseconds(400));
  Advance(seconds(1));
  (void)Submit("/read/2", milliseconds(150));
  BOOST_TEST(port.sent.size() == 1U);
  BOOST_TEST(port.delivered.empty());
  (void)Submit("/read/3", milliseconds(150));
  BOOST_TEST(port.sent.size() == 1U);
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kDeadline));
}

// Guards against a refusal that is based on an assumed latency. A standby host
// has one connection to each target and has no measured latency yet. Three
// calls use these connections, and a fourth one arrives. With an expected wait
// of 16 times an assumed latency it would be refused immediately, with a retry
// time that nobody measured. It waits for capacity instead, and gets it.
BOOST_AUTO_TEST_CASE(Overload_NoLatencyMeasured_CallWaitsForCapacity) {
  forwarder.SetHosts(6, false, clock.Now());
  for (int call = 0; call < 3; ++call) {
    (void)Submit("/read/" + std::to_string(call));
  }
  BOOST_REQUIRE_EQUAL(port.sent.size(), 3U);
  (void)Submit("/read/next");
  BOOST_TEST(port.delivered.empty());
  Advance(milliseconds(10));
  Answer(port.sent.front());
  Advance(milliseconds(10));
  BOOST_TEST(port.sent.size() == 4U);
}

// Guards against idle connections of standby hosts. A standby host serves every
// caller, but closes each connection to a target after the response. Once
// callers are sent to the host, it keeps them.
BOOST_AUTO_TEST_CASE(Connections_StandbyHost_ClosedAfterResponse) {
  forwarder.SetHosts(6, false, clock.Now());
  (void)Submit("/read/1");
  BOOST_TEST(port.sent.back().close_after_response);
  forwarder.SetHosts(6, true, clock.Now());
  (void)Submit("/read/2");
  BOOST_TEST(!port.sent.back().close_after_response);
}

// Guards against a call that keeps its single attempt to the end although slots
// become free. All targets have a queue when the hedge is due, and the first
// target never answers. The hedge must look for a free slot more than once.
BOOST_AUTO_TEST_CASE(Hedge_NoFreeSlotWhenDue_SentWhenSlotIsFree) {
  WarmUp("/read/1", milliseconds(20));
  ReportLoadOfAllTargets(LoadReport{3, 3, 3, 1}, milliseconds(20));
  (void)Submit("/read/next");
  Advance(milliseconds(150));
  BOOST_TEST(port.sent.size() == 1U);
  // The load reports have expired by now.
  Advance(milliseconds(100));
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  BOOST_TEST((port.sent[0].target.id != port.sent[1].target.id));
  Answer(port.sent[1]);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
}

// Guards against extra attempts that keep the targets slow. All targets are
// slow at the same time, and each call is due for a hedge; the extra attempts
// of all hosts together must stay within the budget.
BOOST_AUTO_TEST_CASE(Budget_AllTargetsSlow_ExtraAttemptsStayWithinBudget) {
  ForwardOptions tight_options = Options();
  tight_options.budget = {0.2, 60, seconds(10)};
  Forwarder bounded(tight_options, port, 1, clock.Now());
  bounded.SetTargets(targets, clock.Now());
  BOOST_REQUIRE(bounded.SetConfig(Config(1)));
  bounded.SetHosts(6, true, clock.Now());
  int calls = 0;
  for (int i = 0; i < 500; ++i) {
    auto request = std::make_shared<OpaqueRequest>();
    request->host = "desk.example";
    request->target = "/read/" + std::to_string(i);
    ForwardCall call;
    call.id = CallId(1000 + i);
    call.request = request;
    call.arrived = clock.Now();
    call.deadline = clock.Now() + seconds(1);
    bounded.Submit(call, clock.Now());
    ++calls;
    clock.Advance(milliseconds(10));
    bounded.OnTimer(clock.Now());
    if (port.sent.size() > 2) {
      Forwarder* const forwarder_under_test = &bounded;
      AttemptEnd end;
      end.id = port.sent[port.sent.size() - 3].id;
      end.outcome = AttemptOutcome::kResponse;
      end.response.status = 200;
      end.response.stamp = "stamp";
      forwarder_under_test->OnAttemptEnd(end, clock.Now());
    }
  }
  const auto& attempts = bounded.counters().attempts;
  const auto extra = attempts[static_cast<std::size_t>(AttemptReason::kHedge)] +
                     attempts[static_cast<std::size_t>(AttemptReason::kRetry)];
  BOOST_TEST(static_cast<double>(extra) <= 0.2 * calls + 60.0 / 6);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/*! \brief A shard with one target left, and a route to its service that was
 * just added. */
struct NewRouteFixture : ForwarderFixture {
  static constexpr Duration kWork = milliseconds(20);

  NewRouteFixture() {
    std::erase_if(targets, [](const TargetEntry& entry) {
      return entry.service == ServiceId("shard-0") &&
             entry.id != TargetId("shard-0/0");
    });
    forwarder.SetTargets(targets, clock.Now());
    WarmUp("/fan/warm", kWork);
    AddRoute(seconds(1), 2);
  }

  void AddRoute(Duration objective, std::uint64_t version) {
    std::vector<Route> routes = Routes();
    Route added = MakeRoute("added", RepeatRule::kIdempotent);
    added.services = {{ServiceId("shard-0"), 1}};
    added.objective = objective;
    added.priority = 2;
    added.timeout = seconds(4);
    routes.push_back(added);
    BOOST_REQUIRE(forwarder.SetConfig(Config(version, routes)));
  }

  //! Lets the remaining target report its load with an answer to a fan-out.
  void ReportLoad(const LoadReport& load) {
    (void)Submit("/fan/load");
    Advance(kWork);
    for (const OutgoingAttempt& attempt : port.sent) {
      AttemptEnd end;
      end.id = attempt.id;
      end.outcome = AttemptOutcome::kResponse;
      end.response.status = 200;
      end.response.stamp = "stamp-of-" + attempt.target.id.raw();
      end.response.body = std::string(16, 'a');
      if (attempt.target.service == ServiceId("shard-0")) {
        end.load = load;
      }
      forwarder.OnAttemptEnd(end, clock.Now());
    }
    port.sent.clear();
    port.delivered.clear();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(NewRouteTest, NewRouteFixture)

// Guards against calls of a new route that are always refused. The only target
// of the route has a queue of fan-outs with 20 ms of work each, which takes
// about 150 ms, and callers of the route would wait a second. If the wait were
// computed as if the queue held requests of the new route, it would use an
// assumed latency of 125 ms, which is never corrected while all calls are
// refused.
BOOST_AUTO_TEST_CASE(Admission_QueueOfShorterWork_NewRouteCallIsAdmitted) {
  ReportLoad(LoadReport{3, 18, 3, 1});
  (void)Submit("/added/1");
  BOOST_TEST(port.delivered.empty());
  BOOST_REQUIRE_EQUAL(port.sent.size(), 1U);
  BOOST_TEST(port.sent.front().target.id.raw() == "shard-0/0");
}

// Guards against a refusal for too little time that is based on an assumed
// latency. A new route has an objective of ten seconds, its callers wait for
// 300 ms, and the work takes some milliseconds. The assumed latency, an eighth
// of the ten seconds, must not refuse them.
BOOST_AUTO_TEST_CASE(
    Admission_LatencyUnmeasured_ShortDeadlineCallsAreAdmitted) {
  AddRoute(seconds(10), 3);
  (void)Submit("/added/1", milliseconds(300));
  (void)Submit("/added/2", milliseconds(300));
  BOOST_TEST(port.delivered.empty());
  BOOST_TEST(port.sent.size() == 2U);
}

// Guards against an assumed latency that ends the wait for capacity. A call of
// a new route waits for its only target, and its caller for 300 ms. Capacity is
// free after 10 ms. The assumed latency of 1.25 s, an eighth of the objective,
// must not end the wait before.
BOOST_AUTO_TEST_CASE(
    Admission_LatencyUnmeasured_ShortDeadlineCallWaitsForCapacity) {
  AddRoute(seconds(10), 3);
  forwarder.SetHosts(6, true, clock.Now());
  (void)Submit("/added/1");
  (void)Submit("/added/2");
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  (void)Submit("/added/3", milliseconds(300));
  Advance(milliseconds(10));
  BOOST_TEST(port.delivered.empty());
  Answer(port.sent.front());
  Advance(milliseconds(10));
  BOOST_TEST(port.sent.size() == 3U);
}

// Guards against fan-outs that use up this host's share of the last target of a
// shard, although three of four shards are enough for them. A call for the
// service of that shard has no other target: without capacity it would be
// refused immediately, while fan-outs are still answered.
BOOST_AUTO_TEST_CASE(
    Admission_SearchesUseAllCapacity_SingleServiceCallIsAdmitted) {
  forwarder.SetHosts(6, true, clock.Now());
  for (int search = 0; search < 4; ++search) {
    (void)Submit("/fan/" + std::to_string(search));
  }
  port.sent.clear();
  (void)Submit("/added/1");
  BOOST_TEST(port.delivered.empty());
  BOOST_REQUIRE_EQUAL(port.sent.size(), 1U);
  BOOST_TEST(port.sent.front().target.id.raw() == "shard-0/0");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
