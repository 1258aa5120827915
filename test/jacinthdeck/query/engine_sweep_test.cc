// Checks the engine's invariants under random sequences of faults.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

#include "fleet_fixture.h"

namespace jacinthdeck {

struct RandomFaultsFixture : FleetFixture {
  explicit RandomFaultsFixture(std::uint64_t seed)
      : FleetFixture(seed, FleetOptions{.slots = 2, .max_waiting = 2}),
        random(seed) {}

  Random random;
  std::map<CallId, Call> calls;
  std::set<CallId> abandoned;

  void SubmitOne() {
    constexpr MergeRule kRules[] = {MergeRule::kTopK, MergeRule::kUnion,
                                    MergeRule::kCount};
    Method method = random.Below(3) == 0 ? Claim() : Search();
    if (method.repeat == Repeat::kIdempotent) {
      method.merge = kRules[random.Below(3)];
    }
    Call call = MakeFleetCall(method, Fingerprint(random.Below(40)));
    call.tenant = TenantId(random.Below(4) == 0 ? "a" : "b");
    calls.emplace(call.id, call);
    (void)SubmitAndFlush(std::move(call));
  }

  void ChangeVersions() {
    std::vector<PartitionMap> maps{Map(7 + random.Below(3))};
    if (random.Below(2) == 0) {
      maps.push_back(Map(maps[0].version.raw() + 1));
    }
    engine.SetVersions(service, maps);
  }

  void ChangeTargets() {
    for (TargetInfo& target : targets) {
      constexpr TargetState kStates[] = {TargetState::kLive, TargetState::kLive,
                                         TargetState::kLive,
                                         TargetState::kLeaving};
      target.state = kStates[random.Below(4)];
    }
    router.SetTargets(targets, clock.Now());
  }

  void Step() {
    const std::uint64_t action = random.Below(100);
    const TargetId target = Target(random.Below(kShards), random.Below(3));
    if (action < 1) {
      ChangeVersions();
    } else if (action < 2) {
      ChangeTargets();
    } else if (action < 4) {
      fleet.unresponsive.insert(target);
    } else if (action < 7) {
      fleet.unresponsive.erase(target);
    } else if (action < 9) {
      fleet.fault_rate = random.Unit() * 0.3;
    } else if (action < 10) {
      engine.AddPeerSuspect(Fingerprint(random.Below(40)), clock.Now());
    } else if (action < 12 && next_call > 5) {
      const CallId call(next_call - 1 - random.Below(4));
      if (!answers.contains(call)) {
        engine.Abandon(call, clock.Now(), effects);
        abandoned.insert(call);
        Flush();
      }
    } else {
      SubmitOne();
    }
    RunFor(Duration(static_cast<Duration::rep>(random.Below(5000))));
  }

  void CheckAnswer(const CallId& id, const Answer& answer) {
    const Call& call = calls.at(id);
    const std::size_t runs = fleet.runs[id];
    BOOST_TEST((answered_at.at(id) <= call.deadline));
    if (answer.outcome == Outcome::kNotRun) {
      BOOST_TEST(runs == 0U);
      BOOST_TEST(answer.retry_after.has_value());
    }
    if (call.method->repeat == Repeat::kOnce) {
      BOOST_TEST(runs <= 1U);
    }
    const bool answered = answer.outcome == Outcome::kWhole ||
                          answer.outcome == Outcome::kPartial;
    BOOST_TEST(answered == !answer.covered.empty());
    BOOST_TEST((answer.outcome == Outcome::kWhole) ==
               (answered && answer.missing.empty()));
    const std::size_t shards = ShardsIn(answer.covered);
    if (answered) {
      const std::size_t asked = call.key ? 1 : kShards;
      BOOST_TEST(shards + ShardsIn(answer.missing) == asked);
    }
    if (call.method->merge == MergeRule::kCount) {
      BOOST_TEST(answer.count == shards);
    } else {
      BOOST_TEST(answer.hits.size() == shards);
    }
    for (const Hit& hit : answer.hits) {
      BOOST_TEST(hit.data == std::to_string(answer.version->raw()));
    }
  }

  [[nodiscard]] static std::size_t ShardsIn(
      const std::vector<KeyRange>& ranges) {
    std::uint64_t keys = 0;
    for (const KeyRange& range : ranges) {
      keys += range.end - range.begin;
    }
    return keys / (kKeySpaceEnd / kShards);
  }
};

BOOST_AUTO_TEST_SUITE(EngineSweepTest)

// Versions change, targets leave, stop answering, crash or end requests with
// any status, and callers go away, in an order drawn from the seed. Each call
// that is not abandoned gets one answer by its deadline, with correct coverage
// and hits of one version; kNotRun means that nothing ran; a claim runs at most
// once; and no call, timer or attempt remains at the end.
BOOST_AUTO_TEST_CASE(Engine_RandomFaults_InvariantsHoldForEverySeed) {
  std::array<std::size_t, 4> outcomes{};
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomFaultsFixture sweep(seed);
      sweep.fleet.crashing.insert(Fingerprint(13));
      for (int step = 0; step < 500; ++step) {
        sweep.Step();
      }
      sweep.RunFor(EngineFixture::kDeadline);
      BOOST_TEST(sweep.answers.size() + sweep.abandoned.size() ==
                 sweep.calls.size());
      for (const auto& [id, answer] : sweep.answers) {
        sweep.CheckAnswer(id, answer);
        ++outcomes.at(static_cast<std::size_t>(answer.outcome));
      }
      BOOST_TEST(sweep.engine.open_calls() == 0U);
      BOOST_TEST(!sweep.engine.NextTimer().has_value());
      sweep.RunFor(EngineFixture::kDeadline);
      for (const TargetSnapshot& target :
           sweep.router.Snapshot(sweep.clock.Now())) {
        BOOST_TEST(target.in_flight == 0U);
      }
    }
  }
  BOOST_TEST_MESSAGE("whole " << outcomes[0] << ", partial " << outcomes[1]
                              << ", not run " << outcomes[2] << ", unknown "
                              << outcomes[3]);
  BOOST_TEST(std::ranges::all_of(outcomes, [](auto n) { return n > 100; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
