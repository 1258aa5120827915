// Tests of reading and checking settings.
#include "jacinthdeck/runtime/settings_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jacinthdeck {

struct SettingsReaderFixture {
  const std::string good = R"([node]
name = "akl-1"
region = "akl"
failure_domain = "akl-a"
[listen]
callers = { address = "127.0.0.1", port = 0 }
operators = { address = "127.0.0.1", port = 0 }
peers = { address = "127.0.0.1", port = 0 }
[platform]
store = { address = "127.0.0.1", port = 7001 }
host_list = { address = "127.0.0.1", port = 7002 }
[limits]
open_calls = 100
)";

  static std::vector<SettingsFault> FaultsOf(const std::string& text) {
    const auto read = ReadSettings(text);
    BOOST_REQUIRE(read.index() == 1);
    return std::get<1>(read);
  }

  std::string Replaced(const std::string& from, const std::string& to) const {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
  }
};

BOOST_FIXTURE_TEST_SUITE(SettingsReaderTest, SettingsReaderFixture)

BOOST_AUTO_TEST_CASE(Settings_Good_AreRead) {
  const auto read =
      ReadSettings(good + "[peers]\nseeds = [\"akl-2@127.0.0.1:9000\"]\n");
  BOOST_REQUIRE(read.index() == 0);
  const Settings& settings = std::get<Settings>(read);
  BOOST_TEST(settings.node.name.raw() == "akl-1");
  BOOST_TEST(settings.platform.store.port == 7001);
  BOOST_TEST(settings.limits.open_calls == 100U);
  BOOST_TEST(
      (settings.seeds == std::vector<PeerSeed>{PeerSeed{
                             NodeId("akl-2"), Endpoint{"127.0.0.1", 9000}}}));
}

BOOST_AUTO_TEST_CASE(Settings_UnknownKey_IsNamedWithItsLine) {
  const auto faults = FaultsOf(Replaced("open_calls", "open_cals"));
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST((faults[0] ==
              SettingsFault{13, "limits.open_cals", "is not a known key"}));
}

BOOST_AUTO_TEST_CASE(
    Settings_WrongTypeRangeOrAddress_AreNamedWithWhatIsExpected) {
  auto faults = FaultsOf(Replaced("open_calls = 100", "open_calls = \"100\""));
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST(faults[0].message ==
             "has the wrong type; expected a whole number from 1 to 1000000");
  faults = FaultsOf(Replaced("open_calls = 100", "open_calls = 0"));
  BOOST_TEST(faults[0].message ==
             "is 0; expected a whole number from 1 to 1000000");
  faults = FaultsOf(Replaced("port = 7001", "port = 70010"));
  BOOST_TEST(faults[0].key == "platform.store.port");
  BOOST_TEST(faults[0].line == 10U);
  faults = FaultsOf(
      Replaced("\"127.0.0.1\", port = 7002", "\"localhost\", port = 7002"));
  BOOST_TEST(faults[0].message == "is \"localhost\"; expected an IPv4 number");
  faults = FaultsOf(Replaced("\"akl-1\"", "\"akl 1\""));
  BOOST_TEST(faults[0].key == "node.name");
}

BOOST_AUTO_TEST_CASE(Settings_MissingKeysAndSyntaxErrors_AreNamed) {
  const auto faults = FaultsOf(Replaced("region = \"akl\"\n", ""));
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST((faults[0] == SettingsFault{0, "node.region",
                                         "is missing; it has no default"}));
  BOOST_TEST(FaultsOf("[node\n")[0].line == 1U);
  for (const char* seed :
       {"127.0.0.1:9000", "a@host:9000", "a@127.0.0.1", "a@127.0.0.1:0"}) {
    BOOST_TEST(
        FaultsOf(good + "[peers]\nseeds = [\"" + seed + "\"]\n").size() == 1U,
        seed);
  }
  BOOST_TEST(FaultsOf("").size() > 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
