// Tests of the headers that carry keys and accounts.
#include "jacinthdeck/entry/account_headers.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "support/printers.h"

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

  //! Returns the account of a typed request, "none", or "401".
  [[nodiscard]] std::string TypedAccount(const std::vector<Header>& headers,
                                         const TenantTable* table) const {
    const auto account =
        Capture([&] { return TypedAccountOf(headers, protocol, table); });
    if (const auto* error = std::get_if<Error>(&account)) {
      BOOST_TEST((error->code == ErrorCode::kUnauthorized));
      BOOST_TEST(error->message.find("secret") == std::string::npos);
      return "401";
    }
    const auto& name = std::get<0>(account);
    return name ? name->raw() : "none";
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

// Guards against typed calls that pass without a key where accounts exist, and
// against a check where none exist.
BOOST_AUTO_TEST_CASE(TypedAccount_WithAndWithoutAccounts_ComesFromTheKey) {
  const std::vector<Header> known{{"X-Key", "k1"}, {"X-Tenant", "other"}};
  const std::vector<Header> unknown{{"X-Key", "secret"}};
  const TenantTable no_accounts;
  BOOST_TEST(TypedAccount(known, &tenants) == "shop");
  BOOST_TEST(TypedAccount(unknown, &tenants) == "401");
  BOOST_TEST(TypedAccount({}, &tenants) == "401");
  for (const TenantTable* none :
       {&no_accounts, static_cast<const TenantTable*>(nullptr)}) {
    BOOST_TEST(TypedAccount(known, none) == "none");
    BOOST_TEST(TypedAccount(unknown, none) == "none");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
