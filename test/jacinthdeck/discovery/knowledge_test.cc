// Tests of what is believed of the store's entries, and when.
#include "jacinthdeck/discovery/knowledge.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct KnowledgeFixture {
  platform::StoreCodec codec;
  Knowledge knowledge{codec};
  TimePoint now{seconds(100)};
  std::uint64_t revision = 10;

  [[nodiscard]] static std::string Server(const std::string& state,
                                          const std::string& extra = "") {
    return R"({"service":"desk","address":"10.0.0.1:80","zone":"z","slots":3,)"
           R"("state":")" +
           state + "\"" + extra + "}";
  }

  [[nodiscard]] static std::string Config(int version) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[],"services":[]})";
  }

  KnowledgeChange Change(const std::string& key,
                         std::optional<std::string> value) {
    const StoreChange change{key, ++revision, std::move(value)};
    return knowledge.OnChanges({&change, 1}, now);
  }

  [[nodiscard]] std::size_t targets() const { return knowledge.target_count(); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(KnowledgeTest, KnowledgeFixture)

BOOST_AUTO_TEST_CASE(Target_IsRemovedWhileTheStoreIsWell_IsGoneAtOnce) {
  (void)Change("servers/a", Server("ready"));
  BOOST_TEST(targets() == 1U);
  BOOST_TEST(Change("servers/a", std::nullopt).targets);
  BOOST_TEST(targets() == 0U);
}

// The store was away, and the leases of all targets ran out meanwhile. Their
// removals arrive with its return, although the targets live and are about to
// register again. Callers would be refused if the removals were believed.
BOOST_AUTO_TEST_CASE(Target_LapsedDuringAnOutage_StaysUntilItHadTimeToReturn) {
  (void)Change("servers/a", Server("ready"));
  (void)Change("servers/b", Server("ready"));
  knowledge.OnStoreAway();
  now += seconds(5);
  (void)Change("servers/a", std::nullopt);
  (void)Change("servers/b", std::nullopt);
  BOOST_TEST(targets() == 2U);
  now += milliseconds(1500);
  (void)Change("servers/a", Server("ready"));
  now += milliseconds(1500);
  BOOST_TEST(knowledge.OnTimer(now).targets);
  BOOST_TEST(targets() == 1U);
}

// A target that said it was leaving has left, whatever the store went through.
BOOST_AUTO_TEST_CASE(Target_WasDrainingWhenItLapsed_IsGoneAtOnce) {
  (void)Change("servers/a", Server("draining"));
  knowledge.OnStoreAway();
  now += seconds(5);
  (void)Change("servers/a", std::nullopt);
  BOOST_TEST(targets() == 0U);
}

// An entry comes from another writer: it cannot be read, or lacks a field. It
// names no target, and the others hold.
BOOST_AUTO_TEST_CASE(Target_EntryIsUnreadable_OthersHold) {
  (void)Change("servers/a", Server("ready"));
  for (const std::string& value :
       {std::string("\xff\x00", 2), std::string("{}"), std::string("[]"),
        Server("resting"), std::string(R"({"service":1})")}) {
    BOOST_TEST(Change("servers/odd", value).unreadable.size() == 1U);
    BOOST_TEST(targets() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(Target_BornStandsInTheEntry_TellsLivesApart) {
  (void)Change("servers/a", Server("ready", R"(,"born":1700000000000)"));
  BOOST_TEST(knowledge.Targets().front().started_ms == 1700000000000U);
}

// History is lost, and everything is read again. What the reading does not name
// has gone meanwhile.
BOOST_AUTO_TEST_CASE(Reading_NamesATargetNoMore_TargetIsGone) {
  (void)Change("servers/a", Server("ready"));
  (void)Change("servers/b", Server("ready"));
  const std::vector<StoreChange> items{{"servers/b", 12, Server("ready")}};
  BOOST_TEST(knowledge.OnReading(items, 40, now).targets);
  BOOST_REQUIRE_EQUAL(targets(), 1U);
  BOOST_TEST(knowledge.Targets().front().id == TargetId("b"));
}

// A reading may be older than a change that a watch brought before.
BOOST_AUTO_TEST_CASE(Reading_IsOlderThanAKnownChange_ChangeStays) {
  revision = 50;
  (void)Change("servers/a", Server("ready"));
  (void)knowledge.OnReading({}, 40, now);
  BOOST_TEST(targets() == 1U);
}

BOOST_AUTO_TEST_CASE(Config_OlderVersionArrives_IsNotTaken) {
  BOOST_TEST(Change("op/config", Config(7)).config);
  BOOST_TEST(!Change("op/config", Config(5)).config);
  BOOST_TEST(knowledge.config()->version() == 7U);
}

BOOST_AUTO_TEST_CASE(Config_IsUnreadable_FormerOneStays) {
  (void)Change("op/config", Config(7));
  BOOST_TEST(Change("op/config", "{").unreadable.size() == 1U);
  BOOST_TEST(knowledge.config()->version() == 7U);
}

BOOST_AUTO_TEST_CASE(Host_RegistersAndLeaves_IsKnownAndForgotten) {
  const HostRecord host{NodeId("h1"),  FailureDomain("z"),
                        "10.0.0.9:80", "",
                        "10.0.0.9:81", 250,
                        true,          5,
                        NodeId("h2")};
  (void)Change(codec.HostKey(host.name), codec.WriteHost(host));
  BOOST_REQUIRE(knowledge.FindHost(NodeId("h1")) != nullptr);
  BOOST_TEST((*knowledge.FindHost(NodeId("h1")) == host));
  (void)Change(codec.HostKey(host.name), std::nullopt);
  BOOST_TEST((knowledge.FindHost(NodeId("h1")) == nullptr));
}

BOOST_AUTO_TEST_CASE(Conviction_OfAnotherHost_IsTold) {
  const Fingerprint fingerprint(0xabcdef0123456789U);
  const KnowledgeChange change =
      Change(codec.ConvictionKey(fingerprint), std::string("1"));
  BOOST_REQUIRE_EQUAL(change.convictions.size(), 1U);
  BOOST_TEST(change.convictions.front() == fingerprint);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
