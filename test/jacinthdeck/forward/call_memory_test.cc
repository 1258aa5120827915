// Tests of the memory that open calls take.
#include <boost/test/unit_test.hpp>
#include <string>

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

BOOST_FIXTURE_TEST_SUITE(CallMemoryTest, ForwarderFixture)

// Guards against a part that loses records because it is not kept whole.
BOOST_AUTO_TEST_CASE(Part_LongerThanTheAnswer_GreatestRecordsAreMerged) {
  (void)Submit("/fan/1");
  BOOST_REQUIRE_EQUAL(port.sent.size(), 4U);
  std::string body(4096, 'a');
  body.replace(2048, 16, 16, 'y');
  body.replace(4000, 16, 16, 'z');
  Answer(port.sent[0], body);
  Answer(port.sent[1], std::string(16, 'x'));
  Answer(port.sent[2], std::string(16, 'b'));
  Answer(port.sent[3], "");
  const ForwardAnswer& answer = OnlyAnswer().answer;
  BOOST_TEST(answer.records == std::string(16, 'z') + std::string(16, 'y'));
  BOOST_TEST(answer.part_stamps.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
