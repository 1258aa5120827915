// Tests of the lines of the log of runs.
#include "soak/run_line.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck::soak {

struct RunLineFixture {
  RunLine line{"run", "t-1", "7-12", TimePoint(Duration(123456)), "busy", true};
};

BOOST_FIXTURE_TEST_SUITE(RunLineTest, RunLineFixture)

BOOST_AUTO_TEST_CASE(Line_FormattedAndParsed_IsEqual) {
  const auto parsed = ParseRunLine(Format(line));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((*parsed == line));
}

BOOST_AUTO_TEST_CASE(Line_WithoutAccountAndKey_IsEqual) {
  line.account.clear();
  line.has_key = false;
  const auto parsed = ParseRunLine(Format(line));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((*parsed == line));
}

// Guards against an account header with blanks that shifts the words of the
// line, so that a check reads another account.
BOOST_AUTO_TEST_CASE(Account_HoldsBlanks_StaysOneWord) {
  line.account = "busy, small";
  const auto parsed = ParseRunLine(Format(line));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->account == "busy,_small");
  BOOST_TEST(parsed->has_key);
}

BOOST_AUTO_TEST_CASE(Line_LacksWords_IsRejected) {
  BOOST_TEST(!ParseRunLine("").has_value());
  BOOST_TEST(!ParseRunLine("run t-1 7-12 123456").has_value());
  BOOST_TEST(!ParseRunLine("run t-1 7-12 soon busy key").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
