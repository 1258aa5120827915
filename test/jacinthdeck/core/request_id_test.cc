// Tests of the text form of request ids.
#include "jacinthdeck/core/request_id.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jacinthdeck {

struct RequestIdFixture {
  const RequestId id{NodeId("akl-1"), Incarnation(7), "n_42"};
};

BOOST_FIXTURE_TEST_SUITE(RequestIdTest, RequestIdFixture)

BOOST_AUTO_TEST_CASE(RequestId_Rendered_ParsesBackToTheSameId) {
  BOOST_TEST(id.ToString() == "akl-1.7.n_42");
  const auto parsed = RequestId::Parse(id.ToString());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((*parsed == id));
}

BOOST_AUTO_TEST_CASE(RequestId_MalformedText_IsRejected) {
  for (const std::string text :
       {"", "a", "a.1", "a.x.b", ".1.b", "a.1.", "a.1.b c", "a.-1.b", "a.1.b.c",
        "a.99999999999999999999999.b"}) {
    BOOST_TEST(!RequestId::Parse(text).has_value(), "accepted: " << text);
  }
  BOOST_TEST(!RequestId::Parse("a.1." + std::string(65, 'x')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
