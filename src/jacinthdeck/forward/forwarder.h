// Decides on opaque requests: which targets get them, when again, and what the
// caller is told.
#ifndef JACINTHDECK_FORWARD_FORWARDER_H_
#define JACINTHDECK_FORWARD_FORWARDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/core/timer_queue.h"
#include "jacinthdeck/forward/attempt_budget.h"
#include "jacinthdeck/forward/crash_guard.h"
#include "jacinthdeck/forward/forward_call.h"
#include "jacinthdeck/forward/forward_counters.h"
#include "jacinthdeck/forward/forward_options.h"
#include "jacinthdeck/forward/forward_port.h"
#include "jacinthdeck/forward/latency_profile.h"
#include "jacinthdeck/forward/pending_call.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/target_set.h"
#include "jacinthdeck/forward/weighted_turn.h"

namespace jacinthdeck {

/**
 * \brief Passes opaque requests on to targets of the configured services.
 *
 * Holds no socket, thread or clock: time is passed in, and effects go to a
 * port. Every submitted call gets exactly one Deliver(), unless it is abandoned
 * first. A call for one service is a call with one part; a fan-out has a part
 * for each shard, all of the configuration version in force at its start.
 */
class Forwarder {
 public:
  /**
   * \brief Makes a forwarder without configuration or targets.
   * \param port Receiver of the decisions; outlives the forwarder.
   */
  Forwarder(const ForwardOptions& options,
            ForwardPort& port,
            std::uint64_t seed,
            TimePoint now);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  [[nodiscard]] const std::shared_ptr<const RoutingConfig>& config()
      const noexcept {
    return m_config;
  }
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return m_calls.size();
  }
  [[nodiscard]] const ForwardCounters& counters() const noexcept {
    return m_counters;
  }
  [[nodiscard]] const TargetSet& targets() const noexcept { return m_targets; }

  /*! \brief Moment at which OnTimer() is due; nothing while nothing is. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * \brief Takes a configuration for the calls from now on.
   * \return False if the one in force is as new or newer: a host never goes
   * back to an older version.
   */
  bool SetConfig(std::shared_ptr<const RoutingConfig> config);

  /*! \brief Replaces the known targets. */
  void SetTargets(std::span<const TargetEntry> entries, TimePoint now);

  /**
   * \brief Says among how many hosts budgets and connections are shared.
   * \param hosts Hosts that callers are sent to; at least 1.
   * \param self This host is one of them; else it has no share of the constant
   * and one connection a target.
   */
  void SetHosts(std::uint32_t hosts, bool self, TimePoint now);

  /*! \brief Takes the names of the hosts that callers are sent to. */
  void SetHostNames(std::span<const HostId> hosts) {
    m_targets.SetHosts(m_options.host, hosts);
  }

  /*! \brief Takes another host's word that a request crashes its targets. */
  void Convict(Fingerprint fingerprint, TimePoint now);

  /*! \brief Starts a call, or refuses it at once. */
  void Submit(ForwardCall call, TimePoint now);

  /*! \brief Drops a call whose caller left; all its attempts are cancelled. */
  void Abandon(CallId call, TimePoint now);

  /*! \brief Takes the end of an attempt. */
  void OnAttemptEnd(AttemptEnd& end, TimePoint now);

  /*! \brief Acts on whatever is due. */
  void OnTimer(TimePoint now);

 private:
  using CallPart = internal::CallPart;
  using PendingAttempt = internal::PendingAttempt;
  using PendingCall = internal::PendingCall;

  // Admission, in forwarder_admission.cc.
  void Refuse(const ForwardCall& call,
              AnswerKind kind,
              ForwardReason reason,
              std::optional<Duration> retry_after,
              const CallStory& story);
  [[nodiscard]] bool Open(PendingCall& open);
  void SetTimes(PendingCall& open) const;
  [[nodiscard]] std::optional<ForwardReason> ReasonToRefuse(PendingCall& open,
                                                            TimePoint now);
  //! Shards with a target that takes work; notes the fewest in the story.
  [[nodiscard]] std::size_t CountLiveShards(PendingCall& open) const;
  //! Tells whether what time the call has left is known to be too little.
  [[nodiscard]] bool IsTooLate(const PendingCall& open, TimePoint now) const;
  //! Delay by the queue of the chosen target, or by the want of one.
  [[nodiscard]] Duration QueueDelay(const PendingCall& open,
                                    const ServiceId& service,
                                    const TargetChoice& choice,
                                    TimePoint now) const;
  //! What a first attempt needs, with this share of its target.
  [[nodiscard]] TargetNeed NeedOf(const PendingCall& open,
                                  const ServiceId& service,
                                  const TargetShare& share) const;
  [[nodiscard]] Duration ExpectedDelay(PendingCall& open, TimePoint now);
  [[nodiscard]] Duration ComeBackAfter(ForwardReason reason,
                                       const PendingCall& open);
  [[nodiscard]] LatencyProfile& ProfileOf(const Route& route);
  void ShareBudget(AttemptBudget& budget) const;
  [[nodiscard]] AttemptBudget& BudgetOf(const ServiceId& service);

  // Attempts, in forwarder_attempts.cc.
  void SendPart(PendingCall& open,
                std::size_t part,
                AttemptReason reason,
                TimePoint now);
  void Launch(PendingCall& open,
              std::size_t part,
              const TargetNeed& need,
              LearnedTarget& target,
              bool paid,
              TimePoint now);
  //! Tells whether a further shard that is given up leaves no answer.
  [[nodiscard]] static bool NeedsEachShard(const PendingCall& open);
  [[nodiscard]] Duration UsefulTime(const PendingCall& open,
                                    AttemptReason reason,
                                    TimePoint now) const;
  [[nodiscard]] TargetShare ShareOf(const PendingCall& open,
                                    const ServiceId& service) const;
  [[nodiscard]] std::uint32_t ConnectionLimit(const PendingCall& open,
                                              const ServiceId& service) const;
  [[nodiscard]] bool MaySendAgain(const PendingCall& open,
                                  const CallPart& part,
                                  TimePoint now) const;
  void OnNoTarget(PendingCall& open, CallPart& part, TimePoint now);
  void Retry(PendingCall& open, std::size_t part, TimePoint now);

  // Ends of attempts, in forwarder_replies.cc.
  void Learn(const PendingAttempt& attempt,
             const AttemptEnd& end,
             TimePoint now);
  void Note(PendingCall& open, const AttemptEnd& end, TimePoint now);
  void TakeEnd(PendingCall& open,
               const PendingAttempt& attempt,
               AttemptEnd& end,
               TimePoint now);
  void TakeResponse(PendingCall& open,
                    CallPart& part,
                    AttemptEnd& end,
                    TimePoint now);
  //! Hedges the last shards of a call at once.
  static void HedgeLastShards(PendingCall& open, TimePoint now);
  void CancelAttempt(AttemptId attempt, TimePoint now);

  // Ends of calls, in forwarder_finish.cc.
  void GiveUp(PendingCall& open, CallPart& part, ForwardReason reason);
  void Settle(PendingCall& open, TimePoint now);
  void Finish(PendingCall& open, TimePoint now);
  [[nodiscard]] ForwardAnswer AnswerOf(PendingCall& open, TimePoint now);
  [[nodiscard]] ForwardAnswer Merge(PendingCall& open) const;
  [[nodiscard]] ForwardAnswer FailureOf(PendingCall& open, TimePoint now);
  void Close(PendingCall& open, TimePoint now);
  void CountLosses(const PendingCall& open, TimePoint now);

  // Timers, in forwarder.cc.
  void Wake(PendingCall& open, TimePoint now);
  void Rearm(const PendingCall& open);

  const ForwardOptions m_options;
  ForwardPort& m_port;
  Random m_random;
  ForwardCounters m_counters;
  //! Null until the first configuration; its version only rises.
  std::shared_ptr<const RoutingConfig> m_config;
  TargetSet m_targets;
  std::uint32_t m_hosts = 1;
  bool m_has_share = true;
  //! Since when this host has a share.
  TimePoint m_share_since;
  CrashGuard m_crashes;
  std::uint64_t m_next_attempt = 1;
  //! By route name; they outlive configurations. References stay valid.
  std::map<std::string, LatencyProfile> m_profiles;
  std::unordered_map<std::string, WeightedTurn> m_turns;
  std::unordered_map<ServiceId, AttemptBudget> m_budgets;
  //! References to its elements stay valid until they are erased.
  std::unordered_map<CallId, PendingCall> m_calls;
  std::unordered_map<AttemptId, PendingAttempt> m_attempts;
  //! One timer for each element of m_calls.
  TimerQueue<CallId> m_timers;
  //! When attempts that outlived their calls are cancelled.
  TimerQueue<AttemptId> m_stale_attempts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARDER_H_
