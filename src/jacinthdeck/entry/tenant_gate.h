// Checks keys and limits of requests before they are forwarded.
#ifndef JACINTHDECK_ENTRY_TENANT_GATE_H_
#define JACINTHDECK_ENTRY_TENANT_GATE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/entry/account_counters.h"
#include "jacinthdeck/entry/received_call.h"
#include "jacinthdeck/entry/request_limiter.h"
#include "jacinthdeck/entry/tenant_gate_sink.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/http/target_protocol.h"

namespace jacinthdeck {

/*! \brief Settings of a gate. */
struct TenantGateOptions {
  //! Whether keyed requests are refused while keys may have been removed
  //! unnoticed.
  bool strict_revoke = false;
  //! Time without news of the store after which they are.
  Duration revoke_after = std::chrono::seconds(5);
};

/**
 * \brief Checks each request in this order: configuration, route, key, age of
 * the keys, limit.
 *
 * No call that passes has a key. Without client accounts in the configuration,
 * all calls pass. A call that passed ends by OnCallEnd(), exactly once. Holds
 * no socket, timer or clock.
 */
class TenantGate {
 public:
  /*! \brief Creates a gate; all references must outlive it. */
  TenantGate(const TenantGateOptions& options,
             const TargetProtocol& protocol,
             RequestLimiter& limiter,
             TenantGateSink& sink);
  TenantGate(const TenantGate&) = delete;
  TenantGate& operator=(const TenantGate&) = delete;

  /*! \brief Returns the number of calls that wait for a verdict. */
  [[nodiscard]] std::size_t waiting() const noexcept {
    return m_waiting.size();
  }
  [[nodiscard]] const AccountCounters& counters() const noexcept {
    return m_counters;
  }
  /*! \brief Returns whether ProcessVerdicts() has something to do. */
  [[nodiscard]] bool has_verdicts() const noexcept {
    return !m_decided.empty();
  }

  /*! \brief Sets the configuration, never null. Calls that wait are checked
   * again, since their keys may have been removed or moved. */
  void SetConfig(std::shared_ptr<const RoutingConfig> config, TimePoint now);

  /*! \brief Submits a call, refuses it, or keeps it until the limiter has
   * decided. */
  void OnCall(ReceivedCall received, TimePoint now);

  /*! \brief Drops a call whose caller has left; returns whether it waited
   * here. */
  bool OnCallerLeft(CallId call, TimePoint now);

  /**
   * \brief Processes the end of a call that was submitted.
   * \param may_have_run Whether a target may have executed the request; if not,
   * its token is given back.
   */
  void OnCallEnd(CallId call, bool may_have_run, TimePoint now);

  /*! \brief Records the verdict on a call that waits. Takes effect with
   * ProcessVerdicts(): the limiter must not be called while it delivers a
   * verdict. */
  void OnVerdict(CallId call, const RateVerdict& verdict);

  /*! \brief Submits or refuses the calls with a verdict. */
  void ProcessVerdicts(TimePoint now);

 private:
  //! The part of an account that a call takes over.
  struct CallAccount {
    TenantId name;
    std::optional<std::uint32_t> priority;
  };
  //! A call that waits for a verdict.
  struct WaitingCall {
    ReceivedCall received;
    std::optional<std::string> key;
    CallAccount account;
    //! Points into the current configuration.
    const Route* route = nullptr;
    Fingerprint fingerprint;
    std::optional<RateVerdict> verdict;
  };

  [[nodiscard]] const Route* RouteOf(const ReceivedCall& received) const;
  [[nodiscard]] const Tenant* TenantOf(
      const std::optional<std::string>& key) const;
  void Check(ReceivedCall received,
             std::optional<std::string> key,
             TimePoint now);
  void CheckLimit(WaitingCall call, TimePoint now);
  //! Updates a waiting call to the current configuration; returns false if it
  //! has to be checked again.
  [[nodiscard]] bool Update(WaitingCall& call) const;
  //! Withdraws a request of a waiting call from the limiter.
  void Withdraw(const WaitingCall& call, TimePoint now);
  //! \param charged Whether the call has a token that may be given back.
  void Submit(ReceivedCall received, const CallAccount& account, bool charged);
  void ApplyVerdict(WaitingCall call, const RateVerdict& verdict);
  void Refuse(const ReceivedCall& received,
              const Route* route,
              const TenantId& tenant,
              Fingerprint fingerprint,
              ForwardAnswer answer);
  [[nodiscard]] TimePoint DecideBy(const ForwardCall& call,
                                   const Route& route,
                                   TimePoint now) const;

  const TenantGateOptions m_options;
  const TargetProtocol& m_protocol;
  RequestLimiter& m_limiter;
  TenantGateSink& m_sink;
  //! Null until the first configuration.
  std::shared_ptr<const RoutingConfig> m_config;
  AccountCounters m_counters;
  //! Ordered, so that a new configuration checks calls in order of arrival.
  std::map<CallId, WaitingCall> m_waiting;
  //! Calls with a verdict that is not processed; may contain calls that have
  //! left since.
  std::vector<CallId> m_decided;
  //! Account of each submitted call that has a token.
  std::unordered_map<CallId, TenantId> m_charged;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_TENANT_GATE_H_
