// Tests of the member records at the store.
#include "jacinthdeck/cluster/member_records.h"

#include <boost/test/unit_test.hpp>

#include "support/cluster_harness.h"
#include "support/printers.h"

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(MemberRecordsTest)

BOOST_AUTO_TEST_CASE(Record_RoundTrip_GivesTheAddress) {
  SelfInfo self;
  self.node = NodeId("n1");
  self.incarnation = Incarnation(4);
  self.address = {"10.0.0.1", 7000, 8000};
  self.domain = FailureDomain("akl-a");
  const auto seed = DecodeMemberRecord(
      {"members/n1", EncodeMemberRecord(self), StoreRevision(1)});
  BOOST_REQUIRE(seed.has_value());
  BOOST_TEST(seed->node.raw() == "n1");
  BOOST_TEST((seed->address == self.address));
  BOOST_TEST(seed->domain.raw() == "akl-a");
}

BOOST_AUTO_TEST_CASE(Record_Malformed_IsIgnored) {
  const auto read = [](const char* key, const char* text) {
    return DecodeMemberRecord({key, text, StoreRevision(1)}).has_value();
  };
  BOOST_TEST(!read("members/n1", "{"));
  BOOST_TEST(!read("members/n1", "{\"host\":1}"));
  BOOST_TEST(!read("members/n1",
                   "{\"host\":\"h\",\"peer_port\":70000,\"caller_port\":1,"
                   "\"domain\":\"d\"}"));
  BOOST_TEST(!read("members/",
                   "{\"host\":\"h\",\"peer_port\":7000,\"caller_port\":1,"
                   "\"domain\":\"d\"}"));
}

BOOST_AUTO_TEST_CASE(Records_EachNode_WritesItsRecordOnce) {
  ClusterHarness cluster(51);
  cluster.Start(4);
  cluster.Run(std::chrono::minutes(5));
  for (std::size_t index = 0; index < 4; ++index) {
    BOOST_TEST(!cluster.store()
                    .ValueOf("members/" + ClusterHarness::Name(index).raw())
                    .empty());
  }
  BOOST_TEST(cluster.store().writes() == 4U);
}

// The reply to the write of the record is lost. The next list shows whether it
// took effect.
BOOST_AUTO_TEST_CASE(Records_WriteReplyLost_IsNotWrittenAgain) {
  ClusterHarness cluster(52);
  cluster.store().faults().lose_write_replies = 1;
  cluster.Start(1);
  cluster.Run(std::chrono::minutes(5));
  BOOST_TEST(cluster.store().writes() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
