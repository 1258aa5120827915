// What one account may use at one host: bucket, reserve and reservations.
#ifndef JACINTHDECK_TENANCY_ACCOUNT_TOKENS_H_
#define JACINTHDECK_TENANCY_ACCOUNT_TOKENS_H_

#include <cstdint>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_plan.h"
#include "jacinthdeck/tenancy/rate_reserve.h"
#include "jacinthdeck/tenancy/share_history.h"
#include "jacinthdeck/tenancy/shared_bucket.h"
#include "jacinthdeck/tenancy/token_decision.h"
#include "jacinthdeck/tenancy/token_reservations.h"

namespace jacinthdeck {

/*! \brief Decides on the requests of one account with what this host holds. */
class AccountTokens {
 public:
  AccountTokens(const RatePlan& plan, Duration window);

  /*! \brief Changes the limit; call Advance() before. */
  void SetPlan(const RatePlan& plan);

  /*! \brief Sets how many requests this host's reserve holds. */
  void SetReserve(std::uint32_t size) noexcept { m_reserve.SetSize(size); }

  /*! \brief Brings everything up to date; call it before any other function
   * that takes a time. */
  void Advance(const ShareHistory& history, TimePoint now);

  /**
   * \brief Decides on a request as an allocator.
   *
   * A refused request gets a reservation: the same request is admitted when it
   * comes back after the time that it was told.
   */
  [[nodiscard]] TokenDecision Decide(std::uint64_t hash, TimePoint now);

  /*! \brief Admits a request from the bucket unless others come first. */
  [[nodiscard]] bool TryBucket(TimePoint now);

  /*! \brief Admits a request from the reserve. */
  [[nodiscard]] bool TryReserve(TimePoint now);

  /*! \brief Pays for requests that another host admitted from its reserve.
   * \return How many the bucket had tokens for. */
  [[nodiscard]] std::uint32_t Pay(std::uint32_t spent);

  /*! \brief Processes that an allocator paid for requests of this reserve. */
  void OnPaid(std::uint32_t count) { m_reserve.Settle(count); }

  /*! \brief Gives back the token of a request that did not run.
   * \return Whether it went to the reserve. */
  bool Refund();

  /*! \brief Returns whether the object could be forgotten and created anew
   * without a difference. */
  [[nodiscard]] bool IsIdle() const;

  [[nodiscard]] const RatePlan& plan() const noexcept { return m_plan; }
  [[nodiscard]] double level() const noexcept { return m_bucket.level(); }
  [[nodiscard]] const RateReserve& reserve() const noexcept {
    return m_reserve;
  }
  [[nodiscard]] std::size_t reservations() const noexcept {
    return m_reservations.size();
  }
  /*! \brief Whether no further reservations are made, to bound memory. */
  void SetMayReserve(bool may_reserve) noexcept { m_may_reserve = may_reserve; }

 private:
  [[nodiscard]] TokenDecision DecideReserved(std::uint64_t hash,
                                             TimePoint due,
                                             TimePoint now);
  [[nodiscard]] TokenDecision Refuse(std::uint64_t hash, TimePoint now);
  void PayOwnReserve();
  //! Tokens that may pay for reserves.
  [[nodiscard]] double Payable() const;
  [[nodiscard]] Duration ClaimTime() const;

  RatePlan m_plan;
  SharedBucket m_bucket;
  RateReserve m_reserve;
  TokenReservations m_reservations;
  //! Sum of the shares in use at the last Advance().
  double m_share = 0;
  bool m_may_reserve = true;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_ACCOUNT_TOKENS_H_
