// Measures the table of client accounts: memory of a host, time of a look-up,
// and processor time to read a configuration and to apply it.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/discovery/knowledge.h"
#include "platform/store_codec.h"

namespace {

namespace po = boost::program_options;
using jacinthdeck::DiscoveryState;
using jacinthdeck::TenantTable;

constexpr int kKeysPerTenant = 2;

[[nodiscard]] std::string KeyText(std::uint64_t tenant, int key) {
  return "key-" + std::to_string(10'000'000 + tenant) + "-" +
         std::to_string(1'000 + key);
}

[[nodiscard]] std::string ConfigText(std::uint64_t version,
                                     std::uint64_t tenants) {
  std::string text = R"({"routes":[],"services":[],"version":)" +
                     std::to_string(version) + R"(,"tenants":[)";
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    text += tenant == 0 ? "" : ",";
    text += R"({"name":"account-)" + std::to_string(tenant) +
            R"(","ratePerS":1.5,"burst":10,"apiKeys":[)";
    for (int key = 0; key < kKeysPerTenant; ++key) {
      text += key == 0 ? "\"" : ",\"";
      text += KeyText(tenant, key) + '"';
    }
    text += "]}";
  }
  return text + "]}";
}

[[nodiscard]] std::size_t HeapBytes() {
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

//! Returns the processor time of this thread in nanoseconds. Unlike elapsed
//! time it leaves out the time that other processes of the machine take.
[[nodiscard]] double ProcessorTime() {
  timespec time{};
  (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return 1e9 * static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec);
}

//! Returns the mean time of a look-up in nanoseconds.
template <typename LookUp>
[[nodiscard]] double Measure(const std::vector<std::string>& texts,
                             int rounds,
                             LookUp&& look_up) {
  std::uint64_t found = 0;
  const double start = ProcessorTime();
  for (int round = 0; round < rounds; ++round) {
    for (const std::string& text : texts) {
      found += look_up(text) != nullptr ? 1U : 0U;
    }
  }
  const double spent = ProcessorTime() - start;
  if (found != 0 && found != texts.size() * static_cast<unsigned>(rounds)) {
    std::cerr << "error: some look-ups of one kind failed\n";
  }
  return spent /
         (static_cast<double>(texts.size()) * static_cast<double>(rounds));
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t tenants = 10'000;
  int rounds = 50;
  po::options_description options("Options");
  options.add_options()("help", "print this")(
      "tenants", po::value(&tenants)->default_value(tenants),
      "number of accounts, each with two keys")(
      "rounds", po::value(&rounds)->default_value(rounds),
      "look-ups of each key");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  const jacinthdeck::platform::StoreCodec codec;
  std::vector<std::string> known;
  std::vector<std::string> unknown;
  std::vector<std::string> names;
  jacinthdeck::Random random(1);
  for (std::uint64_t i = 0; i < tenants * kKeysPerTenant; ++i) {
    const std::uint64_t tenant = random.Below(tenants);
    known.push_back(KeyText(tenant, static_cast<int>(i % kKeysPerTenant)));
    unknown.push_back(KeyText(tenant, kKeysPerTenant));
    names.push_back("account-" + std::to_string(tenant));
  }
  // The heap that the first version takes: the table and, as on a host, the
  // text of the entry, which is sent on to other hosts.
  const std::size_t before = HeapBytes();
  DiscoveryState state(codec);
  std::vector<double> apply_ms;
  std::size_t heap_bytes = 0;
  constexpr std::uint64_t kVersions = 9;
  for (std::uint64_t version = 1; version <= kVersions; ++version) {
    std::vector<jacinthdeck::StoreChange> changes(1);
    changes[0] = {"op/config",
                  {.era = {}, .revision = version},
                  ConfigText(version, tenants)};
    const double start = ProcessorTime();
    const auto changed = state.OnChanges(changes, {});
    apply_ms.push_back((ProcessorTime() - start) / 1e6);
    if (!changed.config) {
      std::cerr << "error: the configuration was not applied\n";
      return 1;
    }
    changes.clear();
    changes.shrink_to_fit();
    if (version == 1) {
      heap_bytes = HeapBytes() - before;
    }
  }
  const std::shared_ptr<const TenantTable> table = state.config()->tenants();
  std::ranges::sort(apply_ms);
  std::cout << std::fixed << std::setprecision(1) << "accounts "
            << table->tenants().size() << ", keys " << tenants * kKeysPerTenant
            << ", configuration " << ConfigText(1, tenants).size() << " bytes\n"
            << "table: " << table->Bytes()
            << " bytes; heap with the text of the entry: " << heap_bytes
            << " bytes\n"
            << "known key: "
            << Measure(known, rounds,
                       [&](const auto& key) { return table->FindByKey(key); })
            << " ns, unknown key: "
            << Measure(unknown, rounds,
                       [&](const auto& key) { return table->FindByKey(key); })
            << " ns, name: "
            << Measure(names, rounds,
                       [&](const auto& name) {
                         return table->Find(jacinthdeck::TenantId(name));
                       })
            << " ns\n"
            << "read and apply a version: median " << apply_ms[kVersions / 2]
            << " ms, worst " << apply_ms.back() << " ms\n";
  return 0;
}
