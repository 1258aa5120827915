// Set of hashed keys, used to tell which of the keys asked for were answered.
#ifndef JACINTHDECK_QUERY_COVERAGE_H_
#define JACINTHDECK_QUERY_COVERAGE_H_

#include <span>
#include <vector>

#include "jacinthdeck/query/key_range.h"
#include "jacinthdeck/query/partition_map.h"

namespace jacinthdeck {

/**
 * \brief Set of hashed keys, stored as disjoint, ordered ranges.
 *
 * Add() rejects a range that overlaps the set instead of merging it. An overlap
 * means that two replies contain the same keys, and the caller must drop the
 * second, which would otherwise be counted twice.
 */
class Coverage {
 public:
  /*! \brief Returns the ranges: ordered, disjoint, adjacent ones joined. */
  [[nodiscard]] const std::vector<KeyRange>& ranges() const noexcept {
    return m_ranges;
  }

  /*! \brief Returns whether the set is empty. */
  [[nodiscard]] bool empty() const noexcept { return m_ranges.empty(); }

  /*! \brief Returns whether the set contains every key of a range. */
  [[nodiscard]] bool Covers(const KeyRange& range) const noexcept;

  /**
   * \brief Subtracts this set from another one.
   * \param asked Keys that were asked for.
   * \return Keys of `asked` that this set does not contain.
   */
  [[nodiscard]] Coverage MissingFrom(const Coverage& asked) const;

  /**
   * \brief Adds a range.
   * \param range Range; rejected if it is empty, inverted or ends beyond
   * kKeySpaceEnd.
   * \return False, with the set unchanged, if the range is rejected or the set
   * already contains any of its keys.
   */
  [[nodiscard]] bool Add(const KeyRange& range);

 private:
  //! Ordered, disjoint and not empty; no two are adjacent.
  std::vector<KeyRange> m_ranges;
};

/**
 * \brief Checks that a map is a partition of the whole key space.
 * \param map Map as written by an index builder; not validated before.
 * \return True if the shards are ordered, disjoint and without gaps.
 */
[[nodiscard]] bool IsPartition(const PartitionMap& map) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_COVERAGE_H_
