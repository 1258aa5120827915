// Tests of the records that a feeder writes for its members.
#include "jacinthdeck/discovery/member_records.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "jacinthdeck/discovery/store_types.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::seconds;

[[nodiscard]] HostRecord MakeHost(const std::string& name) {
  HostRecord host;
  host.name = HostId(name);
  host.started_ms = 1;
  return host;
}

[[nodiscard]] StoredRecord Stored(const std::string& name,
                                  const std::string& writer,
                                  std::uint64_t revision) {
  StoredRecord stored{MakeHost(name), At(revision)};
  stored.record.writer = HostId(writer);
  return stored;
}

struct MembersFixture {
  TimePoint now{seconds(100)};
  MemberRecords members{HostId("feeder")};

  //! Performs the write that is due.
  void Write(std::uint64_t revision) {
    const MemberWrite write = members.NextWrite(now);
    members.OnWritten(write, MemberWriteResult::kDone, At(revision));
  }

  [[nodiscard]] std::vector<std::string> DuePuts() const {
    std::vector<std::string> names;
    for (const HostRecord& put : members.NextWrite(now).puts) {
      names.push_back(put.name.raw());
    }
    return names;
  }

  [[nodiscard]] std::size_t DueRemovals() const {
    return members.NextWrite(now).removals.size();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(MemberRecordsTest, MembersFixture)

// Guards against a call to the store for each host: a hundred hosts connect at
// once and cost four writes, not two hundred.
BOOST_AUTO_TEST_CASE(Members_ManyConnect_AreWrittenInFewWrites) {
  for (int i = 0; i < 100; ++i) {
    members.OnMember(MakeHost("h" + std::to_string(i)));
  }
  int writes = 0;
  while (!members.NextWrite(now).empty()) {
    BOOST_TEST(members.NextWrite(now).puts.size() <= StoreWrite::kMaxEntries);
    Write(10);
    ++writes;
  }
  BOOST_TEST(writes == 4);
}

BOOST_AUTO_TEST_CASE(Member_SendsSameRecordAgain_IsNotWritten) {
  members.OnMember(MakeHost("a"));
  Write(10);
  members.OnMember(MakeHost("a"));
  BOOST_TEST(members.NextWrite(now).empty());
}

// Guards against a changed record that is never written because the change
// arrived during the write of the former one.
BOOST_AUTO_TEST_CASE(Member_ChangesDuringAWrite_IsWrittenAgain) {
  members.OnMember(MakeHost("a"));
  const MemberWrite write = members.NextWrite(now);
  HostRecord changed = MakeHost("a");
  changed.busy = true;
  members.OnMember(changed);
  members.OnWritten(write, MemberWriteResult::kDone, At(10));
  BOOST_TEST(DuePuts().size() == 1U);
}

BOOST_AUTO_TEST_CASE(Write_Fails_IsDueAgain) {
  members.OnMember(MakeHost("a"));
  (void)members.NextWrite(now);
  BOOST_TEST(DuePuts().size() == 1U);
}

// Guards against records that stay missing after their lease ended or after the
// store dropped a single key. Content older than the write proves no loss.
BOOST_AUTO_TEST_CASE(Record_IsDroppedByTheStore_IsWrittenAgain) {
  members.OnMember(MakeHost("a"));
  Write(10);
  members.OnHosts({}, At(9), now);
  BOOST_TEST(DuePuts().empty());
  members.OnHosts({}, At(10), now);
  BOOST_TEST(DuePuts().size() == 1U);
  Write(11);
  members.OnLeaseLost();
  BOOST_TEST(DuePuts().size() == 1U);
}

// The record of a failed host stays for a few seconds, in which the host may
// reconnect or another feeder may write its record, and is removed then.
BOOST_AUTO_TEST_CASE(Member_Leaves_RecordIsRemovedAfterGraceTime) {
  members.OnMember(MakeHost("a"));
  Write(10);
  members.OnMemberLeft(HostId("a"));
  const std::vector<StoredRecord> stored{Stored("a", "feeder", 10)};
  members.OnHosts(stored, At(10), now);
  BOOST_TEST(DueRemovals() == 0U);
  now += seconds(4);
  BOOST_TEST(DueRemovals() == 1U);
  BOOST_TEST(members.NextWrite(now).removals.front().position.revision == 10U);
}

BOOST_AUTO_TEST_CASE(Member_LeavesAndReturns_RecordStays) {
  members.OnMember(MakeHost("a"));
  Write(10);
  members.OnMemberLeft(HostId("a"));
  members.OnHosts({{Stored("a", "feeder", 10)}}, At(10), now);
  members.OnMember(MakeHost("a"));
  now += seconds(4);
  BOOST_TEST(DueRemovals() == 0U);
}

// Guards against an orphaned record: the store applies a write seconds after
// its reply was lost, when the host already follows another feeder. The record
// is removed, but not if the other feeder has written it since.
BOOST_AUTO_TEST_CASE(Write_IsAppliedLate_OrphanIsRemoved) {
  members.OnMember(MakeHost("a"));
  (void)members.NextWrite(now);
  members.OnMemberLeft(HostId("a"));
  members.OnHosts({{Stored("a", "feeder", 20)}}, At(20), now);
  now += seconds(4);
  BOOST_TEST(DueRemovals() == 1U);
  members.OnHosts({{Stored("a", "other", 21)}}, At(21), now);
  BOOST_TEST(DueRemovals() == 0U);
}

// Guards against one conflict that blocks other removals: one of several
// orphaned records was just written by its new feeder. The others are still
// removed, each in a write of its own.
BOOST_AUTO_TEST_CASE(
    Removal_ConflictsWithALaterWrite_OthersAreRemovedOneByOne) {
  members.OnHosts({{Stored("a", "feeder", 5), Stored("b", "feeder", 6)}}, At(6),
                  now);
  now += seconds(4);
  const MemberWrite both = members.NextWrite(now);
  BOOST_TEST(both.removals.size() == 2U);
  members.OnWritten(both, MemberWriteResult::kConflict, At(0));
  const MemberWrite first = members.NextWrite(now);
  BOOST_TEST(first.removals.size() == 1U);
  members.OnWritten(first, MemberWriteResult::kConflict, At(0));
  BOOST_TEST(DueRemovals() == 1U);
  members.OnWritten(members.NextWrite(now), MemberWriteResult::kDone, At(9));
  BOOST_TEST(members.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
