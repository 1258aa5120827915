// Tests of reading client accounts from configurations, valid and invalid.
#include <jansson.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/random.h"
#include "platform/config_codec.h"
#include "support/printers.h"

namespace jacinthdeck::platform {

namespace {

using ReadResult = std::variant<std::shared_ptr<const RoutingConfig>, Error>;

constexpr const char* kAccounts = R"([
  {"name":"big","apiKeys":["k-big-1","k-big-2"],"ratePerS":80.5,"burst":20,
   "priority":1,"owner":"x"},
  {"name":"small","apiKeys":["k-small"],"ratePerS":0.2},
  {"name":"free","apiKeys":["k-free"],"burst":7}])";

[[nodiscard]] std::string ConfigOf(const std::string& tenants,
                                   const std::string& route_field = "") {
  return R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
         R"("routeType":"idempotent","service":"s")" +
         route_field + R"(}],"services":[{"name":"s"}],"tenants":)" + tenants +
         "}";
}

[[nodiscard]] ReadResult Read(const std::string& text) {
  return Capture([&] { return ReadConfig(text); });
}

//! Returns the account's configuration with one field replaced or added.
[[nodiscard]] std::string WithField(const std::string& field) {
  const std::string name = field.substr(0, field.find(':'));
  std::string account = "{" + field;
  for (const std::string& other :
       {std::string(R"("name":"n")"), std::string(R"("apiKeys":["k"])")}) {
    account += other.starts_with(name + ":") ? "" : "," + other;
  }
  return ConfigOf("[" + account + "}]");
}

/*! \brief An invalid list of accounts and the field that its error names. */
struct InvalidCase {
  std::string config;
  std::string subject;
};

[[nodiscard]] std::vector<InvalidCase> InvalidCases() {
  const std::string first = "config.tenants[0]";
  std::vector<InvalidCase> cases{
      {ConfigOf("{}"), "config.tenants"},
      {ConfigOf("null"), "config.tenants"},
      {ConfigOf("[null]"), first},
      {ConfigOf("[[]]"), first},
      {ConfigOf(R"([{"apiKeys":["k"]}])"), first + ".name"},
      {ConfigOf(R"([{"name":"n"}])"), first + ".apiKeys"},
      {ConfigOf(R"([{"name":"n","apiKeys":["k"]},)"
                R"({"name":"m","apiKeys":["l","k"]}])"),
       "config.tenants[1].apiKeys[1]"},
      {ConfigOf(R"([{"name":"n","apiKeys":["k"]},)"
                R"({"name":"n","apiKeys":["l"]}])"),
       "config.tenants[1].name"},
      {ConfigOf("[]", R"(,"public":1)"), "config.routes[0].public"},
      {ConfigOf("[]", R"(,"public":null)"), "config.routes[0].public"},
  };
  const std::string long_text(257, 'k');
  for (const std::string& text :
       {std::string(), long_text, std::string(R"(a\nb)"), std::string(R"(a\r)"),
        std::string(R"(\u0001)"), std::string("a\x7f"), std::string(" a"),
        std::string(R"(a\t)")}) {
    cases.push_back({WithField(R"("apiKeys":["k0",")" + text + R"("])"),
                     first + ".apiKeys[1]"});
    cases.push_back({WithField(R"("name":")" + text + '"'), first + ".name"});
  }
  for (const char* value : {"5", "null", "\"k\"", "{}"}) {
    cases.push_back(
        {WithField(R"("apiKeys":)" + std::string(value)), first + ".apiKeys"});
  }
  for (const char* value : {"5", "null", "[]"}) {
    cases.push_back({WithField(R"("apiKeys":[)" + std::string(value) + "]"),
                     first + ".apiKeys[0]"});
    cases.push_back(
        {WithField(R"("name":)" + std::string(value)), first + ".name"});
  }
  for (const std::string name : {"ratePerS", "burst"}) {
    std::string path = first + ".";
    path += name;
    for (const char* value : {"-1", "-0.001", "\"5\"", "null", "true", "[]"}) {
      cases.push_back({WithField('"' + name + "\":" + value), path});
    }
  }
  cases.push_back({WithField(R"("ratePerS":1000000001)"), first + ".ratePerS"});
  for (const char* value : {"-1", "1.5", "\"1\"", "null", "4294967296"}) {
    cases.push_back({WithField(R"("priority":)" + std::string(value)),
                     first + ".priority"});
  }
  return cases;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlatformTenantsTest)

BOOST_AUTO_TEST_CASE(Tenants_AllFields_AreRead) {
  const ReadResult read = Read(ConfigOf(kAccounts, R"(,"public":true)"));
  BOOST_REQUIRE_EQUAL(read.index(), 0U);
  const RoutingConfig& config = *std::get<0>(read);
  BOOST_TEST(config.Find("h", "/a/")->is_public);
  const TenantTable& tenants = *config.tenants();
  BOOST_REQUIRE_EQUAL(tenants.tenants().size(), 3U);
  const Tenant* big = tenants.FindByKey("k-big-2");
  BOOST_REQUIRE(big != nullptr);
  BOOST_TEST(big->name == TenantId("big"));
  BOOST_TEST(big->rate == 80.5);
  BOOST_TEST(big->burst == 20);
  BOOST_TEST(big->priority.value() == 1U);
  // A burst below 1 would admit no request at all.
  const Tenant* small = tenants.FindByKey("k-small");
  BOOST_REQUIRE(small != nullptr);
  BOOST_TEST(small->burst == 1);
  BOOST_TEST(!small->priority.has_value());
  BOOST_TEST(!tenants.FindByKey("k-free")->limited());
}

BOOST_AUTO_TEST_CASE(Tenants_AbsentOrEmpty_KeysAreNotChecked) {
  const ReadResult empty = Read(ConfigOf("[]"));
  BOOST_REQUIRE_EQUAL(empty.index(), 0U);
  BOOST_TEST(std::get<0>(empty)->tenants()->empty());
  BOOST_TEST(!std::get<0>(empty)->Find("h", "/a/")->is_public);
  const ReadResult absent = Read(R"({"version":1,"routes":[],"services":[]})");
  BOOST_REQUIRE_EQUAL(absent.index(), 0U);
  BOOST_TEST(std::get<0>(absent)->tenants()->empty());
}

// Guards against an invalid account that is left out or read in part: a caller
// would be refused, served without a limit or served as another account.
BOOST_AUTO_TEST_CASE(
    Tenants_InvalidField_ConfigIsRefusedAndErrorNamesTheField) {
  for (const InvalidCase& invalid : InvalidCases()) {
    BOOST_TEST_CONTEXT(invalid.config) {
      const ReadResult read = Read(invalid.config);
      BOOST_REQUIRE_EQUAL(read.index(), 1U);
      BOOST_TEST(std::get<Error>(read).subject == invalid.subject);
    }
  }
}

// Guards against limits at the edge of the allowed range that are refused.
BOOST_AUTO_TEST_CASE(Tenants_ValuesAtTheLimits_AreRead) {
  for (const std::string& field :
       {std::string(R"("ratePerS":1000000000)"),
        std::string(R"("burst":1e300)"),
        std::string(R"("priority":4294967295)"), std::string(R"("ratePerS":0)"),
        std::string(R"("name":"a b é")"),
        R"("apiKeys":[")" + std::string(256, 'k') + "\"]",
        std::string(R"("apiKeys":["a\tb","a\tb"])")}) {
    BOOST_TEST_CONTEXT(field) {
      BOOST_TEST(Read(WithField(field)).index() == 0U);
    }
  }
}

// Guards against a check command that shows one error at a time.
BOOST_AUTO_TEST_CASE(Check_SeveralErrors_AllAreNamed) {
  const std::vector<Error> errors = CheckConfig(
      ConfigOf(R"([{"name":"a","apiKeys":[""]},{"name":"b","apiKeys":["k"]},)"
               R"({"name":"b","apiKeys":["l"]}])",
               R"(,"public":"no")"));
  BOOST_REQUIRE_EQUAL(errors.size(), 3U);
  BOOST_TEST(errors[0].subject == "config.routes[0].public");
  BOOST_TEST(errors[1].subject == "config.tenants[0].apiKeys[0]");
  BOOST_TEST(errors[2].subject == "config.tenants[2].name");
  BOOST_TEST(CheckConfig(ConfigOf(kAccounts)).empty());
}

// Guards against keys in errors, which are logged: the JSON parser quotes the
// text beside a fault.
BOOST_AUTO_TEST_CASE(Error_OfAnyBrokenConfig_HasNoKey) {
  const std::string whole = ConfigOf(R"([{"name":"n","apiKeys":["SECRET"]}])");
  const std::size_t key = whole.find("\"SECRET\"");
  std::vector<std::string> broken;
  for (std::size_t end = key; end < whole.size(); ++end) {
    broken.push_back(whole.substr(0, end));
  }
  for (const char* text : {"SECRET", "\"SECRET\" \"SECRET\"", "\"SECRET\n\"",
                           "\"SECRET\\q\"", "\"SECRET\xff\"", "[\"SECRET\"]",
                           "{\"SECRET\":1,\"SECRET\":2}", "\"SECRET\\n\""}) {
    broken.push_back(whole.substr(0, key) + text + whole.substr(key + 8));
  }
  for (const std::string& text : broken) {
    BOOST_TEST_CONTEXT(text) {
      const ReadResult read = Read(text);
      BOOST_REQUIRE_EQUAL(read.index(), 1U);
      const Error& error = std::get<Error>(read);
      BOOST_TEST((error.subject + error.message).find("SECRET") ==
                 std::string::npos);
    }
  }
}

// Guards against a reader that crashes on mutated text or accepts a part of
// it: whatever is read has every account of the text, each with a name and
// keys of its own.
BOOST_AUTO_TEST_CASE(Tenants_MutatedConfig_IsReadWholeOrNotAtAll) {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kRuns = 20000;
  const std::string original = ConfigOf(kAccounts, R"(,"public":true)");
  const std::vector<std::string> pieces{
      "{",    "}",       "[",    "]",     ",",          ":",
      "\"",   "null",    "-1",   "1e308", "\"k-free\"", "\"big\"",
      "true", "\\u0000", "\xff", "",      "0",          "9999999999"};
  Random random(kSeed);
  int accepted = 0;
  for (int run = 0; run < kRuns; ++run) {
    std::string text = original;
    for (std::uint64_t change = random.Below(3); change < 3; ++change) {
      const std::size_t at = random.Below(text.size());
      text.replace(at, random.Below(9), pieces[random.Below(pieces.size())]);
    }
    const ReadResult read = Read(text);
    BOOST_REQUIRE_EQUAL(read.index() == 0U, CheckConfig(text).empty());
    if (read.index() != 0U) {
      continue;
    }
    ++accepted;
    const auto json = Capture([&] { return ParseJson(text, "text"); });
    BOOST_REQUIRE_EQUAL(json.index(), 0U);
    const json_t* list = json_object_get(std::get<0>(json).get(), "tenants");
    const auto& tenants = std::get<0>(read)->tenants()->tenants();
    BOOST_REQUIRE_EQUAL(tenants.size(), json_array_size(list));
    std::set<std::string> names;
    for (const Tenant& tenant : tenants) {
      BOOST_REQUIRE(!tenant.name.raw().empty());
      BOOST_REQUIRE(names.insert(tenant.name.raw()).second);
      BOOST_REQUIRE(!tenant.keys.empty());
      BOOST_REQUIRE(tenant.rate >= 0 && tenant.rate <= 1e9);
      BOOST_REQUIRE(!tenant.limited() || tenant.burst >= 1);
    }
  }
  // Some mutations leave a valid text; without them nothing would be checked.
  BOOST_TEST(accepted > kRuns / 100);
}

// An operator may remove the last key of an account. Refusing that version
// would keep the removed key in force, and hold back every later change with
// it.
BOOST_AUTO_TEST_CASE(Account_LostItsLastKey_VersionIsAccepted) {
  const auto config = Read(ConfigOf(R"([{"name":"n","apiKeys":[]},)"
                                    R"({"name":"m","apiKeys":["k"]}])"));
  const auto* read = std::get_if<std::shared_ptr<const RoutingConfig>>(&config);
  BOOST_REQUIRE(read != nullptr);
  const TenantTable& tenants = *(*read)->tenants();
  BOOST_TEST(tenants.Find(TenantId("n"))->keys.empty());
  BOOST_TEST((tenants.FindByKey("k") == tenants.Find(TenantId("m"))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::platform
