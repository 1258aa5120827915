// Holds the requests of each client account to its limit, summed over all
// hosts.
#ifndef JACINTHDECK_TENANCY_RATE_LIMITER_H_
#define JACINTHDECK_TENANCY_RATE_LIMITER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_limiter_port.h"
#include "jacinthdeck/tenancy/rate_limiter_status.h"
#include "jacinthdeck/tenancy/rate_message.h"
#include "jacinthdeck/tenancy/rate_verdict.h"
#include "jacinthdeck/tenancy/tenant_table.h"

namespace jacinthdeck {

/*! \brief Settings of a rate limiter. */
struct RateLimiterOptions {
  HostId host;
  std::uint64_t started_ms = 0;
  //! Over any span of this length, an account's admitted requests stay within
  //! (rate * window + burst) * (1 + overshoot) + slack.
  Duration window = std::chrono::seconds(5);
  double overshoot = 0;
  double slack = 0;
};

/*! \brief A request of a limited account. */
struct RateRequest {
  CallId call;
  TenantId tenant;
  //! Equal if the caller sends the same request again.
  std::uint64_t request_hash = 0;
  //! Latest time of the verdict.
  TimePoint decide_by;
};

/**
 * \brief Rate limiter of one host; those of all hosts hold the limits together.
 *
 * Holds no socket, thread or clock: the time is passed in, and effects go to a
 * RateLimiterPort.
 */
class RateLimiter {
 public:
  RateLimiter(const RateLimiterOptions& options,
              RateLimiterPort& port,
              std::uint64_t seed,
              TimePoint now);
  ~RateLimiter();
  RateLimiter(const RateLimiter&) = delete;
  RateLimiter& operator=(const RateLimiter&) = delete;

  /*! \brief Sets the accounts; null or without limits switches the limiter off.
   */
  void SetTenants(std::shared_ptr<const TenantTable> tenants, TimePoint now);

  /**
   * \brief Sets the hosts that share the limits.
   * \param fronts Hosts that callers are sent to; may include this one. They
   * are also the allocators.
   * \param sharers Highest number of such hosts within the last seconds.
   * \param has_share Whether this host is one of them.
   */
  void SetHosts(std::span<const HostId> fronts,
                std::uint32_t sharers,
                bool has_share,
                TimePoint now);

  /*! \brief Decides on a request. */
  [[nodiscard]] RateVerdict Admit(const RateRequest& request, TimePoint now);

  /*! \brief Drops a pending request whose caller has left. */
  void Cancel(CallId call, TimePoint now);

  /*! \brief Gives back the token of an admitted request that did not run. */
  void Refund(const TenantId& tenant, TimePoint now);

  /*! \brief Processes a message of another host. */
  void OnMessage(const HostId& from, const RateMessage& message, TimePoint now);

  /*! \brief Returns when OnTimer() is due next; empty if no timer is set. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /*! \brief Processes all timers that are due. */
  void OnTimer(TimePoint now);

  /*! \brief Returns the state for status pages, logs and metrics. */
  [[nodiscard]] RateLimiterStatus Snapshot(TimePoint now) const;

  /*! \brief Returns the state of one account; empty if it is not in use. */
  [[nodiscard]] std::optional<RateAccountStatus> StatusOf(
      const TenantId& tenant,
      TimePoint now) const;

  /*! \brief Returns the messages since the start. */
  [[nodiscard]] const RateMessageCounts& messages() const noexcept;

 private:
  struct State;

  std::unique_ptr<State> m_state;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_LIMITER_H_
