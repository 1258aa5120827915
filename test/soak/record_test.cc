// Tests of the record encoding of the soak's targets.
#include "soak/record.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jacinthdeck::soak {

struct RecordFixture {
  const Record record{2, 1, HashOf("a-1")};
};

BOOST_FIXTURE_TEST_SUITE(RecordTest, RecordFixture)

BOOST_AUTO_TEST_CASE(Records_EncodedAndDecoded_AreEqual) {
  const Record other{2, 0, HashOf("a-1")};
  const auto read = DecodeRecords(Encode(record) + Encode(other));
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->size() == 2U);
  BOOST_TEST((read->front() == record));
  BOOST_TEST((read->back() == other));
}

BOOST_AUTO_TEST_CASE(Body_EmptyOrIncompleteRecord_IsRejected) {
  BOOST_TEST(!DecodeRecords("").has_value());
  BOOST_TEST(!DecodeRecords(Encode(record).substr(1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
