// How much of the limits this host was entitled to, over time.
#ifndef JACINTHDECK_TENANCY_SHARE_HISTORY_H_
#define JACINTHDECK_TENANCY_SHARE_HISTORY_H_

#include <deque>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief The sum of the shares of one partition that this host may use, as a
 * step function of time. */
class ShareHistory {
 public:
  /*! \brief A sum and when it began. */
  struct Step {
    TimePoint since;
    double share = 0;
  };

  /*! \brief Sets the sum from a time on; times do not decrease. */
  void Set(double share, TimePoint since);

  /*! \brief Returns the present sum. */
  [[nodiscard]] double share() const noexcept {
    return m_steps.empty() ? 0 : m_steps.back().share;
  }

  /*! \brief Returns the steps, oldest first. Before the first one the sum
   * counts as 0. */
  [[nodiscard]] const std::deque<Step>& steps() const noexcept {
    return m_steps;
  }

 private:
  //! Bounds memory. With an older step dropped, buckets that were not used
  //! since then are taken for empty at the start of the oldest one.
  static constexpr std::size_t kMostSteps = 256;

  //! Ascending by time; neighbours differ in their sum.
  std::deque<Step> m_steps;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_SHARE_HISTORY_H_
