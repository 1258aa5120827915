// Tests of the choice of a target of a service.
#include "jacinthdeck/forward/target_set.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct TargetSetFixture {
  TimePoint now{seconds(100)};
  TargetSet set{FailureDomain("fd-0"), 7};
  std::vector<TargetEntry> entries;
  TargetCriteria criteria;
  std::uint64_t next = 1;

  TargetSetFixture() {
    for (int i = 0; i < 3; ++i) {
      TargetEntry entry;
      entry.id = TargetId("t" + std::to_string(i));
      entry.service = ServiceId("desk");
      entry.address = "127.0.0.1";
      entry.port = static_cast<std::uint16_t>(1000 + i);
      entry.domain = FailureDomain("fd-" + std::to_string(i));
      entry.slots = 3;
      entries.push_back(entry);
    }
    set.Replace(entries, now);
    criteria.service = ServiceId("desk");
    criteria.route_latency = {.mean = milliseconds(20), .samples = 64};
    criteria.share.connections = 5;
  }

  [[nodiscard]] TrackedTarget& Target(int index) {
    return *set.Find(TargetId("t" + std::to_string(index)));
  }

  AttemptId Send(TrackedTarget& target) {
    const AttemptId id(next++);
    target.OnSend(id, milliseconds(50), criteria.required, now);
    return id;
  }

  void Answer(TrackedTarget& target, Duration latency) {
    target.OnAnswer(Send(target), latency, criteria.route_latency, now);
  }

  [[nodiscard]] std::map<std::string, int> Picks(int count) {
    std::map<std::string, int> picks;
    for (int i = 0; i < count; ++i) {
      const TargetChoice choice = set.Pick(criteria, now);
      ++picks[choice.target == nullptr ? "none"
                                       : choice.target->entry().id.raw()];
    }
    return picks;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSetTest, TargetSetFixture)

BOOST_AUTO_TEST_CASE(Pick_EqualTargets_PrefersOwnFailureDomain) {
  BOOST_TEST(Picks(50)["t0"] == 50);
}

// Guards against a wait that is computed with the latency of the wrong
// requests. A target answers short requests of 20 ms and has eighteen of them
// in its queue. With its own latency of 160 ms for the queue, a long request
// would expect six rounds of three slots to take a second, and its caller would
// be refused because of a queue of 120 ms.
BOOST_AUTO_TEST_CASE(
    ExpectedDelay_LongWorkBehindShortRequests_UsesQueueLatency) {
  for (int i = 0; i < 64; ++i) {
    Answer(Target(0), milliseconds(20));
  }
  Target(0).OnLoad(LoadReport{3, 18, 3, 1}, now);
  const LatencyEstimate long_work{.mean = milliseconds(160), .samples = 64};
  const Duration expected = Target(0).ExpectedDelay(long_work, now);
  BOOST_TEST((expected > milliseconds(160 + 100)));
  BOOST_TEST((expected < milliseconds(400)));
}

// Guards against requests to a paused target, each of which waits for the whole
// pause: after the first one that is late, all others avoid the target.
BOOST_AUTO_TEST_CASE(Pick_TargetIsSilent_IsAvoided) {
  (void)Send(Target(0));
  now += milliseconds(60);
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_SilentTargetAnswers_IsUsedAgain) {
  const AttemptId id = Send(Target(0));
  now += milliseconds(200);
  Target(0).OnAnswer(id, milliseconds(20), criteria.route_latency, now);
  BOOST_TEST(Picks(50)["t0"] > 0);
}

// Guards against sending everything to a target that fails quickly, because it
// looks idle.
BOOST_AUTO_TEST_CASE(Pick_TargetFailsQuickly_IsAvoided) {
  for (int i = 0; i < 10; ++i) {
    Target(0).OnFailure(Send(Target(0)), now);
  }
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

// Guards against requests to a target that alternates between a second in which
// all requests fail and a second in which all succeed. Its recent successes
// make the host try it again, and some callers pay for each trial. If it were
// always chosen because it is in the own domain, half of all requests would
// fail.
BOOST_AUTO_TEST_CASE(Pick_OwnDomainTargetFlaps_FewRequestsFail) {
  constexpr int kRequests = 4000;
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(5);
    TrackedTarget& target = *set.Pick(criteria, now).target;
    const bool is_bad = (now.time_since_epoch() / seconds(1)) % 2 == 0;
    const AttemptId id = Send(target);
    if (is_bad && &target == &Target(0)) {
      target.OnFailure(id, now);
      ++failed;
    } else {
      target.OnAnswer(id, milliseconds(20), criteria.route_latency, now);
    }
  }
  BOOST_TEST(failed < kRequests / 50);
}

BOOST_AUTO_TEST_CASE(Pick_FailuresAreOld_TargetIsUsedAgain) {
  for (int i = 0; i < 10; ++i) {
    Target(0).OnFailure(Send(Target(0)), now);
  }
  now += seconds(20);
  BOOST_TEST(Picks(50)["t0"] > 0);
}

BOOST_AUTO_TEST_CASE(Pick_TargetReportsLongQueue_IsAvoided) {
  Target(0).OnLoad(LoadReport{3, 9, 3, 1}, now);
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_LoadReportIsOld_IsIgnored) {
  Target(0).OnLoad(LoadReport{3, 9, 3, 1}, now);
  now += seconds(5);
  BOOST_TEST(Picks(50)["t0"] == 50);
}

BOOST_AUTO_TEST_CASE(Pick_TargetIsDraining_IsNotChosen) {
  entries[0].draining = true;
  set.Replace(entries, now);
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_AllTargetsAtConnectionLimit_ChoosesNone) {
  criteria.share.connections = 1;
  for (int i = 0; i < 3; ++i) {
    (void)Send(Target(i));
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// Guards against a hedge that waits in a queue, which delays other requests and
// does not help its own call.
BOOST_AUTO_TEST_CASE(Pick_HedgeWithoutFreeSlot_ChoosesNone) {
  criteria.reason = AttemptReason::kHedge;
  for (int i = 0; i < 3; ++i) {
    Target(i).OnLoad(LoadReport{3, 0, 3, 1}, now);
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// Guards against a hedge that cannot be answered in time. All targets are ten
// times slower than the route, so a hedge would spend the last attempt of the
// shard and occupy a slot of a slow target for nothing.
BOOST_AUTO_TEST_CASE(Pick_HedgeWouldBeLate_ChoosesNone) {
  criteria.reason = AttemptReason::kHedge;
  criteria.useful_time = milliseconds(60);
  for (int i = 0; i < 3; ++i) {
    Answer(Target(i), criteria.route_latency.mean * 10);
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// Guards against a shard that is left out although the budget has hedges left.
// The targets each paused once among their recent answers, and most of their
// answers still arrive in time, so the hedge must find one. By the mean latency
// with the pause in it, all of them would be excluded.
BOOST_AUTO_TEST_CASE(Pick_TargetsPausedOnce_HedgeIsChosen) {
  constexpr int kAnswers = 7;
  criteria.reason = AttemptReason::kHedge;
  criteria.useful_time = milliseconds(30);
  for (int i = 0; i < 3; ++i) {
    Answer(Target(i), criteria.route_latency.mean * 10);
    for (int answer = 0; answer < kAnswers; ++answer) {
      Answer(Target(i), criteria.route_latency.mean);
    }
  }
  BOOST_TEST(Picks(1).count("none") == 0U);
}

// Guards against full queues at slow targets. All targets of a shard are slow,
// and the answer can do without the shard. One attempt at a time detects when a
// target is fast again; more would fill its queue and keep it late for longer.
BOOST_AUTO_TEST_CASE(Pick_AllTargetsTooSlow_EachGetsOneAttemptAtATime) {
  criteria.useful_time = milliseconds(60);
  for (int i = 0; i < 3; ++i) {
    Answer(Target(i), criteria.route_latency.mean * 10);
  }
  for (int i = 0; i < 3; ++i) {
    const TargetChoice choice = set.Pick(criteria, now);
    BOOST_REQUIRE(choice.target != nullptr);
    BOOST_TEST(choice.target->in_flight() == 0U);
    (void)Send(*choice.target);
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// Guards against traffic between failure domains that brings no answer in time:
// the target in the own domain is slower than the others, and fast enough.
BOOST_AUTO_TEST_CASE(Pick_OwnDomainTargetIsFastEnough_StaysInDomain) {
  criteria.objective = milliseconds(120);
  for (int i = 0; i < 8; ++i) {
    Answer(Target(0), milliseconds(44));
    Answer(Target(1), milliseconds(16));
    Answer(Target(2), milliseconds(16));
  }
  BOOST_TEST(Picks(50)["t0"] == 50);
}

// Guards against late answers for the sake of less traffic between failure
// domains.
BOOST_AUTO_TEST_CASE(Pick_OwnDomainTargetIsTooSlow_LeavesDomain) {
  criteria.objective = milliseconds(120);
  for (int i = 0; i < 8; ++i) {
    Answer(Target(0), milliseconds(70));
    Answer(Target(1), milliseconds(16));
    Answer(Target(2), milliseconds(16));
  }
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

// Guards against requests to the targets of an evacuated domain.
BOOST_AUTO_TEST_CASE(Pick_TargetIsEvacuated_IsNeverChosen) {
  for (TargetEntry& entry : entries) {
    entry.evacuated = entry.id != TargetId("t2");
  }
  set.Replace(entries, now);
  BOOST_TEST(set.CountLive(criteria.service) == 1U);
  for (const AttemptReason reason :
       {AttemptReason::kFirst, AttemptReason::kHedge, AttemptReason::kRetry}) {
    criteria.reason = reason;
    BOOST_TEST(Picks(20)["t2"] == 20);
  }
}

// Guards against a crash of a cold target that gets more requests than it can
// handle.
BOOST_AUTO_TEST_CASE(Pick_ColdTargetsWithRateBound_StaysWithinHostShare) {
  for (TargetEntry& entry : entries) {
    entry.cold_until = now + seconds(4);
  }
  set.Replace(entries, now);
  set.SetHosts(HostId("h0"), std::vector<HostId>{HostId("h0")});
  criteria.cold_rate = 5;
  criteria.share.connections = 1000;
  int sent = 0;
  for (int i = 0; i < 3000; ++i) {
    now += milliseconds(1);
    const TargetChoice choice = set.Pick(criteria, now);
    if (choice.target != nullptr) {
      Answer(*choice.target, criteria.route_latency.mean);
      ++sent;
    }
  }
  BOOST_TEST(sent >= 3 * 3 * 4);
  BOOST_TEST(sent <= 3 * (3 * 5 + 1));
  now += seconds(2);
  BOOST_TEST(Picks(50).count("none") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_HostIsNotListed_SkipsColdTargetWithRateBound) {
  entries[0].cold_until = now + seconds(4);
  set.Replace(entries, now);
  set.SetHosts(HostId("h0"), std::vector<HostId>{HostId("h1")});
  criteria.cold_rate = 100;
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

// Guards against failures of a previous process that count against a restarted
// target with the same id.
BOOST_AUTO_TEST_CASE(Replace_TargetRestartedWithSameId_ForgetsFailures) {
  for (int i = 0; i < 10; ++i) {
    Target(0).OnFailure(Send(Target(0)), now);
  }
  entries[0].started_ms = 5;
  set.Replace(entries, now);
  BOOST_TEST(Picks(50)["t0"] == 50);
}

BOOST_AUTO_TEST_CASE(
    Replace_TargetRemovedWithAttemptInFlight_KeptUntilAttemptEnds) {
  const AttemptId id = Send(Target(0));
  const std::vector<TargetEntry> rest(entries.begin() + 1, entries.end());
  set.Replace(rest, now);
  TrackedTarget* const gone = set.Find(TargetId("t0"));
  BOOST_REQUIRE(gone != nullptr);
  BOOST_TEST(!gone->AcceptsRequests());
  gone->OnAnswer(id, milliseconds(20), criteria.route_latency, now);
  set.Replace(rest, now);
  BOOST_TEST((set.Find(TargetId("t0")) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
