// Connects the rate limiter of this host to those of the others.
#ifndef JACINTHDECK_ENTRY_RATE_LIMIT_HUB_H_
#define JACINTHDECK_ENTRY_RATE_LIMIT_HUB_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/entry/request_limiter.h"
#include "jacinthdeck/peer/rate_limit_socket.h"
#include "jacinthdeck/peer/rate_message_assembler.h"
#include "jacinthdeck/tenancy/rate_limiter.h"
#include "jacinthdeck/tenancy/rate_limiter_port.h"
#include "jacinthdeck/tenancy/rate_limiter_status.h"

namespace jacinthdeck {

/*! \brief Is notified of what the rate limiter decides. */
class RateLimitObserver {
 public:
  virtual ~RateLimitObserver() = default;

  /*! \brief Called with the verdict on a request that was pending; must not
   * call the hub. */
  virtual void OnRateVerdict(CallId call, const RateVerdict& verdict) = 0;

  /*! \brief Called after a message was processed; there may be verdicts, and
   * the next timer may have changed. */
  virtual void OnRateMessage() = 0;
};

/*! \brief Messages of a hub since the start, by what became of them. */
struct RateLimitCounters {
  //! Datagrams that hold no valid message.
  std::uint64_t damaged = 0;
  //! Datagrams that come from no known host, or not from its address.
  std::uint64_t foreign = 0;
  //! Messages to hosts that have no known address.
  std::uint64_t unsendable = 0;
};

/**
 * \brief Owns the rate limiter of this host and its socket, and resolves hosts
 * to addresses by their records.
 *
 * Without a socket the limiter enforces this host's share alone.
 */
class RateLimitHub final : public RequestLimiter,
                           private RateLimiterPort,
                           private RateLimitSocketSink {
 public:
  RateLimitHub(asio::io_context& loop,
               const Clock& clock,
               const RateLimiterOptions& options,
               RateLimitObserver& observer,
               std::uint64_t seed);

  [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
  [[nodiscard]] std::uint16_t port() const { return m_socket.port(); }
  [[nodiscard]] const RateLimitCounters& counters() const noexcept {
    return m_counters;
  }
  [[nodiscard]] const RateLimitSocketCounters& traffic() const noexcept {
    return m_socket.counters();
  }
  /*! \brief Returns the state of the limiter. */
  [[nodiscard]] RateLimiterStatus Snapshot(TimePoint now) const {
    return m_limiter.Snapshot(now);
  }
  /*! \brief Returns the state of one account; empty if it is not in use. */
  [[nodiscard]] std::optional<RateAccountStatus> StatusOf(
      const TenantId& tenant,
      TimePoint now) const {
    return m_limiter.StatusOf(tenant, now);
  }
  /*! \brief Returns when OnTimer() is due next; empty if no timer is set. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const {
    return m_limiter.NextTimer();
  }

  /*! \brief Opens the port for other hosts; fails with kUnavailable. */
  [[nodiscard]] Result<void> Listen(const Endpoint& endpoint);

  /*! \brief Sets the addresses of all known hosts. A host that has left keeps
   * its address for some seconds: while it stops it still serves callers, and
   * asks for tokens. */
  void SetAddresses(const std::vector<HostRecord>& hosts, TimePoint now);

  /**
   * \brief Sets the hosts that share the limits.
   * \param fronts Hosts that callers are sent to.
   * \param sharers Highest number of such hosts within the last seconds.
   * \param has_share Whether this host is one of them.
   */
  void SetHosts(const std::vector<HostRecord>& fronts,
                std::uint32_t sharers,
                bool has_share,
                TimePoint now);

  /*! \brief Processes all timers that are due. */
  void OnTimer(TimePoint now) { m_limiter.OnTimer(now); }

  void SetTenants(std::shared_ptr<const TenantTable> tenants,
                  TimePoint now) override;
  [[nodiscard]] RateVerdict Admit(const RateRequest& request,
                                  TimePoint now) override;
  void Cancel(CallId call, TimePoint now) override;
  void Refund(const TenantId& tenant, TimePoint now) override;

 private:
  void SendRateMessage(const HostId& to, const RateMessage& message) override;
  void OnRateVerdict(CallId call, const RateVerdict& verdict) override;
  void OnDatagram(std::string_view bytes, const udp::endpoint& from) override;

  struct KnownHost {
    udp::endpoint address;
    //! When it was last known; empty while it is.
    std::optional<TimePoint> left;
  };

  const Clock& m_clock;
  const HostId m_host;
  RateLimitObserver& m_observer;
  RateLimitSocket m_socket;
  RateMessageAssembler m_assembler;
  RateLimitCounters m_counters;
  std::unordered_map<HostId, KnownHost> m_known;
  //! What the limiter was last told of the hosts.
  std::vector<HostId> m_fronts;
  std::uint32_t m_sharers = 0;
  bool m_has_share = false;
  RateLimiter m_limiter;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_RATE_LIMIT_HUB_H_
