// Tests of the choice among the targets of a service.
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
  TargetNeed need;
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
    need.service = ServiceId("desk");
    need.usual = {.mean = milliseconds(20), .samples = 64};
    need.share.connections = 5;
  }

  [[nodiscard]] LearnedTarget& Target(int index) {
    return *set.Find(TargetId("t" + std::to_string(index)));
  }

  AttemptId Send(LearnedTarget& target) {
    const AttemptId id(next++);
    target.OnSend(id, milliseconds(50), need.needed, now);
    return id;
  }

  void Answer(LearnedTarget& target, Duration latency) {
    target.OnAnswer(Send(target), latency, need.usual, now);
  }

  [[nodiscard]] std::map<std::string, int> Picks(int count) {
    std::map<std::string, int> picks;
    for (int i = 0; i < count; ++i) {
      const TargetChoice choice = set.Pick(need, now);
      ++picks[choice.target == nullptr ? "none"
                                       : choice.target->entry().id.raw()];
    }
    return picks;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSetTest, TargetSetFixture)

BOOST_AUTO_TEST_CASE(Pick_AllAreAlike_PrefersTheOwnFailureDomain) {
  BOOST_TEST(Picks(50)["t0"] == 50);
}

// A target answers searches of 20 ms and has eighteen of them in its queue. A
// request of a route with long work of its own waits no longer than a search
// does: reckoned in its own 160 ms, six turns of three slots would take a
// second, and its caller would be turned away from a queue of 120 ms.
BOOST_AUTO_TEST_CASE(ExpectedDelay_LongWorkBehindShortQueue_CountsTheQueue) {
  for (int i = 0; i < 64; ++i) {
    Answer(Target(0), milliseconds(20));
  }
  Target(0).OnLoad(LoadReport{3, 18, 3, 1}, now);
  const UsualLatency long_work{.mean = milliseconds(160), .samples = 64};
  const Duration expected = Target(0).ExpectedDelay(long_work, now);
  BOOST_TEST((expected > milliseconds(160 + 100)));
  BOOST_TEST((expected < milliseconds(400)));
}

// A target stands still. Every query that is sent to it waits for the whole
// pause, so the first one that is late makes all others avoid it.
BOOST_AUTO_TEST_CASE(Pick_TargetIsSilentBeyondItsWork_IsAvoidedByAll) {
  (void)Send(Target(0));
  now += milliseconds(60);
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_SilentTargetAnswers_IsUsedAgain) {
  const AttemptId id = Send(Target(0));
  now += milliseconds(200);
  Target(0).OnAnswer(id, milliseconds(20), need.usual, now);
  BOOST_TEST(Picks(50)["t0"] > 0);
}

// A target whose work fails looks idle; a choice by load would send it
// everything.
BOOST_AUTO_TEST_CASE(Pick_TargetFailsQuickly_OthersGetTheWork) {
  for (int i = 0; i < 10; ++i) {
    Target(0).OnFailure(Send(Target(0)), now);
  }
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

// The nearest target flaps: a second in which all its work fails, a second in
// which all is well. What it has just answered speaks for it again and again,
// and each time some callers pay for the trial. Chosen blindly for its nearness
// it would fail half of all work.
BOOST_AUTO_TEST_CASE(Pick_NearestTargetFlaps_FewRequestsPayForIt) {
  constexpr int kRequests = 4000;
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(5);
    LearnedTarget& target = *set.Pick(need, now).target;
    const bool is_bad = (now.time_since_epoch() / seconds(1)) % 2 == 0;
    const AttemptId id = Send(target);
    if (is_bad && &target == &Target(0)) {
      target.OnFailure(id, now);
      ++failed;
    } else {
      target.OnAnswer(id, milliseconds(20), need.usual, now);
    }
  }
  BOOST_TEST(failed < kRequests / 50);
}

BOOST_AUTO_TEST_CASE(Pick_FailuresAreLongAgo_TargetIsTriedAgain) {
  for (int i = 0; i < 10; ++i) {
    Target(0).OnFailure(Send(Target(0)), now);
  }
  now += seconds(20);
  BOOST_TEST(Picks(50)["t0"] > 0);
}

BOOST_AUTO_TEST_CASE(Pick_TargetReportsALongQueue_OthersGetTheWork) {
  Target(0).OnLoad(LoadReport{3, 9, 3, 1}, now);
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_ReportIsOld_CountsNoMore) {
  Target(0).OnLoad(LoadReport{3, 9, 3, 1}, now);
  now += seconds(5);
  BOOST_TEST(Picks(50)["t0"] == 50);
}

BOOST_AUTO_TEST_CASE(Pick_DrainingTarget_GetsNothing) {
  entries[0].draining = true;
  set.Replace(entries, now);
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_AllAreAtTheirLimit_ChoosesNone) {
  need.share.connections = 1;
  for (int i = 0; i < 3; ++i) {
    (void)Send(Target(i));
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// A hedge that waits in a queue delays others and helps nobody.
BOOST_AUTO_TEST_CASE(Pick_HedgeFindsNoFreeSlot_ChoosesNone) {
  need.reason = AttemptReason::kHedge;
  for (int i = 0; i < 3; ++i) {
    Target(i).OnLoad(LoadReport{3, 0, 3, 1}, now);
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// A target is ten times slower than the route's answers. A hedge to it would
// come after its answer is of use, spend the shard's last attempt and hold a
// slot of the slow target.
BOOST_AUTO_TEST_CASE(Pick_HedgeWouldComeTooLate_ChoosesNone) {
  need.reason = AttemptReason::kHedge;
  need.useful = milliseconds(60);
  for (int i = 0; i < 3; ++i) {
    Answer(Target(i), need.usual.mean * 10);
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// The other targets of a shard each paused once among their last answers. Most
// of their answers still come in time, so the hedge must find one of them; held
// to the average with the pause in it, the shard was left out with a budget of
// hedges unspent.
BOOST_AUTO_TEST_CASE(Pick_TargetsPausedOnceAmongManyAnswers_HedgeFindsOne) {
  constexpr int kAnswers = 7;
  need.reason = AttemptReason::kHedge;
  need.useful = milliseconds(30);
  for (int i = 0; i < 3; ++i) {
    Answer(Target(i), need.usual.mean * 10);
    for (int answer = 0; answer < kAnswers; ++answer) {
      Answer(Target(i), need.usual.mean);
    }
  }
  BOOST_TEST(Picks(1).count("none") == 0U);
}

// All targets of a shard are slow, and the answer can do without the shard. One
// attempt at a time finds out when a target is fast again; more would fill its
// queue, so that it answers late for a while longer.
BOOST_AUTO_TEST_CASE(Pick_TargetsAnswerTooLate_EachGetsOneAttemptAtATime) {
  need.useful = milliseconds(60);
  for (int i = 0; i < 3; ++i) {
    Answer(Target(i), need.usual.mean * 10);
  }
  for (int i = 0; i < 3; ++i) {
    const TargetChoice choice = set.Pick(need, now);
    BOOST_REQUIRE(choice.target != nullptr);
    BOOST_TEST(choice.target->in_flight() == 0U);
    (void)Send(*choice.target);
  }
  BOOST_TEST(Picks(1)["none"] == 1);
}

// Guards against bytes between domains that bring no answer in time: the own
// target is slower than the others, and soon enough.
BOOST_AUTO_TEST_CASE(Pick_OwnTargetIsSlowerButInGoodTime_KeepsToTheOwnDomain) {
  need.objective = milliseconds(120);
  for (int i = 0; i < 8; ++i) {
    Answer(Target(0), milliseconds(44));
    Answer(Target(1), milliseconds(16));
    Answer(Target(2), milliseconds(16));
  }
  BOOST_TEST(Picks(50)["t0"] == 50);
}

// Guards against late answers for the sake of bytes.
BOOST_AUTO_TEST_CASE(Pick_OwnTargetTakesMostOfTheObjective_GoesElsewhere) {
  need.objective = milliseconds(120);
  for (int i = 0; i < 8; ++i) {
    Answer(Target(0), milliseconds(70));
    Answer(Target(1), milliseconds(16));
    Answer(Target(2), milliseconds(16));
  }
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

// Guards against work for the targets of an evacuated domain.
BOOST_AUTO_TEST_CASE(Pick_TargetIsEvacuated_GetsNothingForWhateverReason) {
  for (TargetEntry& entry : entries) {
    entry.evacuated = entry.id != TargetId("t2");
  }
  set.Replace(entries, now);
  BOOST_TEST(set.Live(need.service) == 1U);
  for (const AttemptReason reason :
       {AttemptReason::kFirst, AttemptReason::kHedge, AttemptReason::kRetry}) {
    need.reason = reason;
    BOOST_TEST(Picks(20)["t2"] == 20);
  }
}

// Guards against a crash of a cold target by requests beyond what it bears.
BOOST_AUTO_TEST_CASE(Pick_ColdTargetHasABound_GetsNoMoreThanTheHostsShare) {
  for (TargetEntry& entry : entries) {
    entry.cold_until = now + seconds(4);
  }
  set.Replace(entries, now);
  set.SetHosts(HostId("h0"), std::vector<HostId>{HostId("h0")});
  need.cold_rate = 5;
  need.share.connections = 1000;
  int sent = 0;
  for (int i = 0; i < 3000; ++i) {
    now += milliseconds(1);
    const TargetChoice choice = set.Pick(need, now);
    if (choice.target != nullptr) {
      Answer(*choice.target, need.usual.mean);
      ++sent;
    }
  }
  BOOST_TEST(sent >= 3 * 3 * 4);
  BOOST_TEST(sent <= 3 * (3 * 5 + 1));
  now += seconds(2);
  BOOST_TEST(Picks(50).count("none") == 0U);
}

BOOST_AUTO_TEST_CASE(Pick_HostTakesNoCallers_SendsNothingToABoundedColdTarget) {
  entries[0].cold_until = now + seconds(4);
  set.Replace(entries, now);
  set.SetHosts(HostId("h0"), std::vector<HostId>{HostId("h1")});
  need.cold_rate = 100;
  BOOST_TEST(Picks(50).count("t0") == 0U);
}

// A target comes back under its id after a crash. What its former life failed
// at says nothing of the new one.
BOOST_AUTO_TEST_CASE(Replace_LaterStartUnderTheSameId_ForgetsTheFailures) {
  for (int i = 0; i < 10; ++i) {
    Target(0).OnFailure(Send(Target(0)), now);
  }
  entries[0].started_ms = 5;
  set.Replace(entries, now);
  BOOST_TEST(Picks(50)["t0"] == 50);
}

BOOST_AUTO_TEST_CASE(Replace_TargetIsGoneWithWorkInFlight_StaysUntilItsEnd) {
  const AttemptId id = Send(Target(0));
  const std::vector<TargetEntry> rest(entries.begin() + 1, entries.end());
  set.Replace(rest, now);
  LearnedTarget* const gone = set.Find(TargetId("t0"));
  BOOST_REQUIRE(gone != nullptr);
  BOOST_TEST(!gone->TakesWork());
  gone->OnAnswer(id, milliseconds(20), need.usual, now);
  set.Replace(rest, now);
  BOOST_TEST((set.Find(TargetId("t0")) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
