// State and steps of a rate limiter, behind its interface.
#ifndef JACINTHDECK_TENANCY_RATE_LIMITER_STATE_H_
#define JACINTHDECK_TENANCY_RATE_LIMITER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/core/timer_queue.h"
#include "jacinthdeck/tenancy/pending_request.h"
#include "jacinthdeck/tenancy/rate_account.h"
#include "jacinthdeck/tenancy/rate_limiter.h"
#include "jacinthdeck/tenancy/rate_timer.h"
#include "jacinthdeck/tenancy/share_exchange.h"
#include "jacinthdeck/tenancy/token_answers.h"
#include "jacinthdeck/tenancy/token_ask.h"

namespace jacinthdeck {

/**
 * \brief State of a rate limiter.
 *
 * A request is admitted from the reserve, else from the bucket of this host,
 * else it waits for another host: first the allocator, then the next fronts in
 * order.
 */
struct RateLimiter::State {
 public:
  State(const RateLimiterOptions& options,
        RateLimiterPort& port,
        std::uint64_t seed,
        TimePoint now);

  void SetTenants(std::shared_ptr<const TenantTable> tenants, TimePoint now);
  void SetHosts(std::span<const HostId> fronts,
                std::uint32_t sharers,
                bool has_share,
                TimePoint now);
  [[nodiscard]] RateVerdict Admit(const RateRequest& request, TimePoint now);
  void Cancel(CallId call, TimePoint now);
  void Refund(const TenantId& tenant, TimePoint now);
  void OnMessage(const HostId& from, const RateMessage& message, TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;
  void OnTimer(TimePoint now);
  [[nodiscard]] RateLimiterStatus Snapshot(TimePoint now) const;
  [[nodiscard]] std::optional<RateAccountStatus> StatusOf(
      const TenantId& tenant,
      TimePoint now) const;
  [[nodiscard]] const RateMessageCounts& messages() const noexcept {
    return m_counts;
  }

 private:
  using Accounts = std::unordered_map<TenantId, RateAccount>;

  //! Returns the limited account with a name, brought up to date; null if it
  //! has no limit.
  [[nodiscard]] RateAccount* Use(const TenantId& tenant, TimePoint now);
  void Update(RateAccount& account, TimePoint now);
  //! Returns how many requests all fronts have in reserve for an account.
  [[nodiscard]] std::uint32_t ReserveTotal(const RateAccount& account,
                                           TimePoint now) const;
  void ApplyTenants(TimePoint now);
  void StartMessages(TimePoint now);

  //! Decides without a message, if that is possible.
  [[nodiscard]] std::optional<RateVerdict> DecideHere(RateAccount& account,
                                                      const TenantId& tenant,
                                                      std::uint64_t hash,
                                                      TimePoint now);
  [[nodiscard]] TokenDecision DecideAsAllocator(RateAccount& account,
                                                std::uint64_t hash,
                                                TimePoint now);
  void NoteSpent(RateAccount& account, const TenantId& tenant, TimePoint now);

  //! Asks the next host for a token.
  void Ask(CallId call, TimePoint now);
  void AskHere(CallId call, TimePoint now);
  void AskHost(CallId call, const HostId& host, TimePoint now);
  void AskLater(CallId call, TimePoint at);
  void OnLimited(CallId call, Duration retry_after, TimePoint now);
  //! Asks another front for a request of its reserve before a request is
  //! refused.
  void AskReserves(CallId call, TimePoint now);
  [[nodiscard]] std::vector<HostId> ReserveHolders(const RateAccount& account,
                                                   TimePoint now) const;
  //! Decides on a request whose time is up.
  void DecideFinally(CallId call, TimePoint now);
  [[nodiscard]] RateVerdict UnknownVerdict(const RateAccount& account,
                                           TimePoint now) const;
  void Finish(CallId call, const RateVerdict& verdict);
  static void Count(RateAccount& account, RateDecision decision);

  void Send(TokenAsk ask, TimePoint now);
  void Repeat(std::uint64_t number, TimePoint now);
  //! Asks the next host for a token while another one has not answered.
  void AskBeside(CallId call, TimePoint now);
  //! Goes on after an answer without a decision.
  void OnUndecided(CallId call, TimePoint now);
  //! Ends a request that was not answered.
  void GiveUp(std::uint64_t number, bool is_silent, TimePoint now);
  void Report(TimePoint now);
  void ReportNow(const TenantId& tenant,
                 std::map<HostId, TokenRequest>& reports,
                 TimePoint now);
  void SetReportTimer(TimePoint at);

  void On(const HostId& from, const ShareRequest& request, TimePoint now);
  void On(const HostId& from, const ShareLease& lease, TimePoint now);
  void On(const HostId& from, const TokenRequest& request, TimePoint now);
  void On(const HostId& from, const TokenGrant& grant, TimePoint now);
  [[nodiscard]] std::optional<TokenAward> AwardFor(const TokenDemand& demand,
                                                   TimePoint now);
  void OnReport(const TokenDemand& demand,
                const TokenAward* award,
                TimePoint now);
  void OnAwards(const TokenAsk& ask, const TokenGrant& grant, TimePoint now);
  void OnDecision(CallId call,
                  const TenantId& tenant,
                  const TokenAward& award,
                  std::uint32_t position,
                  TimePoint now);

  void AskForShares(TimePoint now);
  void Forget(TimePoint now);
  [[nodiscard]] RateAccountStatus StatusOf(const TenantId& tenant,
                                           const RateAccount& account,
                                           TimePoint now) const;

  RateLimiterOptions m_options;
  RateLimiterPort& m_port;
  Random m_random;
  TimePoint m_started;
  std::shared_ptr<const TenantTable> m_tenants;
  //! Whether any account has a limit. If none has, there are no timers.
  bool m_is_active = false;
  ShareExchange m_shares;
  //! The limited accounts in use.
  Accounts m_accounts;
  //! Sum of the reservations of all accounts at the last count.
  std::size_t m_reservations = 0;
  std::unordered_map<CallId, PendingRequest> m_pending;
  std::map<std::uint64_t, TokenAsk> m_asks;
  std::uint64_t m_last_number = 0;
  //! Accounts with unreported requests.
  std::set<TenantId> m_to_report;
  //! When the timer of the reports is due; empty if it is not set.
  std::optional<TimePoint> m_report_at;
  std::map<HostId, TokenAnswers> m_answers;
  TimerQueue<RateTimer> m_timers;
  //! How often this host has asked for shares since the fronts changed, up to a
  //! small number.
  std::size_t m_share_rounds = 0;
  RateMessageCounts m_counts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_LIMITER_STATE_H_
