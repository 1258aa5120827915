// Which key ranges of the asked ones have answered.
#ifndef JACINTHDECK_QUERY_COVERAGE_H_
#define JACINTHDECK_QUERY_COVERAGE_H_

#include <span>
#include <vector>

#include "jacinthdeck/query/key_range.h"
#include "jacinthdeck/query/partition_map.h"

namespace jacinthdeck {

/**
 * \brief A set of keys, kept as disjoint, ordered ranges.
 *
 * A range that overlaps one already held is refused, not merged: two replies
 * for one key mean that something was counted twice, and the caller must drop
 * the second.
 */
class Coverage {
 public:
  /*! \brief Gives the ranges, ordered, disjoint, with touching ones joined. */
  [[nodiscard]] const std::vector<KeyRange>& ranges() const noexcept {
    return m_ranges;
  }

  /*! \brief Tells whether no key is held. */
  [[nodiscard]] bool empty() const noexcept { return m_ranges.empty(); }

  /*! \brief Tells whether every key of a range is held. */
  [[nodiscard]] bool Covers(const KeyRange& range) const noexcept;

  /**
   * \brief Names what of another coverage is not held here.
   * \param asked Keys that were asked for.
   * \return The keys of `asked` that are missing.
   */
  [[nodiscard]] Coverage MissingFrom(const Coverage& asked) const;

  /**
   * \brief Adds a range.
   * \param range Range; an empty or inverted one is refused.
   * \return False, and nothing changes, if any key of it is already held.
   */
  [[nodiscard]] bool Add(const KeyRange& range);

 private:
  //! Ordered, disjoint, none empty, no two touching.
  std::vector<KeyRange> m_ranges;
};

/**
 * \brief Checks that a map is a partition of the whole key space.
 * \param map Map as an index builder wrote it.
 * \return True if the shards are ordered, disjoint and leave no gap.
 */
[[nodiscard]] bool IsPartition(const PartitionMap& map) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_COVERAGE_H_
