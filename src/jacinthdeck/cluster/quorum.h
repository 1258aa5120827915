// Majorities of the voters, also while the list of voters changes.
#ifndef JACINTHDECK_CLUSTER_QUORUM_H_
#define JACINTHDECK_CLUSTER_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Smallest number that is more than half of `count`. */
[[nodiscard]] constexpr std::size_t MajorityOf(std::size_t count) noexcept {
  return count / 2 + 1;
}

namespace internal {

template <typename Counts>
[[nodiscard]] bool HasMajority(const std::vector<NodeId>& voters,
                               const Counts& counts) {
  const auto counted = std::ranges::count_if(voters, counts);
  return static_cast<std::size_t>(counted) >= MajorityOf(voters.size());
}

}  // namespace internal

/**
 * \brief Tells whether enough voters are counted.
 *
 * While a change of the voters is unsettled, a majority of the old list and one
 * of the new list are needed. With the new list alone, a node that knows only
 * the old one could find a majority that never heard of the change.
 * \param value Value that names the voters.
 * \param counts Predicate on a NodeId: whether that voter is counted.
 */
template <typename Counts>
[[nodiscard]] bool IsQuorum(const ConfigValue& value, const Counts& counts) {
  return internal::HasMajority(value.voters, counts) &&
         (value.former_voters.empty() ||
          internal::HasMajority(value.former_voters, counts));
}

/*! \brief Tells whether a node is in either list of voters. */
[[nodiscard]] inline bool IsVoter(const ConfigValue& value,
                                  const NodeId& node) {
  return std::ranges::binary_search(value.voters, node) ||
         std::ranges::binary_search(value.former_voters, node);
}

/*! \brief Every node of either list, sorted, each once. */
[[nodiscard]] inline std::vector<NodeId> AllVoters(const ConfigValue& value) {
  std::vector<NodeId> all;
  std::ranges::set_union(value.voters, value.former_voters,
                         std::back_inserter(all));
  return all;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_QUORUM_H_
