// Tests of reading and validating the settings of an entry process.
#include "jacinthdeck/entry/entry_settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

namespace {

constexpr const char* kGood = R"(
[host]
name = "h1"
failure_domain = "z1"
[listen]
callers = "127.0.0.1:80"
[store]
address = "127.0.0.1:81"
[extra_attempts]
ratio = 0.25
window_ms = 5000
)";

[[nodiscard]] std::string WithMore(std::string_view lines) {
  std::string text(kGood);
  text.append(lines);
  return text;
}

[[nodiscard]] std::vector<SettingsError> FaultsOf(const std::string& text) {
  auto read = ReadEntrySettings(text);
  if (auto* faults = std::get_if<std::vector<SettingsError>>(&read)) {
    return *faults;
  }
  return {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EntrySettingsTest)

BOOST_AUTO_TEST_CASE(Settings_AreComplete_AreRead) {
  const auto read = ReadEntrySettings(kGood);
  const auto* settings = std::get_if<EntrySettings>(&read);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST(settings->callers.port == 80);
  BOOST_TEST(settings->extra_ratio == 0.25);
  BOOST_TEST((settings->extra_window == std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(Settings_AreEmpty_EachRequiredKeyIsNamed) {
  BOOST_TEST(FaultsOf("").size() == 4U);
}

BOOST_AUTO_TEST_CASE(Settings_ValueIsWrong_FaultSaysWhatItWasAndWhatIsAllowed) {
  const auto faults =
      FaultsOf(WithMore("constant = -1\n[log]\nlevel = \"loud\"\n"));
  BOOST_REQUIRE_EQUAL(faults.size(), 2U);
  BOOST_TEST(faults[0].key == "extra_attempts.constant");
  BOOST_TEST(faults[0].line == 12U);
  BOOST_TEST(faults[0].message == "is -1; expected a number from 0 to 1e+06");
  BOOST_TEST(faults[1].message ==
             "is \"loud\"; expected one of trace, debug, "
             "info, warning, error");
}

BOOST_AUTO_TEST_CASE(Settings_KeyIsNotKnown_FaultNamesIt) {
  const auto faults = FaultsOf(WithMore("[listen2]\nx = 1\n"));
  BOOST_REQUIRE_EQUAL(faults.size(), 1U);
  BOOST_TEST(faults[0].message == "is not a known key");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
