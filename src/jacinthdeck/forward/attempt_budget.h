// Bounds extra attempts at a service in a sliding window, over all hosts.
#ifndef JACINTHDECK_FORWARD_ATTEMPT_BUDGET_H_
#define JACINTHDECK_FORWARD_ATTEMPT_BUDGET_H_

#include <array>
#include <cstdint>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Bound on extra attempts that all hosts share. */
struct AttemptBudgetOptions {
  //! Extra attempts for each request in the window.
  double ratio = 0.1;
  //! Extra attempts in the window beside the ratio, over all hosts.
  double constant = 10;
  Duration window = std::chrono::seconds(10);
};

/**
 * \brief This host's part of the budget of one service.
 *
 * Each host spends its own requests' ratio and an equal share of the constant,
 * so that the sum over the hosts keeps the bound without a message: also while
 * hosts are cut off from each other. A share that is new grows from zero over
 * one window, since the life before, or another host, may have spent it.
 */
class AttemptBudget {
 public:
  /*! \brief Makes a budget without a share of the constant. */
  explicit AttemptBudget(const AttemptBudgetOptions& options);

  /**
   * \brief Says which part of the constant is this host's.
   * \param share Part, 0 to 1.
   * \param since Since when it has one; the part grows from zero over one
   * window from then on.
   */
  void SetShare(double share, TimePoint since) noexcept {
    m_share = share;
    m_share_since = since;
  }

  /*! \brief Counts a request whose first attempt is the service's. */
  void OnRequest(TimePoint now);

  /*! \brief Tells whether one more extra attempt may be sent now. */
  [[nodiscard]] bool CanSpend(TimePoint now);

  /**
   * \brief Pays for one extra attempt.
   * \return False, with nothing spent, if the window has no room.
   */
  [[nodiscard]] bool TrySpend(TimePoint now);

  /*! \brief Takes back the payment of an attempt that never left this host. */
  void Refund(TimePoint now);

  /*! \brief Extra attempts that could be sent now. */
  [[nodiscard]] double Available(TimePoint now);

 private:
  //! Buckets of a window; the sum covers one bucket more than the window, so
  //! that no sliding window of the exact length holds more than the bound.
  static constexpr std::size_t kBuckets = 20;

  struct Bucket {
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };

  void Advance(TimePoint now);

  AttemptBudgetOptions m_options;
  double m_share = 0;
  TimePoint m_share_since;
  //! Ring; m_newest is the number of its newest bucket since the epoch.
  std::array<Bucket, kBuckets + 1> m_ring{};
  std::int64_t m_newest = 0;
  //! Sums over the ring; requests leave out the oldest bucket, extras do not.
  std::uint32_t m_requests = 0;
  std::uint32_t m_extras = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ATTEMPT_BUDGET_H_
