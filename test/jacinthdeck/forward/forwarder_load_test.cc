// Tests of load above capacity and of budgets.
#include "jacinthdeck/forward/forwarder.h"

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

BOOST_FIXTURE_TEST_SUITE(ForwarderLoadTest, ForwarderFixture)

// Targets report long queues. A call that would wait beyond its objective is
// refused at once with a time to come back, so that its caller can act, and
// the targets keep to work that is still of use.
BOOST_AUTO_TEST_CASE(Overload_QueuesAreLong_RefusedImmediately) {
  WarmUp("/read/1", milliseconds(40));
  ReportLoadOfAllTargets(LoadReport{3, 18, 3, 1}, milliseconds(40));
  (void)Submit("/read/next");
  BOOST_TEST(port.sent.empty());
  BOOST_TEST((OnlyAnswer().answer.reason == ForwardReason::kOverload));
  BOOST_TEST((OnlyAnswer().answer.retry_after >= milliseconds(100)));
}

// After an overload all latencies that were learned are high, but the targets
// are idle. Refusals would keep new latencies from being learned, and every
// caller would be refused for as long as the process lives.
BOOST_AUTO_TEST_CASE(Overload_OverWithHighLatencies_CallsAreAdmitted) {
  WarmUp("/read/1", milliseconds(400));
  Advance(seconds(1));
  (void)Submit("/read/2");
  BOOST_TEST(port.sent.size() == 1U);
  BOOST_TEST(port.delivered.empty());
}

// A route was slow for a while, then its callers give it less time than that.
// "Too little time" is told to all of them on the word of past latencies, and a
// route without a call under way never learns that it is fast again: its
// callers would be refused for as long as the process lives.
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

// A host that stands by has one connection a target, and has answered nothing
// yet. Three calls hold those there are; a fourth comes. Told of a wait of 16
// times a guess it would be refused at once, with a time to come back that
// nobody has measured. It looks for a place, and one comes free.
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

// A host that stands by serves whoever comes, and gives each connection to a
// target back; once callers are sent to it, it keeps them.
BOOST_AUTO_TEST_CASE(Connections_StandbyHost_ClosedAfterResponse) {
  forwarder.SetHosts(6, false, clock.Now());
  (void)Submit("/read/1");
  BOOST_TEST(port.sent.back().close_after_response);
  forwarder.SetHosts(6, true, clock.Now());
  (void)Submit("/read/2");
  BOOST_TEST(!port.sent.back().close_after_response);
}

// All targets have a queue when the hedge falls due, and its first target never
// answers. A hedge that looks for a free slot once leaves the call with that
// one attempt to its end, though slots come free soon after; it must look
// again.
BOOST_AUTO_TEST_CASE(Hedge_NoFreeSlotWhenDue_SentWhenSlotIsFree) {
  WarmUp("/read/1", milliseconds(20));
  ReportLoadOfAllTargets(LoadReport{3, 3, 3, 1}, milliseconds(20));
  (void)Submit("/read/next");
  Advance(milliseconds(150));
  BOOST_TEST(port.sent.size() == 1U);
  // The reports are too old by now to tell of a queue.
  Advance(milliseconds(100));
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  BOOST_TEST((port.sent[0].target.id != port.sent[1].target.id));
  Answer(port.sent[1]);
  BOOST_TEST((OnlyAnswer().answer.kind == AnswerKind::kResponse));
}

// Every target is slow at once, and each call asks for a hedge. The extra
// attempts of all hosts together must stay within the budget, or they become
// the load that keeps the targets slow.
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
    ForwardCall call{CallId(1000 + i), request, clock.Now(),
                     clock.Now() + seconds(1)};
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
 * added a moment ago. */
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

  //! The target that is left tells of its load with an answer to a search.
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

// A route is added whose only target has a queue of searches, 20 ms of work
// each: some 150 ms to wait. Its callers, who would wait a second, are told
// "not run" at once, each time they come: the wait is reckoned as if the queue
// were made of the added route's own requests, and what those take is a guess
// of 125 ms that nobody can correct while all of them are refused.
BOOST_AUTO_TEST_CASE(Admission_QueueOfShorterWork_NewRouteCallIsAdmitted) {
  ReportLoad(LoadReport{3, 18, 3, 1});
  (void)Submit("/added/1");
  BOOST_TEST(port.delivered.empty());
  BOOST_REQUIRE_EQUAL(port.sent.size(), 1U);
  BOOST_TEST(port.sent.front().target.id.raw() == "shard-0/0");
}

// Nothing is known of an added route but that its operator allows ten seconds;
// its callers wait for 300 ms, and the work takes some milliseconds. A guess of
// an eighth of the ten seconds must not tell them that this is too little.
BOOST_AUTO_TEST_CASE(
    Admission_LatencyUnmeasured_ShortDeadlineCallsAreAdmitted) {
  AddRoute(seconds(10), 3);
  (void)Submit("/added/1", milliseconds(300));
  (void)Submit("/added/2", milliseconds(300));
  BOOST_TEST(port.delivered.empty());
  BOOST_TEST(port.sent.size() == 2U);
}

// A call of an added route waits for a place at its only target, and its caller
// for 300 ms. One comes free after 10 ms. A guess of 1.25 s for the work, an
// eighth of what the operator allows, must not end the wait before.
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

// Searches hold this host's places at the one target that a shard has left,
// though three of four shards are enough for them. A call for that shard's
// service has no other target: without a place it is told "not run" at once,
// while searches go on being answered.
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
