// Tests of DiscoveryState: which entries of the store are applied, and when.
#include "jacinthdeck/discovery/knowledge.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DiscoveryStateFixture {
  platform::StoreCodec codec;
  DiscoveryState discovery_state{codec};
  TimePoint now{seconds(100)};
  std::uint64_t revision = 10;

  [[nodiscard]] static std::string TargetValue(const std::string& state,
                                               const std::string& extra = "") {
    return R"({"service":"desk","address":"10.0.0.1:80","zone":"z","slots":3,)"
           R"("state":")" +
           state + "\"" + extra + "}";
  }

  [[nodiscard]] static std::string ConfigValue(int version) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[],"services":[]})";
  }

  DiscoveryChange Change(const std::string& key,
                         std::optional<std::string> value) {
    const StoreChange change{key, At(++revision), std::move(value)};
    return discovery_state.OnChanges({&change, 1}, now);
  }

  DiscoveryChange ReadAll(const std::vector<StoreChange>& items,
                          const StorePosition& position) {
    return discovery_state.OnFullRead(items, position, now);
  }

  //! Applies a full read without evacuations, which is what a backup would
  //! hold, and then an evacuation.
  void EvacuateAfterBackup() {
    (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
    (void)Change("op/evacuate/z", "{}");
  }

  //! Returns the number of targets that may get requests.
  [[nodiscard]] std::size_t UsableTargets() const {
    const std::vector<TargetEntry> all = discovery_state.Targets();
    return static_cast<std::size_t>(
        std::ranges::count_if(all, &TargetEntry::AcceptsRequests));
  }

  [[nodiscard]] std::size_t targets() const {
    return discovery_state.target_count();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DiscoveryStateTest, DiscoveryStateFixture)

BOOST_AUTO_TEST_CASE(Target_IsRemovedWhileStoreIsAvailable_IsRemovedAtOnce) {
  (void)Change("servers/a", TargetValue("ready"));
  BOOST_TEST(targets() == 1U);
  BOOST_TEST(Change("servers/a", std::nullopt).targets);
  BOOST_TEST(targets() == 0U);
}

// Guards against callers that are refused after an outage: the leases of all
// targets expired while the store was unavailable, and their removals arrive
// once it is back, although the targets are alive and about to register again.
BOOST_AUTO_TEST_CASE(
    Target_LeaseExpiredDuringOutage_StaysUntilReregistrationTimeEnds) {
  (void)Change("servers/a", TargetValue("ready"));
  (void)Change("servers/b", TargetValue("ready"));
  discovery_state.OnStoreAway();
  now += seconds(5);
  (void)Change("servers/a", std::nullopt);
  (void)Change("servers/b", std::nullopt);
  BOOST_TEST(targets() == 2U);
  now += milliseconds(1500);
  (void)Change("servers/a", TargetValue("ready"));
  now += milliseconds(1500);
  BOOST_TEST(discovery_state.OnTimer(now).targets);
  BOOST_TEST(targets() == 1U);
}

// Guards against requests to a target that left while the store rejected only
// this host or its feeder: no outage explains the removal.
BOOST_AUTO_TEST_CASE(Target_RemovedWhileOnlyThisHostIsRejected_IsRemoved) {
  (void)Change("servers/a", TargetValue("ready"));
  (void)Change("servers/b", TargetValue("ready"));
  discovery_state.OnStoreAway();
  BOOST_TEST(!discovery_state.available_since().has_value());
  now += seconds(2);
  (void)Change("servers/a", std::nullopt);
  BOOST_TEST(targets() == 2U);
  BOOST_TEST(discovery_state.OnStoreAvailable(now - seconds(10), now).targets);
  BOOST_TEST(targets() == 1U);
  discovery_state.OnStoreAway();
  (void)discovery_state.OnStoreAvailable(now - seconds(10), now);
  (void)Change("servers/b", std::nullopt);
  BOOST_TEST(targets() == 0U);
}

// Guards against live targets that are dropped after an outage, because another
// host reports that the store is available again.
BOOST_AUTO_TEST_CASE(Target_LeaseExpiredDuringOutageOfAll_StaysAsLong) {
  (void)Change("servers/a", TargetValue("ready"));
  discovery_state.OnStoreAway();
  now += seconds(5);
  (void)Change("servers/a", std::nullopt);
  const TimePoint back_at = now - milliseconds(300);
  BOOST_TEST(!discovery_state.OnStoreAvailable(back_at, now).targets);
  BOOST_TEST((discovery_state.available_since() == back_at));
  now = back_at + RemovalHold::kReregistrationTime - milliseconds(1);
  BOOST_TEST(!discovery_state.OnTimer(now).targets);
  BOOST_TEST(discovery_state.OnTimer(now + milliseconds(1)).targets);
}

// Guards against requests to a target that announced its leaving, with
// draining, and whose removal is delayed like that of an expired lease.
BOOST_AUTO_TEST_CASE(Target_WasDrainingWhenLeaseExpired_IsRemovedAtOnce) {
  (void)Change("servers/a", TargetValue("draining"));
  discovery_state.OnStoreAway();
  now += seconds(5);
  (void)Change("servers/a", std::nullopt);
  BOOST_TEST(targets() == 0U);
}

// Guards against a foreign entry that cannot be decoded, or lacks a field, and
// affects other targets.
BOOST_AUTO_TEST_CASE(Target_EntryIsUnreadable_OtherTargetsStay) {
  (void)Change("servers/a", TargetValue("ready"));
  for (const std::string& value :
       {std::string("\xff\x00", 2), std::string("{}"), std::string("[]"),
        TargetValue("resting"), std::string(R"({"service":1})")}) {
    BOOST_TEST(Change("servers/odd", value).unreadable.size() == 1U);
    BOOST_TEST(targets() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(Target_EntryHasBornField_StartTimeIsRead) {
  (void)Change("servers/a", TargetValue("ready", R"(,"born":1700000000000)"));
  BOOST_TEST(discovery_state.Targets().front().started_ms == 1700000000000U);
}

// Guards against targets that stay although they were removed while the history
// was compacted: the full read that follows does not list them.
BOOST_AUTO_TEST_CASE(FullRead_LacksATarget_TargetIsRemoved) {
  (void)Change("servers/a", TargetValue("ready"));
  (void)Change("servers/b", TargetValue("ready"));
  const std::vector<StoreChange> items{
      {"servers/b", At(12), TargetValue("ready")}};
  BOOST_TEST(discovery_state.OnFullRead(items, At(40), now).targets);
  BOOST_REQUIRE_EQUAL(targets(), 1U);
  BOOST_TEST(discovery_state.Targets().front().id == TargetId("b"));
}

// Guards against a full read that is older than a change of a watch and undoes
// it.
BOOST_AUTO_TEST_CASE(FullRead_IsOlderThanAKnownChange_ChangeStays) {
  revision = 50;
  (void)Change("servers/a", TargetValue("ready"));
  (void)discovery_state.OnFullRead({}, At(40), now);
  BOOST_TEST(targets() == 1U);
}

BOOST_AUTO_TEST_CASE(Config_OlderVersionArrives_IsNotTaken) {
  BOOST_TEST(Change("op/config", ConfigValue(7)).config);
  BOOST_TEST(!Change("op/config", ConfigValue(5)).config);
  BOOST_TEST(discovery_state.config()->version() == 7U);
}

BOOST_AUTO_TEST_CASE(Config_IsUnreadable_FormerOneStays) {
  (void)Change("op/config", ConfigValue(7));
  BOOST_TEST(Change("op/config", "{").unreadable.size() == 1U);
  BOOST_TEST(discovery_state.config()->version() == 7U);
}

// Guards against a removed key that stays valid, and against an invalid version
// of which some accounts are applied.
BOOST_AUTO_TEST_CASE(Config_KeysChange_ApplyWholeOrNotAtAll) {
  const auto put = [&](int version, const std::string& accounts) {
    return Change("op/config", R"({"version":)" + std::to_string(version) +
                                   R"(,"routes":[],"services":[],"tenants":[)" +
                                   accounts + "]}");
  };
  const auto knows = [&](const char* key) {
    return discovery_state.config()->tenants()->FindByKey(key) != nullptr;
  };
  BOOST_TEST(put(1, R"({"name":"a","apiKeys":["k1"]})").config);
  BOOST_TEST(put(2, R"({"name":"a","apiKeys":["k2"]})").config);
  BOOST_TEST(!knows("k1"));
  BOOST_TEST(knows("k2"));
  const DiscoveryChange refused =
      put(3, R"({"name":"a","apiKeys":["k3"]},{"name":"b","apiKeys":["k3"]})");
  BOOST_TEST(!refused.config);
  BOOST_REQUIRE_EQUAL(refused.unreadable.size(), 1U);
  BOOST_TEST(refused.unreadable[0].subject == "config.tenants[1].apiKeys[0]");
  BOOST_TEST(knows("k2"));
  BOOST_TEST(!knows("k3"));
  BOOST_TEST(put(4, "").config);
  BOOST_TEST(discovery_state.config()->tenants()->empty());
}

BOOST_AUTO_TEST_CASE(Host_RegistersAndLeaves_IsKnownAndForgotten) {
  const HostRecord host{HostId("h1"),  FailureDomain("z"),
                        "10.0.0.9:80", "",
                        "10.0.0.9:81", 250,
                        true,          5,
                        HostId("h2"),  ""};
  (void)Change(codec.HostKey(host.name), codec.WriteHost(host));
  BOOST_REQUIRE(discovery_state.FindHost(HostId("h1")) != nullptr);
  BOOST_TEST((*discovery_state.FindHost(HostId("h1")) == host));
  (void)Change(codec.HostKey(host.name), std::nullopt);
  BOOST_TEST((discovery_state.FindHost(HostId("h1")) == nullptr));
}

BOOST_AUTO_TEST_CASE(Quarantine_OfAnotherHost_IsReported) {
  const Fingerprint fingerprint(0xabcdef0123456789U);
  const DiscoveryChange change =
      Change(codec.QuarantineKey(fingerprint), std::string("1"));
  BOOST_REQUIRE_EQUAL(change.quarantines.size(), 1U);
  BOOST_TEST(change.quarantines.front().fingerprint == fingerprint);
}

BOOST_AUTO_TEST_CASE(Suspect_OfAnotherHost_IsReportedWithItsService) {
  const Fingerprint fingerprint(0xabcdef0123456789U);
  const DiscoveryChange change =
      Change(codec.SuspectKey(fingerprint), std::string("s"));
  BOOST_REQUIRE_EQUAL(change.suspects.size(), 1U);
  BOOST_TEST(change.suspects.front().fingerprint == fingerprint);
  BOOST_TEST(change.suspects.front().service == ServiceId("s"));
  BOOST_TEST(
      Change(codec.SuspectKey(fingerprint), std::nullopt).suspects.empty());
}

// Guards against requests to the targets of an evacuated domain.
BOOST_AUTO_TEST_CASE(Evacuation_IsWritten_TargetsOfThatDomainAreMarked) {
  (void)Change("servers/a", TargetValue("ready"));
  BOOST_TEST(Change("op/evacuate/elsewhere", "{}").unreadable.empty());
  BOOST_TEST(UsableTargets() == 1U);
  const DiscoveryChange change = Change("op/evacuate/z", "{}");
  BOOST_TEST(change.evacuations);
  BOOST_TEST(change.targets);
  BOOST_TEST(UsableTargets() == 0U);
  BOOST_TEST(targets() == 1U);
  (void)Change("servers/b", TargetValue("ready"));
  BOOST_TEST(UsableTargets() == 0U);
  BOOST_TEST(Change("op/evacuate/z", std::nullopt).targets);
  BOOST_TEST(UsableTargets() == 2U);
  BOOST_TEST(discovery_state.Evacuations().size() == 1U);
}

// Guards against an evacuation that is delayed like the removal of an expired
// lease.
BOOST_AUTO_TEST_CASE(Evacuation_StoreIsAway_StartAndEndApplyAtOnce) {
  (void)Change("servers/a", TargetValue("ready"));
  discovery_state.OnStoreAway();
  (void)Change("op/evacuate/z", "{}");
  BOOST_TEST(UsableTargets() == 0U);
  discovery_state.OnStoreAway();
  (void)Change("op/evacuate/z", std::nullopt);
  BOOST_TEST(UsableTargets() == 1U);
}

// Guards against an evacuation that is ended by a full read older than it.
BOOST_AUTO_TEST_CASE(Evacuation_OlderFullReadLacksIt_Stays) {
  revision = 50;
  (void)Change("servers/a", TargetValue("ready"));
  (void)Change("op/evacuate/z", "{}");
  (void)discovery_state.OnFullRead({}, At(40), now);
  BOOST_TEST(UsableTargets() == 0U);
  const std::vector<StoreChange> items{
      {"servers/a", At(51), TargetValue("ready")}};
  BOOST_TEST(discovery_state.OnFullRead(items, At(60), now).evacuations);
  BOOST_TEST(UsableTargets() == 1U);
}

// Guards against an evacuation that is lost because of its value, and against
// one without a valid domain that affects others.
BOOST_AUTO_TEST_CASE(
    Evacuation_ValueOrKeyIsInvalid_ValueIsIgnoredAndKeyIsReported) {
  (void)Change("servers/a", TargetValue("ready"));
  BOOST_TEST(Change("op/evacuate/z", std::string("\xff\x00", 2)).evacuations);
  for (const std::string& key :
       {std::string("op/evacuate/"), "op/evacuate/" + std::string(180, 'z')}) {
    BOOST_TEST(Change(key, "{}").unreadable.size() == 1U);
  }
  BOOST_TEST(discovery_state.Evacuations().size() == 1U);
  BOOST_TEST(UsableTargets() == 0U);
}

BOOST_AUTO_TEST_CASE(Evacuation_IsWrittenAgain_StartTimeStays) {
  (void)Change("op/evacuate/z", "{}");
  const TimePoint first = now;
  now += seconds(3);
  BOOST_TEST(!Change("op/evacuate/z", "{}").evacuations);
  BOOST_TEST((discovery_state.Evacuations().front().since == first));
}

BOOST_AUTO_TEST_CASE(Target_ReportsColdTime_IsColdForThatLong) {
  (void)Change("servers/a", TargetValue("ready", R"(,"coldRemainingMs":1500)"));
  const TargetEntry entry = discovery_state.Targets().front();
  BOOST_TEST(entry.IsCold(now + milliseconds(1499)));
  BOOST_TEST(!entry.IsCold(now + milliseconds(1500)));
}

// Guards against a cold time that restarts with each full read.
BOOST_AUTO_TEST_CASE(Target_IsReadAgainWhileCold_ColdTimeDoesNotRestart) {
  const std::string cold = TargetValue("ready", R"(,"coldRemainingMs":1500)");
  (void)Change("servers/a", cold);
  const std::vector<StoreChange> items{{"servers/a", At(revision), cold}};
  const TimePoint warm = now + milliseconds(1500);
  now += milliseconds(1000);
  (void)discovery_state.OnFullRead(items, At(revision), now);
  BOOST_TEST((discovery_state.Targets().front().cold_until == warm));
}

// Guards against a crash on an entry with revision 0, which no write has.
BOOST_AUTO_TEST_CASE(Target_RevisionIsZero_IsApplied) {
  const StoreChange change{"servers/a", At(0), TargetValue("ready")};
  (void)discovery_state.OnChanges({&change, 1}, now);
  BOOST_TEST(targets() == 1U);
}

// Guards against a target that is lost, or avoided for a day, because of an
// invalid cold time.
BOOST_AUTO_TEST_CASE(Target_ColdTimeIsInvalid_IsReportedAndTargetIsWarm) {
  for (const std::string value : {"-5", "\"soon\"", "86400000", "1e400"}) {
    const DiscoveryChange change = Change(
        "servers/a", TargetValue("ready", ",\"coldRemainingMs\":" + value));
    BOOST_TEST(change.unreadable.size() == 1U);
    if (value != "1e400") {
      BOOST_REQUIRE_EQUAL(targets(), 1U);
      BOOST_TEST(!discovery_state.Targets().front().IsCold(now));
    }
  }
}

// Guards against a confirmed configuration that is reverted by an older backup
// of the store, here and on hosts that start now.
BOOST_AUTO_TEST_CASE(Restore_BackupHasAnOlderConfiguration_NewestStaysInForce) {
  (void)ReadAll({{"op/config", At(5), ConfigValue(4)}}, At(10));
  (void)Change("op/config", ConfigValue(7));
  BOOST_TEST(
      !ReadAll({{"op/config", At(5, 2), ConfigValue(4)}}, At(8, 2)).config);
  BOOST_TEST(discovery_state.config()->version() == 7U);
  const auto carried = discovery_state.CarriedOverConfig();
  BOOST_REQUIRE(carried.has_value());
  DiscoveryState starting(codec);
  (void)starting.OnFullRead(
      std::vector<StoreChange>{{"op/config", At(5, 2), ConfigValue(4)}},
      At(8, 2), now);
  BOOST_TEST(starting.OnCarriedOver({&*carried, 1}).config);
  BOOST_TEST(starting.config()->version() == 7U);
  BOOST_TEST(starting.CarriedOverConfig().has_value());
  const StoreChange again{"op/config", At(9, 2), ConfigValue(7)};
  (void)discovery_state.OnChanges({&again, 1}, now);
  BOOST_TEST(!discovery_state.CarriedOverConfig().has_value());
}

// Guards against refused requests because live targets are missing: they
// registered after the backup was taken.
BOOST_AUTO_TEST_CASE(
    Restore_BackupLacksATarget_TargetStaysUntilReregistrationTimeEnds) {
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
  (void)Change("servers/b", TargetValue("ready"));
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  BOOST_TEST(targets() == 2U);
  now += RemovalHold::kReregistrationTime;
  (void)discovery_state.OnTimer(now);
  BOOST_TEST(targets() == 1U);
}

// Guards against requests to an address that has a new owner: its target left
// after the backup was taken.
BOOST_AUTO_TEST_CASE(Restore_BackupHasARemovedTarget_IsNotUsed) {
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
  (void)Change("servers/a", std::nullopt);
  BOOST_TEST(targets() == 0U);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  BOOST_TEST(targets() == 0U);
  now += seconds(2);
  const StoreChange removal{"servers/a", At(9, 2), std::nullopt};
  (void)discovery_state.OnChanges({&removal, 1}, now);
  now += seconds(60);
  (void)discovery_state.OnTimer(now);
  BOOST_TEST(targets() == 0U);
}

// Guards against a live target that is never used again because its restored
// entry was held back.
BOOST_AUTO_TEST_CASE(
    Restore_RemovedTargetStaysInTheStore_IsUsedAfterTheHoldTime) {
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
  (void)Change("servers/a", std::nullopt);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  now += seconds(5);
  BOOST_TEST((discovery_state.NextTimer() <= now));
  BOOST_TEST(discovery_state.OnTimer(now).targets);
  BOOST_TEST(targets() == 1U);
}

BOOST_AUTO_TEST_CASE(Restore_RemovedTargetIsWrittenAgain_IsUsedAtOnce) {
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
  (void)Change("servers/a", std::nullopt);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  const StoreChange back{"servers/a", At(9, 2), TargetValue("ready")};
  (void)discovery_state.OnChanges({&back, 1}, now);
  BOOST_TEST(targets() == 1U);
}

// Guards against requests to a draining target that is ready in the backup.
BOOST_AUTO_TEST_CASE(Restore_TargetWasDraining_StaysDraining) {
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
  (void)Change("servers/a", TargetValue("draining"));
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  BOOST_TEST(UsableTargets() == 0U);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(9, 2));
  BOOST_TEST(UsableTargets() == 0U);
}

// Guards against requests to an evacuated domain whose evacuation the backup
// lacks.
BOOST_AUTO_TEST_CASE(Restore_BackupLacksAnEvacuation_StaysForTheRewriteTime) {
  EvacuateAfterBackup();
  BOOST_TEST(UsableTargets() == 0U);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  BOOST_TEST(UsableTargets() == 0U);
  now += seconds(5);
  (void)discovery_state.OnTimer(now);
  BOOST_TEST(UsableTargets() == 0U);
  now += seconds(5);
  BOOST_TEST(discovery_state.OnTimer(now).evacuations);
  BOOST_TEST(UsableTargets() == 1U);
}

BOOST_AUTO_TEST_CASE(Restore_EvacuationIsWrittenAgain_Stays) {
  EvacuateAfterBackup();
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  const StoreChange again{"op/evacuate/z", At(9, 2), "{}"};
  (void)discovery_state.OnChanges({&again, 1}, now);
  now += seconds(20);
  (void)discovery_state.OnTimer(now);
  BOOST_TEST(UsableTargets() == 0U);
}

// Guards against a domain that gets no requests after its evacuation ended.
BOOST_AUTO_TEST_CASE(Restore_BackupHasAnEndedEvacuation_IsHeldBack) {
  const StoreChange target{"servers/a", At(5), TargetValue("ready")};
  (void)ReadAll({target, {"op/evacuate/z", At(6), "{}"}}, At(10));
  (void)Change("op/evacuate/z", std::nullopt);
  BOOST_TEST(UsableTargets() == 1U);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")},
                 {"op/evacuate/z", At(6, 2), "{}"}},
                At(8, 2));
  BOOST_TEST(UsableTargets() == 1U);
}

// Guards against a typed schema that reverts to that of the backup at once.
BOOST_AUTO_TEST_CASE(Restore_BackupHasAnOlderSchema_IsHeldBack) {
  (void)ReadAll({{"jacinthdeck/schema", At(5), "old"}}, At(10));
  (void)Change("jacinthdeck/schema", "new");
  (void)ReadAll({{"jacinthdeck/schema", At(5, 2), "old"}}, At(8, 2));
  BOOST_TEST(discovery_state.schema() == "new");
  now += seconds(9);
  (void)discovery_state.OnTimer(now);
  BOOST_TEST(discovery_state.schema() == "old");
}

// Guards against a restore that goes unnoticed because the store names its era
// only from its first restore on.
BOOST_AUTO_TEST_CASE(Restore_EarlierEraWasUnnamed_IsTreatedAsARestore) {
  (void)ReadAll({{"servers/a", At(5, 0), TargetValue("ready")}}, At(10, 0));
  const StoreChange removal{"servers/a", At(11, 0), std::nullopt};
  (void)discovery_state.OnChanges({&removal, 1}, now);
  const StoreChange evacuation{"op/evacuate/z", At(12, 0), "{}"};
  (void)discovery_state.OnChanges({&evacuation, 1}, now);
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(8));
  BOOST_TEST(targets() == 0U);
  BOOST_TEST(discovery_state.Evacuations().size() == 1U);
}

// Guards against entries that were held back after a first restore and are used
// after a second one.
BOOST_AUTO_TEST_CASE(Restore_TwiceWithinSeconds_RemovedTargetIsNotUsed) {
  (void)ReadAll({{"servers/a", At(5), TargetValue("ready")}}, At(10));
  (void)Change("servers/a", std::nullopt);
  (void)ReadAll({{"servers/a", At(5, 2), TargetValue("ready")}}, At(8, 2));
  now += seconds(1);
  (void)ReadAll({{"servers/a", At(5, 3), TargetValue("ready")}}, At(6, 3));
  BOOST_TEST(targets() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
