// Limits the extra attempts (hedges and retries) at a service in a sliding
// window, summed over all hosts.
#ifndef JACINTHDECK_FORWARD_ATTEMPT_BUDGET_H_
#define JACINTHDECK_FORWARD_ATTEMPT_BUDGET_H_

#include <array>
#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Limit on extra attempts (hedges and retries), shared by all hosts. */
struct AttemptBudgetOptions {
  //! Extra attempts allowed per request in the window.
  double ratio = 0.1;
  //! Extra attempts allowed in the window in addition to the ratio, summed over
  //! all hosts.
  double constant = 10;
  Duration window = std::chrono::seconds(10);
};

/**
 * \brief This host's part of the extra-attempt budget of one service.
 *
 * Each host spends the ratio of its own requests and an equal share of the
 * constant. The sum over all hosts therefore stays within the limit without
 * messages between them, also during a network partition. A new share grows
 * from zero over one window, because the previous process or another host may
 * already have spent it in this window.
 */
class AttemptBudget {
 public:
  /*! \brief Creates a budget whose share of the constant is zero. */
  explicit AttemptBudget(const AttemptBudgetOptions& options);

  /**
   * \brief Sets this host's share of the constant.
   * \param share Fraction from 0 to 1.
   * \param since When this host got the share; it grows from zero over one
   * window from then on.
   */
  void SetShare(double share, TimePoint since) noexcept {
    m_share = share;
    m_share_since = since;
  }

  /*! \brief Counts a request whose first attempt goes to the service. */
  void OnRequest(TimePoint now);

  /*! \brief Returns whether one more extra attempt may be sent now. */
  [[nodiscard]] bool CanSpend(TimePoint now);

  /**
   * \brief Spends one extra attempt.
   * \return False, with nothing spent, if the budget is exhausted.
   */
  [[nodiscard]] bool TrySpend(TimePoint now);

  /*! \brief Gives back what was spent on an attempt of which no byte left this
   * host. */
  void Refund(TimePoint now);

  /*! \brief Returns the number of extra attempts that may be sent now. */
  [[nodiscard]] double Available(TimePoint now);

 private:
  //! Number of buckets per window. Extra attempts are summed over one bucket
  //! more than the window, so that no sliding window of the exact length holds
  //! more than the limit.
  static constexpr std::size_t kBuckets = 20;

  struct Bucket {
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };

  void Advance(TimePoint now);

  AttemptBudgetOptions m_options;
  double m_share = 0;
  TimePoint m_share_since;
  //! Ring of buckets; m_newest is the number of the newest one, counted from
  //! the epoch of the clock.
  std::array<Bucket, kBuckets + 1> m_ring{};
  std::int64_t m_newest = 0;
  //! Sums over the ring; m_requests leaves out the oldest bucket, m_extras
  //! includes it.
  std::uint32_t m_requests = 0;
  std::uint32_t m_extras = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ATTEMPT_BUDGET_H_
