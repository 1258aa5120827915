// Rendezvous hashing: the front with the highest weight comes first.
#include "jacinthdeck/tenancy/allocator_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace jacinthdeck {

namespace {

[[nodiscard]] std::vector<std::uint16_t> RankedBy(
    const std::vector<HostId>& fronts,
    std::uint64_t seed) {
  std::vector<std::pair<std::uint64_t, std::uint16_t>> weights;
  weights.reserve(fronts.size());
  for (std::size_t i = 0; i < fronts.size(); ++i) {
    const std::string& name = fronts[i].raw();
    weights.emplace_back(
        XXH3_64bits_withSeed(name.data(), name.size(), seed + 1),
        static_cast<std::uint16_t>(i));
  }
  std::ranges::sort(weights, std::greater{});
  std::vector<std::uint16_t> ranked;
  ranked.reserve(weights.size());
  for (const auto& [weight, position] : weights) {
    ranked.push_back(position);
  }
  return ranked;
}

}  // namespace

std::size_t AllocatorChoice::PartitionOf(const TenantId& tenant) {
  return XXH3_64bits(tenant.raw().data(), tenant.raw().size()) %
         kRatePartitions;
}

void AllocatorChoice::SetFronts(std::span<const HostId> fronts) {
  constexpr std::size_t kMost = std::numeric_limits<std::uint16_t>::max();
  std::vector<HostId> sorted(fronts.begin(), fronts.end());
  std::ranges::sort(sorted);
  sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
  sorted.resize(std::min(sorted.size(), kMost));
  if (sorted == m_fronts) {
    return;
  }
  m_fronts = std::move(sorted);
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    m_ranked[partition] = RankedBy(m_fronts, partition);
  }
}

std::optional<std::uint32_t> AllocatorChoice::RankOf(std::size_t partition,
                                                     const HostId& host) const {
  const auto& ranked = m_ranked[partition];
  const auto found = std::ranges::find_if(
      ranked, [&](std::uint16_t front) { return m_fronts[front] == host; });
  if (found == ranked.end()) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(found - ranked.begin());
}

}  // namespace jacinthdeck
