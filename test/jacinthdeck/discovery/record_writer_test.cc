// Tests of which host writes a host's record into the store.
#include "jacinthdeck/discovery/record_writer.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct WriterFixture {
  TimePoint now{seconds(100)};
  FleetRole role{.knows_hosts = true, .hosts = 295, .has_feeder = true};
  RecordWriterChoice choice;

  explicit WriterFixture(bool fleet_starts = false)
      : choice(fleet_starts, now) {}

  [[nodiscard]] RecordWriter WriterAfter(Duration time) {
    now += time;
    (void)choice.Update(role, now);
    return choice.writer();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RecordWriterTest, WriterFixture)

BOOST_AUTO_TEST_CASE(LargeFleet_HostIsStandby_FeederWrites) {
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kFeeder));
}

// A lost front must not stay listed for long, so it has a short lease of its
// own. A feeder writes the records of others with its lease.
BOOST_AUTO_TEST_CASE(LargeFleet_HostIsFrontOrFeeder_WritesItself) {
  role.is_front = true;
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kSelf));
  role.is_front = false;
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kFeeder));
  role.feeds_others = true;
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kSelf));
}

BOOST_AUTO_TEST_CASE(SmallFleet_IsKnown_HostWritesItself) {
  role.hosts = 8;
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kSelf));
}

// Guards against two writes per host when hundreds of hosts start at once: the
// first ones know only a few others, which looks like a small fleet.
BOOST_AUTO_TEST_CASE(FleetStarts_FewHostsAreKnown_FeederWrites) {
  WriterFixture start(true);
  start.role.hosts = 3;
  start.role.is_front = true;
  BOOST_TEST((start.WriterAfter(milliseconds(100)) == RecordWriter::kFeeder));
  BOOST_TEST((start.WriterAfter(seconds(3)) == RecordWriter::kSelf));
}

// All hosts restart after a power failure. The role of this host is known once
// the first content of the store is.
BOOST_AUTO_TEST_CASE(Restart_NothingIsKnownYet_NobodyWrites) {
  role = {};
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kNobody));
  role.knows_hosts = true;
  role.hosts = 6;
  BOOST_TEST((WriterAfter(milliseconds(30)) == RecordWriter::kSelf));
}

// Guards against a record that expires with the lease of a lost feeder: if no
// other feeder is found, the host writes its record in time.
BOOST_AUTO_TEST_CASE(Feeder_IsLostPermanently_HostWritesItself) {
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kFeeder));
  role.has_feeder = false;
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kFeeder));
  BOOST_TEST((WriterAfter(seconds(2)) == RecordWriter::kFeeder));
  BOOST_TEST((WriterAfter(seconds(1)) == RecordWriter::kSelf));
}

BOOST_AUTO_TEST_CASE(Feeder_IsLostBriefly_FeederWrites) {
  BOOST_TEST((WriterAfter(milliseconds(0)) == RecordWriter::kFeeder));
  role.has_feeder = false;
  (void)WriterAfter(milliseconds(0));
  (void)WriterAfter(seconds(2));
  role.has_feeder = true;
  (void)WriterAfter(milliseconds(100));
  role.has_feeder = false;
  BOOST_TEST((WriterAfter(seconds(2)) == RecordWriter::kFeeder));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
