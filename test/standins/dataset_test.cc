// Tests of the generated content of the stand-in targets.
#include "target/dataset.h"

#include <jansson.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "jacinthdeck/core/json.h"

namespace jacinthdeck::standins {

struct DatasetFixture {
  const Dataset dataset{ServiceId("S"), 1000, 1};
  const JsonPtr request{json_pack("{s:s,s:i}", "text", "boot", "limit", 1000)};

  [[nodiscard]] ShardAnswer Answer(std::uint64_t begin,
                                   std::uint64_t end) const {
    return dataset.Answer({begin, end}, IndexVersion(7), *request);
  }
};

BOOST_FIXTURE_TEST_SUITE(DatasetTest, DatasetFixture)

BOOST_AUTO_TEST_CASE(Answer_SplitKeySpace_ReturnsEachItemOnce) {
  const ShardAnswer whole = Answer(0, kKeySpaceEnd);
  const std::uint64_t boundary = kKeySpaceEnd / 3;
  const ShardAnswer low = Answer(0, boundary);
  const ShardAnswer high = Answer(boundary, kKeySpaceEnd);
  std::set<std::string> ids;
  for (const ShardAnswer* part : {&low, &high}) {
    for (const Hit& hit : part->hits) {
      BOOST_TEST(ids.insert(hit.id).second);
    }
  }
  BOOST_TEST(!whole.hits.empty());
  BOOST_TEST(ids.size() == whole.hits.size());
  BOOST_TEST(low.count + high.count == whole.count);
}

BOOST_AUTO_TEST_CASE(Answer_RequestWithId_ReturnsThatItem) {
  const JsonPtr keyed(json_pack("{s:s}", "ticket_id", "t5"));
  const ShardAnswer answer = dataset.Answer({0, 10}, IndexVersion(7), *keyed);
  BOOST_REQUIRE(answer.hits.size() == 1U);
  BOOST_TEST(answer.hits[0].id == "t5");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
