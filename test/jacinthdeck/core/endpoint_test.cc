// Tests of endpoints as text.
#include "jacinthdeck/core/endpoint.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jacinthdeck {

namespace {

[[nodiscard]] bool IsRead(const std::string& text) {
  return Capture([&] { return Endpoint::Parse(text); }).index() == 0U;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EndpointTest)

// Guards against a port out of range that is read as port 0, for which the
// kernel chooses any port.
BOOST_AUTO_TEST_CASE(Parse_PortIsOutOfRange_IsRejected) {
  for (const char* port : {"65536", "99999", "18446744073709551616", "-1"}) {
    BOOST_TEST(!IsRead(std::string("10.0.0.1:") + port), port);
  }
  for (const char* port : {"0", "1", "65535"}) {
    BOOST_TEST(IsRead(std::string("10.0.0.1:") + port), port);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
