// Tests of the headers that carry keys and accounts.
#include "jacinthdeck/entry/account_headers.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace jacinthdeck {

namespace {

struct HeadersFixture {
  TargetProtocol protocol;
  TenantTable tenants{MakeTenants()};

  HeadersFixture() {
    protocol.key = "X-Key";
    protocol.tenant = "X-Account";
  }

  [[nodiscard]] static std::vector<Tenant> MakeTenants() {
    Tenant tenant;
    tenant.name = TenantId("shop");
    tenant.keys = {DigestOf("k1"), DigestOf("k2")};
    return {tenant};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AccountHeadersTest, HeadersFixture)

// Guards against a second key header that is ignored: two hosts on the way of
// a request could then take it for the request of two accounts.
BOOST_AUTO_TEST_CASE(Key_NoneOneOrSeveral_AreToldApart) {
  BOOST_TEST((KeyOf({}, protocol).count == KeyCount::kNone));
  const std::vector<Header> one{{"A", "b"}, {"x-key", "k1"}};
  BOOST_TEST((KeyOf(one, protocol).count == KeyCount::kOne));
  BOOST_TEST(KeyOf(one, protocol).key == "k1");
  for (const char* second : {"k1", "k2", ""}) {
    const std::vector<Header> two{{"X-Key", "k1"}, {"X-KEY", second}};
    BOOST_TEST((KeyOf(two, protocol).count == KeyCount::kSeveral));
    BOOST_TEST(KeyOf(two, protocol).key.empty());
    BOOST_TEST(AccountOf(two, protocol, tenants) == nullptr);
  }
}

// Guards against an empty key header that counts as no key check.
BOOST_AUTO_TEST_CASE(Account_KnownOrUnknownKey_IsFoundOrNull) {
  const auto account = [&](const std::string& key) {
    const std::vector<Header> headers{{"X-Key", key}};
    return AccountOf(headers, protocol, tenants);
  };
  BOOST_TEST(account("k2") == &tenants.tenants()[0]);
  for (const std::string& key :
       {std::string(), std::string("k3"), std::string("shop"),
        std::string("k1, k2"), std::string("k1\x01"), std::string(8192, 'k')}) {
    BOOST_TEST(account(key) == nullptr);
  }
}

// Guards against a key that reaches a target, and against a caller who names
// an account itself, in any spelling and number of headers.
BOOST_AUTO_TEST_CASE(Remove_KeyAndAccountHeaders_OthersAreKept) {
  OpaqueRequest request;
  request.headers = {{"X-KEY", "k1"}, {"Accept", "a"}, {"x-account", "b"},
                     {"X-Key", "k2"}, {"X-Keys", "c"}, {"X-Account", "shop"}};
  RemoveAccountHeaders(request, protocol);
  BOOST_REQUIRE_EQUAL(request.headers.size(), 2U);
  BOOST_TEST(request.headers[0].name == "Accept");
  BOOST_TEST(request.headers[1].name == "X-Keys");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
