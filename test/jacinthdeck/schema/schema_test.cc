// Tests of reading schemas and checking requests.
#include "jacinthdeck/schema/schema.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

namespace jacinthdeck {

struct SchemaFixture {
  static constexpr const char* kText = R"(namespace shop;
table SearchRequest { text:string (required); limit:int = 20; }
table ClaimRequest { ticket:string; by:string; }
table Reply { count:int; }
rpc_service Counter {
  Search(SearchRequest):Reply (fan_out: "all", merge: "top_k", deadline_ms: 200, limit: 5);
  Claim(ClaimRequest):Reply (fan_out: "key", key: "ticket", merge: "lookup", repeat: "once");
}
)";

  static Error ErrorOf(const std::string& text) {
    const auto parsed = Capture([&] { return Schema::Parse(text); });
    BOOST_REQUIRE(std::holds_alternative<Error>(parsed));
    return std::get<Error>(parsed);
  }

  static Schema ParseFixtureSchema() {
    auto parsed = Capture([] { return Schema::Parse(kText); });
    BOOST_REQUIRE(std::holds_alternative<Schema>(parsed));
    return std::move(std::get<Schema>(parsed));
  }

  std::variant<CheckedRequest, Error> Check(const char* method,
                                            const std::string& json) const {
    return Capture(
        [&] { return schema.Check(*schema.Find("Counter", method), json); });
  }

  Schema schema = ParseFixtureSchema();
};

BOOST_FIXTURE_TEST_SUITE(SchemaTest, SchemaFixture)

BOOST_AUTO_TEST_CASE(Parse_WithAttributes_GivesDeclaredMethods) {
  const auto search = schema.Find("Counter", "Search");
  BOOST_REQUIRE(search != nullptr);
  BOOST_TEST((search->fan_out == FanOut::kAll));
  BOOST_TEST((search->deadline == std::chrono::milliseconds(200)));
  BOOST_TEST(search->limit == 5U);
  const auto claim = schema.Find("Counter", "Claim");
  BOOST_REQUIRE(claim != nullptr);
  BOOST_TEST((claim->repeat == Repeat::kOnce));
  BOOST_TEST(schema.Find("Counter", "Nothing") == nullptr);
}

BOOST_AUTO_TEST_CASE(Parse_SyntaxError_NamesTheLine) {
  const Error error =
      ErrorOf("table A { x:int; }\ntable B { y:nothing_such }\n");
  BOOST_TEST((error.code == ErrorCode::kInvalidArgument));
  BOOST_TEST(error.subject == "line 2");
}

BOOST_AUTO_TEST_CASE(Parse_InvalidAttribute_NamesTheCallAndTheExpectedValues) {
  const std::string head =
      "table A { x:int; f:float; }\nrpc_service S { M(A):A (";
  BOOST_TEST(ErrorOf(head + "merge: \"best\"); }").message ==
             "merge is \"best\", expected one of top_k, union, count, lookup");
  BOOST_TEST(ErrorOf(head + "deadline_ms: 0); }").subject == "S.M");
  BOOST_TEST(ErrorOf(head + "fan_out: \"key\"); }").subject == "S.M");
  BOOST_TEST(ErrorOf(head + "fan_out: \"key\", key: \"z\"); }").subject ==
             "S.M");
  BOOST_TEST(ErrorOf(head + "fan_out: \"key\", key: \"f\"); }").subject ==
             "S.M");
  BOOST_TEST(ErrorOf(head + "repeat: \"once\"); }").subject == "S.M");
  BOOST_TEST(ErrorOf("table A { x:int; }").message ==
             "the schema declares no rpc_service");
}

BOOST_AUTO_TEST_CASE(Check_FieldsInOtherOrder_GivesTheSameFingerprint) {
  const auto first = Check("Claim", R"({"ticket": "T1", "by": "ann"})");
  const auto second = Check("Claim", R"({ "by":"ann", "ticket":"T1" })");
  BOOST_REQUIRE(first.index() == 0);
  BOOST_REQUIRE(second.index() == 0);
  BOOST_TEST(
      (std::get<0>(first).fingerprint == std::get<0>(second).fingerprint));
  BOOST_TEST(std::get<0>(first).body == std::get<0>(second).body);
  BOOST_TEST((std::get<0>(first).key == std::get<0>(second).key));
}

// An invalid body must be answered with a typed error and reach no target. If
// an unknown field were silently dropped, the search would run with other
// conditions than the caller asked for.
BOOST_AUTO_TEST_CASE(Check_InvalidBody_IsRejected) {
  for (const char* json :
       {"", "{", "[]", R"({"text": 5})", R"({"texxt": "a"})", R"({"limit": 3})",
        R"({"text": "a", "limit": "x"})", R"({"text": "a"} trailing)"}) {
    BOOST_TEST(Check("Search", json).index() == 1U, "accepted: " << json);
  }
  BOOST_TEST(Check("Search", std::string("{\"text\": \"a\"}\0x", 15)).index() ==
             1U);
  const auto missing = Check("Claim", R"({"by": "ann"})");
  BOOST_REQUIRE(missing.index() == 1U);
  BOOST_TEST(std::get<Error>(missing).subject == "ticket");
}

BOOST_AUTO_TEST_CASE(Check_ValidBodyAfterInvalidOne_IsAccepted) {
  BOOST_TEST(Check("Search", "{").index() == 1U);
  BOOST_TEST(Check("Search", R"({"text": "a"})").index() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
