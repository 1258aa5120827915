// Tests of how the descriptors of a host are divided.
#include "jacinthdeck/entry/descriptor_shares.h"

#include <boost/test/unit_test.hpp>

namespace jacinthdeck {

namespace {

[[nodiscard]] EntrySettings SettingsWith(std::uint32_t descriptors) {
  EntrySettings settings;
  settings.descriptors = descriptors;
  settings.directory = {"127.0.0.1", 1};
  settings.queries = {"127.0.0.1", 2};
  settings.peers = {"127.0.0.1", 3};
  return settings;
}

[[nodiscard]] std::uint32_t SumOf(const DescriptorShares& shares) {
  return shares.callers + shares.targets + shares.directory + shares.queries +
         2 * shares.monitoring + shares.followers;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DescriptorSharesTest)

// Guards against connections of one kind that take the descriptors of another.
BOOST_AUTO_TEST_CASE(Shares_AnyNumber_LeaveDescriptorsForTheProcess) {
  for (const std::uint32_t descriptors :
       {64U, 100U, 256U, 1024U, 4100U, 8192U, 1048576U}) {
    const DescriptorShares shares = ShareDescriptors(SettingsWith(descriptors));
    BOOST_TEST(SumOf(shares) + 32 <= descriptors);
    BOOST_TEST(shares.callers >= 8U);
    BOOST_TEST(shares.targets >= 8U);
    BOOST_TEST(shares.directory >= 1U);
    BOOST_TEST(shares.followers >= 1U);
    BOOST_TEST(shares.monitoring >= 1U);
  }
}

BOOST_AUTO_TEST_CASE(Port_NotConfigured_ItsShareGoesToCallers) {
  const DescriptorShares with = ShareDescriptors(SettingsWith(1024));
  EntrySettings settings = SettingsWith(1024);
  settings.queries = {};
  const DescriptorShares without = ShareDescriptors(settings);
  BOOST_TEST(without.queries == 0U);
  BOOST_TEST(without.callers == with.callers + with.queries);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
