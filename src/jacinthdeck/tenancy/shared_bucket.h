// Token bucket of one account at one host, scaled by the sum of its shares.
#ifndef JACINTHDECK_TENANCY_SHARED_BUCKET_H_
#define JACINTHDECK_TENANCY_SHARED_BUCKET_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_plan.h"
#include "jacinthdeck/tenancy/share_history.h"

namespace jacinthdeck {

/**
 * \brief Token bucket that fills at rate x S and holds burst x S, where S is
 * the sum of the shares that this host may use.
 *
 * It is empty while S is 0, and what exceeds its size after S has fallen is
 * lost. So the buckets of all hosts together hold no more than one bucket
 * would.
 */
class SharedBucket {
 public:
  /*! \brief Brings the level up to date. The first call replays the whole
   * history, as if the bucket had been there unused. */
  void Advance(const RatePlan& plan,
               const ShareHistory& history,
               TimePoint now);

  /*! \brief Takes one token; false if there is no whole one. */
  [[nodiscard]] bool TryTake();

  /*! \brief Takes up to a number of tokens and returns how many. */
  [[nodiscard]] double TakeUpTo(double tokens);

  /*! \brief Adds a token that was not used, up to the size. */
  void Return(const RatePlan& plan, double share);

  [[nodiscard]] double level() const noexcept { return m_level; }

  /*! \brief Returns whether the bucket could be forgotten and replayed. */
  [[nodiscard]] bool IsFull(const RatePlan& plan, double share) const;

  /*! \brief Returns the size with a sum of shares. */
  [[nodiscard]] static double SizeOf(const RatePlan& plan,
                                     double share) noexcept;

 private:
  //! From 0 to SizeOf().
  double m_level = 0;
  //! Up to when m_level accounts for tokens that came in.
  TimePoint m_updated = TimePoint::min();
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_SHARED_BUCKET_H_
