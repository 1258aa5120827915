// Tests of the look-up of client accounts by key and by name.
#include "jacinthdeck/tenancy/tenant_table.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace jacinthdeck {

namespace {

[[nodiscard]] std::string KeyText(std::size_t tenant, std::size_t key) {
  return "key-" + std::to_string(tenant) + "-" + std::to_string(key);
}

/*! \brief A table of 1,000 accounts of two keys each, named "0" to "999". */
struct TableFixture {
  static constexpr std::size_t kTenants = 1000;
  TenantTable table{MakeTenants()};

  [[nodiscard]] static std::vector<Tenant> MakeTenants() {
    std::vector<Tenant> tenants(kTenants);
    for (std::size_t i = 0; i < kTenants; ++i) {
      tenants[i].name = TenantId(std::to_string(i));
      tenants[i].keys = {DigestOf(KeyText(i, 0)), DigestOf(KeyText(i, 1))};
    }
    return tenants;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TenantTableTest, TableFixture)

// Guards against a key or name that a hash collision gives to another account.
BOOST_AUTO_TEST_CASE(LookUp_EveryKeyAndName_FindsItsAccount) {
  for (std::size_t i = 0; i < kTenants; ++i) {
    const Tenant* expected = &table.tenants()[i];
    BOOST_TEST(table.FindByKey(KeyText(i, 0)) == expected);
    BOOST_TEST(table.FindByKey(KeyText(i, 1)) == expected);
    BOOST_TEST(table.Find(expected->name) == expected);
  }
}

// Guards against an unknown key that is accepted: a prefix, a longer key, the
// name of an account, bytes that no key may have, and the largest header.
BOOST_AUTO_TEST_CASE(LookUp_UnknownKeyOrName_FindsNone) {
  const std::string key = KeyText(7, 0);
  for (const std::string& unknown :
       {std::string(), key.substr(0, key.size() - 1), key + "0", " " + key,
        key + std::string(1, '\0'), std::string("7"), std::string(8192, 'k'),
        std::string(kMaxKeyBytes, 'k'), std::string("\x01\xff\x7f")}) {
    BOOST_TEST(table.FindByKey(unknown) == nullptr);
  }
  BOOST_TEST(table.Find(TenantId("1000")) == nullptr);
  BOOST_TEST(table.Find(TenantId()) == nullptr);
}

// Guards against a table without accounts that divides by its size.
BOOST_AUTO_TEST_CASE(LookUp_EmptyTable_FindsNone) {
  const TenantTable empty;
  BOOST_TEST(empty.empty());
  BOOST_TEST(empty.FindByKey("k") == nullptr);
  BOOST_TEST(empty.Find(TenantId("k")) == nullptr);
  BOOST_TEST(TenantTable(std::vector<Tenant>()).FindByKey("k") == nullptr);
}

BOOST_AUTO_TEST_CASE(Digest_SameAndOtherKey_AreEqualAndDiffer) {
  BOOST_TEST((DigestOf("k") == DigestOf("k")));
  BOOST_TEST(!(DigestOf("k") == DigestOf("K")));
  BOOST_TEST(DigestOf("k").Hash() != DigestOf("l").Hash());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
