// Tests of the answers to callers' question for addresses.
#include "jacinthdeck/cluster/entry_directory.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

struct DirectoryFixture {
  DirectoryFixture() {
    clock.Advance(std::chrono::hours(1));
    for (int index = 1; index < 8; ++index) {
      (void)table.Merge(Update(index), clock.Now());
    }
  }

  [[nodiscard]] static SelfInfo Self() {
    SelfInfo self;
    self.node = NodeId("n0");
    self.incarnation = Incarnation(1);
    self.domain = FailureDomain("zone-0");
    return self;
  }

  [[nodiscard]] static MemberUpdate Update(int index) {
    MemberUpdate update;
    update.node = NodeId("n" + std::to_string(index));
    update.incarnation = Incarnation(1);
    // Six of eight in one failure domain.
    update.domain = FailureDomain(index < 6 ? "zone-0" : "zone-1");
    return update;
  }

  void Change(int index, MemberHealth health, bool leaving) {
    MemberUpdate update = Update(index);
    update.health = health;
    update.leaving = leaving;
    update.accusers = {NodeId("x"), NodeId("y")};
    (void)table.Merge(update, clock.Now());
  }

  ManualClock clock;
  ClusterOptions options;
  MemberTable table{Self(), options};
  EntryDirectory directory{options, 5, table};
};

BOOST_FIXTURE_TEST_SUITE(EntryDirectoryTest, DirectoryFixture)

BOOST_AUTO_TEST_CASE(Directory_ManyCallers_AreSpreadOverAllEntries) {
  std::map<NodeId, int> first;
  for (int caller = 0; caller < 8000; ++caller) {
    const EntryAnswer answer = directory.Answer("token", clock.Now());
    BOOST_REQUIRE(answer.entries.size() == 4U);
    ++first[answer.entries.front().node];
  }
  BOOST_TEST(first.size() == 8U);
  for (const auto& [node, count] : first) {
    BOOST_TEST(count > 400);
  }
}

// A failure domain is lost. A caller whose answer held entries of that domain
// only would have nowhere to go until its time to live is over.
BOOST_AUTO_TEST_CASE(Directory_EveryAnswer_MixesFailureDomains) {
  for (int caller = 0; caller < 1000; ++caller) {
    std::set<FailureDomain> domains;
    std::set<NodeId> nodes;
    for (const auto& entry : directory.Answer("t", clock.Now()).entries) {
      domains.insert(entry.domain);
      nodes.insert(entry.node);
    }
    BOOST_TEST(domains.size() == 2U);
    BOOST_TEST(nodes.size() == 4U);
  }
}

BOOST_AUTO_TEST_CASE(Directory_LeavingSuspectDead_AreLeftOut) {
  Change(1, MemberHealth::kAlive, true);
  Change(2, MemberHealth::kSuspect, false);
  Change(3, MemberHealth::kDead, false);
  table.AddSeed(SeedSource::kStore, {NodeId("seed"), {}, {}, false});
  std::set<NodeId> named;
  for (int caller = 0; caller < 1000; ++caller) {
    for (const auto& entry : directory.Answer("t", clock.Now()).entries) {
      named.insert(entry.node);
    }
  }
  const std::set<NodeId> expected{NodeId("n0"), NodeId("n4"), NodeId("n5"),
                                  NodeId("n6"), NodeId("n7")};
  BOOST_TEST((named == expected));
}

BOOST_AUTO_TEST_CASE(Directory_LeavingItself_NamesTheOthers) {
  (void)table.LeaveSelf();
  for (int caller = 0; caller < 100; ++caller) {
    const EntryAnswer answer = directory.Answer("t", clock.Now());
    BOOST_TEST(answer.entries.size() == 4U);
    for (const auto& entry : answer.entries) {
      BOOST_TEST((entry.node != NodeId("n0")));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
