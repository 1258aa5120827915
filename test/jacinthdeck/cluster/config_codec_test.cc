// Tests of the text form of the configuration value.
#include "jacinthdeck/cluster/config_codec.h"

#include <boost/test/unit_test.hpp>
#include <variant>

namespace jacinthdeck {

struct CodecFixture {
  CodecFixture() {
    value.revision = Revision(9);
    value.content_revision = Revision(7);
    value.content.schema = "table \"x\" {\n}";
    value.content.settings = {{"hedge", "on"}, {"limit", "20"}};
    value.operations = {{OperationId("op-7"), Revision(7)}};
    value.history = {{Revision(3), {"old", {}}}};
    value.voters = {NodeId("a"), NodeId("b")};
    value.former_voters = {NodeId("a")};
  }

  [[nodiscard]] static auto Read(const std::string& text) {
    return Capture([&] { return DecodeConfig(text); });
  }
  [[nodiscard]] auto Fit() {
    return Capture([&] { return EncodeWithinLimit(value); });
  }

  ConfigValue value;
};

BOOST_FIXTURE_TEST_SUITE(ConfigCodecTest, CodecFixture)

BOOST_AUTO_TEST_CASE(Codec_RoundTrip_GivesTheSameValue) {
  const auto read = Read(EncodeConfig(value));
  BOOST_REQUIRE(std::holds_alternative<ConfigValue>(read));
  BOOST_TEST((std::get<ConfigValue>(read) == value));
}

BOOST_AUTO_TEST_CASE(Codec_MalformedText_NamesTheField) {
  BOOST_TEST((std::get<Error>(Read("{")).code == ErrorCode::kCorrupt));
  BOOST_TEST(std::get<Error>(Read("{}")).subject == "revision");
  std::string text = EncodeConfig(value);
  text.replace(text.find("\"op-7\""), 6, "12");
  BOOST_TEST(std::get<Error>(Read(text)).subject == "operation");
}

BOOST_AUTO_TEST_CASE(Codec_TooLargeWithHistory_DropsTheOldest) {
  const std::string large(400000, 'h');
  value.history = {{Revision(1), {large, {}}},
                   {Revision(2), {large, {}}},
                   {Revision(3), {large, {}}}};
  const auto text = Fit();
  BOOST_REQUIRE(std::holds_alternative<std::string>(text));
  BOOST_TEST(std::get<std::string>(text).size() <= kMaxConfigBytes);
  BOOST_TEST(value.history.size() == 2U);
  BOOST_TEST((value.history.front().revision == Revision(2)));
}

BOOST_AUTO_TEST_CASE(Codec_TooLargeWithoutHistory_RefusedWithTheSize) {
  value.content.schema = std::string(kMaxConfigBytes, 's');
  const auto text = Fit();
  BOOST_REQUIRE(std::holds_alternative<Error>(text));
  BOOST_TEST((std::get<Error>(text).code == ErrorCode::kTooLarge));
  BOOST_TEST(std::get<Error>(text).message.find(" bytes, at most 1048576") !=
             std::string::npos);
}

// A setting is not UTF-8. The JSON library leaves it out without a word, and
// the operator would be told "accepted" for a change that lacks it.
BOOST_AUTO_TEST_CASE(Codec_NotUtf8_IsRefused) {
  value.content.settings["key"] = "\xff\xfe";
  const auto text = Fit();
  BOOST_REQUIRE(std::holds_alternative<Error>(text));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
