// Writes log lines about refused accounts and keys, and about the allocation of
// limits.
#ifndef JACINTHDECK_ENTRY_ACCOUNT_LOG_H_
#define JACINTHDECK_ENTRY_ACCOUNT_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/entry/event_log.h"
#include "jacinthdeck/entry/tenant_gate_sink.h"
#include "jacinthdeck/tenancy/rate_limiter_status.h"

namespace jacinthdeck {

/*! \brief Logs refusals, at most one line a second for each account, and one
 * for all requests without a known key. */
class AccountLog {
 public:
  explicit AccountLog(EventLog& log) : m_log(log) {}

  /*! \brief Counts a refusal of the gate.
   * \return Whether its line is due: OnRefused() is to be called. */
  [[nodiscard]] bool IsDue(const GateRefusal& refusal, TimePoint now);

  /*! \brief Logs a refusal whose line is due, with the state of its account in
   * the limiter. */
  void OnRefused(const GateRefusal& refusal,
                 const std::optional<RateAccountStatus>& limit);

  /*! \brief Logs that limits hold with this host's share alone; once. */
  void OnLimitsWithoutPeers();

  /*! \brief Logs a change of the hosts that share the limits, and of the
   * partitions that this host allocates. */
  void OnLimits(const RateLimiterStatus& limits);

 private:
  struct Recent {
    //! Refusals since the last line.
    std::uint64_t refused = 0;
    TimePoint logged = TimePoint::min();
  };

  EventLog& m_log;
  //! By account; the empty name stands for requests without a known key.
  std::unordered_map<TenantId, Recent> m_recent;
  std::uint32_t m_partitions = 0;
  std::uint32_t m_sharers = 0;
  bool m_logged_alone = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ACCOUNT_LOG_H_
