// Tests of reading and validating the settings of an entry process.
#include "jacinthdeck/entry/entry_settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

namespace {

constexpr const char* kValidSettings = R"(
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

[[nodiscard]] std::string WithExtraLines(std::string_view lines) {
  std::string text(kValidSettings);
  text.append(lines);
  return text;
}

[[nodiscard]] std::vector<SettingsError> ErrorsOf(const std::string& text) {
  auto read = ReadEntrySettings(text);
  if (auto* errors = std::get_if<std::vector<SettingsError>>(&read)) {
    return *errors;
  }
  return {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EntrySettingsTest)

BOOST_AUTO_TEST_CASE(Settings_AllRequiredKeysAreSet_AreRead) {
  const auto read = ReadEntrySettings(kValidSettings);
  const auto* settings = std::get_if<EntrySettings>(&read);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST(settings->callers.port == 80);
  BOOST_TEST(settings->extra_ratio == 0.25);
  BOOST_TEST((settings->extra_window == std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(Duration_InEachUnit_IsRead) {
  const auto grace_of = [](const std::string& lines) {
    const auto read = ReadEntrySettings(WithExtraLines(lines));
    const auto* settings = std::get_if<EntrySettings>(&read);
    BOOST_REQUIRE(settings != nullptr);
    return settings->grace;
  };
  BOOST_TEST((grace_of("[shutdown]\n") == std::chrono::seconds(6)));
  BOOST_TEST((grace_of("[shutdown]\ngrace_ms = 2500\n") ==
              std::chrono::milliseconds(2500)));
  BOOST_TEST((grace_of("[shutdown]\ngrace_s = 6.1\n") ==
              std::chrono::milliseconds(6100)));
}

// Guards against a setting that is ignored because it is set a second time in
// another unit.
BOOST_AUTO_TEST_CASE(Duration_InTwoUnits_IsAnError) {
  const auto errors =
      ErrorsOf(WithExtraLines("[shutdown]\ngrace_ms = 6000\ngrace_s = 7\n"));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].key == "shutdown.grace_s");
  BOOST_TEST(errors[0].line == 14U);
}

BOOST_AUTO_TEST_CASE(Duration_OutsideItsRange_ErrorNamesRangeInItsUnit) {
  const auto errors = ErrorsOf(WithExtraLines("window_s = 1\n"));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].key == "extra_attempts.window_s");
  const auto low = ErrorsOf(WithExtraLines("[rate_limits]\nwindow_s = 0.05\n"));
  BOOST_REQUIRE_EQUAL(low.size(), 1U);
  BOOST_TEST(low[0].message == "is 0.05; expected a number from 0.1 to 86400");
}

BOOST_AUTO_TEST_CASE(Memory_IsAFraction_IsRead) {
  std::string text(kValidSettings);
  text.insert(text.find("[listen]"), "memory_mb = 260.5\n");
  const auto read = ReadEntrySettings(text);
  const auto* settings = std::get_if<EntrySettings>(&read);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST(settings->memory_bytes == std::uint64_t{260} << 20U);
}

BOOST_AUTO_TEST_CASE(Settings_AreEmpty_EachRequiredKeyIsReported) {
  BOOST_TEST(ErrorsOf("").size() == 4U);
}

BOOST_AUTO_TEST_CASE(Settings_ValueIsInvalid_ErrorNamesValueAndAllowedValues) {
  const auto errors =
      ErrorsOf(WithExtraLines("constant = -1\n[log]\nlevel = \"loud\"\n"));
  BOOST_REQUIRE_EQUAL(errors.size(), 2U);
  BOOST_TEST(errors[0].key == "extra_attempts.constant");
  BOOST_TEST(errors[0].line == 12U);
  BOOST_TEST(errors[0].message == "is -1; expected a number from 0 to 1e+06");
  BOOST_TEST(errors[1].message ==
             "is \"loud\"; expected one of trace, debug, "
             "info, warning, error");
}

BOOST_AUTO_TEST_CASE(Settings_RateLimits_AreReadWithinTheirRanges) {
  const auto read = ReadEntrySettings(
      WithExtraLines("[rate_limits]\nlisten = \"127.0.0.1:82\"\n"
                     "window_ms = 3000\novershoot = 0.1\nslack = 20\n"));
  const auto* settings = std::get_if<EntrySettings>(&read);
  BOOST_REQUIRE(settings != nullptr);
  BOOST_TEST(settings->rate_limits.listen.port == 82);
  BOOST_TEST((settings->rate_limits.window == std::chrono::seconds(3)));
  BOOST_TEST(settings->rate_limits.overshoot == 0.1);
  BOOST_TEST(settings->rate_limits.slack == 20);
  const auto errors =
      ErrorsOf(WithExtraLines("[rate_limits]\nlisten = \"x\"\nwindow_ms = 99\n"
                              "overshoot = -1\nslack = nan\n"));
  BOOST_TEST(errors.size() == 4U);
}

// Guards against a host that refuses keyed requests although nobody asked for
// it, and against a stricter setting that is not read.
BOOST_AUTO_TEST_CASE(Settings_KeysAreAbsentOrSet_DefaultOrValueIsRead) {
  const auto absent = ReadEntrySettings(WithExtraLines("[keys]\n"));
  const auto* defaults = std::get_if<EntrySettings>(&absent);
  BOOST_REQUIRE(defaults != nullptr);
  BOOST_TEST(!defaults->strict_revoke);
  BOOST_TEST((defaults->revoke_after == std::chrono::seconds(5)));
  const auto set = ReadEntrySettings(
      WithExtraLines("[keys]\nstrict_revoke = true\nrevoke_ms = 1500\n"));
  const auto* strict = std::get_if<EntrySettings>(&set);
  BOOST_REQUIRE(strict != nullptr);
  BOOST_TEST(strict->strict_revoke);
  BOOST_TEST((strict->revoke_after == std::chrono::milliseconds(1500)));
  BOOST_TEST(ErrorsOf(WithExtraLines("[keys]\nstrict_revoke = 1\n"
                                     "revoke_ms = -1\n"))
                 .size() == 2U);
}

BOOST_AUTO_TEST_CASE(Settings_KeyIsUnknown_ErrorNamesKey) {
  const auto errors = ErrorsOf(WithExtraLines("[listen2]\nx = 1\n"));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].message == "is not a known key");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
