// Decides which targets get an opaque request, when it is retried, and what the
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
#include "jacinthdeck/forward/admission_policy.h"
#include "jacinthdeck/forward/attempt_budget.h"
#include "jacinthdeck/forward/crash_guard.h"
#include "jacinthdeck/forward/flow_load.h"
#include "jacinthdeck/forward/forward_call.h"
#include "jacinthdeck/forward/forward_counters.h"
#include "jacinthdeck/forward/forward_options.h"
#include "jacinthdeck/forward/forward_port.h"
#include "jacinthdeck/forward/latency_profile.h"
#include "jacinthdeck/forward/pending_call.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/shed_reason.h"
#include "jacinthdeck/forward/target_set.h"
#include "jacinthdeck/forward/unreachable_targets.h"
#include "jacinthdeck/forward/usual_time_left.h"
#include "jacinthdeck/forward/waiting_calls.h"
#include "jacinthdeck/forward/weighted_round_robin.h"

namespace jacinthdeck {

/**
 * \brief Forwards opaque requests to targets of the configured services.
 *
 * Holds no socket, thread or clock: the time is passed in, and effects go to a
 * ForwardPort. Every submitted call gets exactly one Deliver(), unless it is
 * abandoned first. A call for one service has one part. A fan-out has one part
 * for each shard, all from the configuration version in force when the call
 * starts.
 */
class Forwarder {
 public:
  /**
   * \brief Creates a forwarder without configuration or targets.
   * \param port Carries out the decisions; must outlive the forwarder.
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
    return m_calls.size() + m_held.size();
  }
  /*! \brief Number of open calls that have not started. */
  [[nodiscard]] std::size_t waiting_calls() const noexcept {
    return m_held.size();
  }
  [[nodiscard]] const ForwardCounters& counters() const noexcept {
    return m_counters;
  }
  [[nodiscard]] const TargetSet& targets() const noexcept { return m_targets; }
  /*! \brief Number of targets that refuse connections. */
  [[nodiscard]] std::size_t unreachable_targets() const noexcept {
    return m_unreachable.size();
  }

  /*! \brief Returns when OnTimer() is due next; empty if no timer is set. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * \brief Sets the configuration for calls submitted from now on.
   * \return False if the current version is the same or newer: a host never
   * goes back to an older version.
   */
  bool SetConfig(std::shared_ptr<const RoutingConfig> config);

  /*! \brief Replaces the known targets. */
  void SetTargets(std::span<const TargetEntry> entries, TimePoint now);

  /**
   * \brief Sets the number of hosts that share budgets and connections.
   * \param hosts Number of hosts that callers are sent to; at least 1.
   * \param self Whether this host is one of them. Otherwise it has no share of
   * the constant part of budgets, and one connection to each target.
   */
  void SetHosts(std::uint32_t hosts, bool self, TimePoint now);

  /*! \brief Sets the names of the hosts that callers are sent to. */
  void SetHostNames(std::span<const HostId> hosts) {
    m_targets.SetHosts(m_options.host, hosts);
  }

  /*! \brief Makes a request suspect, as another host found a target of a
   * service to end under it. */
  void AddSuspect(Fingerprint fingerprint,
                  const ServiceId& service,
                  TimePoint now);

  /*! \brief Applies the quarantine of a request that another host found to
   * crash its targets. */
  void QuarantineRequest(Fingerprint fingerprint,
                         const ServiceId& service,
                         TimePoint now);

  /*! \brief Starts a call, refuses it immediately, or lets it wait until its
   * targets have room. */
  void Submit(ForwardCall call, TimePoint now);

  /**
   * \brief Prepares for the end of the host: each call, open or submitted
   * later, gets its final answer by a given time.
   *
   * A call that cannot be expected to end by then is refused at once, so that
   * its caller can go to another host.
   */
  void BeginStop(TimePoint answer_by, TimePoint now);

  /*! \brief Drops a call whose caller disconnected, and cancels all its
   * attempts.
   * \return Whether a target may have executed the request; false for an
   * unknown call. */
  bool Abandon(CallId call, TimePoint now);

  /*! \brief Processes the end of an attempt. */
  void OnAttemptEnd(AttemptEnd& end, TimePoint now);

  /*! \brief Processes the result of ForwardPort::CheckTarget(). */
  void OnTargetChecked(const TargetId& target,
                       TargetCheck result,
                       TimePoint now);

  /*! \brief Processes all timers that are due. */
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
              const CallTrace& trace);
  void RefuseNotRun(const PendingCall& pending,
                    ForwardReason reason,
                    TimePoint now);
  //! Sends the first attempts of a call.
  void Start(PendingCall pending, TimePoint now);
  //! Returns the maximum expected delay at which a call is worth its work.
  [[nodiscard]] static Duration DelayLimit(const PendingCall& pending);
  //! Finds the route and the parts of a call; refuses the call and returns
  //! false if there is no configuration or no route.
  [[nodiscard]] bool PrepareCall(PendingCall& pending);
  //! Returns the memory of the parts of a call, in bytes.
  [[nodiscard]] static std::uint64_t PartBytes(const Route& route);
  //! Takes memory for the parts of a call; refuses it and returns false if
  //! there is none.
  [[nodiscard]] bool HoldMemory(PendingCall& pending);
  void SetDeadlines(PendingCall& pending) const;
  //! Moves the deadlines of a call to the last answer of the host if they are
  //! later.
  void LimitDeadlines(PendingCall& pending) const;
  [[nodiscard]] std::optional<ForwardReason> ReasonToRefuse(
      PendingCall& pending,
      TimePoint now);
  //! Counts the shards with a target that accepts requests, and records the
  //! smallest number of such targets in the trace.
  [[nodiscard]] std::size_t CountLiveShards(PendingCall& pending) const;
  //! Returns whether the remaining time of the call is known to be too short.
  [[nodiscard]] bool IsTooLate(const PendingCall& pending, TimePoint now) const;
  //! Returns whether the call would have a later deadline if the host did not
  //! stop.
  [[nodiscard]] bool IsLimitedByStop(const PendingCall& pending) const;
  //! Returns why a call that has not run ends at its deadline.
  [[nodiscard]] ForwardReason LateReason(const PendingCall& pending) const;
  //! Returns whether the host stops before the call can be expected to end.
  [[nodiscard]] bool OutlastsHost(const PendingCall& pending,
                                  TimePoint now) const;
  //! Returns the delay from the queue of the chosen target, or from waiting for
  //! capacity if there is none.
  [[nodiscard]] Duration QueueDelay(const PendingCall& pending,
                                    const ServiceId& service,
                                    const TargetChoice& choice,
                                    TimePoint now) const;
  //! Returns the criteria for the target of a first attempt with this share.
  [[nodiscard]] TargetCriteria CriteriaFor(const PendingCall& pending,
                                           const ServiceId& service,
                                           const TargetShare& share) const;
  [[nodiscard]] Duration ExpectedDelay(PendingCall& pending, TimePoint now);
  [[nodiscard]] Duration RetryAfterFor(ForwardReason reason,
                                       const PendingCall& pending,
                                       TimePoint now);
  [[nodiscard]] LatencyProfile& ProfileOf(const Route& route);
  void UpdateBudgetShare(AttemptBudget& budget) const;
  [[nodiscard]] AttemptBudget& BudgetOf(const ServiceId& service);

  // Calls that wait to start, in forwarder_waiting.cc.
  [[nodiscard]] bool MayQueue(const PendingCall& pending) const;
  //! Describes a call to the queue, and counts it for its flow and route.
  [[nodiscard]] WaitingCall DescribeWaiting(const PendingCall& pending,
                                            TimePoint now);
  //! Returns whether a call must not overtake those that wait, as its flow has
  //! sent more than its share.
  [[nodiscard]] bool MustQueue(const WaitingCall& call) const;
  //! \param reason Why the call cannot start now; empty if it can.
  void StartOrWait(PendingCall pending,
                   std::optional<ForwardReason> reason,
                   TimePoint now);
  //! Adds an element of m_held to the queue, or refuses it.
  void Hold(WaitingCall call, WaitClass wait_class, TimePoint now);
  //! Refuses an element of m_held that is not in the queue.
  void Shed(CallId id,
            ShedReason shed_reason,
            ForwardReason reason,
            TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextWaitingCheck() const;
  //! Checks the waiting calls after a target may have got room.
  void OnRoom(TimePoint now);
  void CheckWaitingCalls(TimePoint now);
  //! Starts or refuses the next call of a group, which must have one; returns
  //! false if it waits on.
  bool StartNextOf(const ServiceId& group, TimePoint now);
  //! Returns whether the configuration no longer has the account of a call.
  [[nodiscard]] bool IsAccountGone(const PendingCall& pending) const;

  // Attempts, in forwarder_attempts.cc.
  //! Chooses a target and sends an attempt, if budget and targets allow it.
  void TrySendAttempt(PendingCall& pending,
                      std::size_t part,
                      AttemptReason reason,
                      TimePoint now);
  void SendAttempt(PendingCall& pending,
                   std::size_t part,
                   const TargetCriteria& criteria,
                   TrackedTarget& target,
                   bool paid,
                   TimePoint now);
  //! Returns whether the call cannot be answered if one more shard is given up.
  [[nodiscard]] static bool NeedsEachShard(const PendingCall& pending);
  [[nodiscard]] Duration UsefulTime(const PendingCall& pending,
                                    AttemptReason reason,
                                    TimePoint now) const;
  [[nodiscard]] TargetShare ShareOf(const PendingCall& pending,
                                    const ServiceId& service) const;
  [[nodiscard]] std::uint32_t ConnectionLimit(const RoutingConfig& config,
                                              const ServiceId& service) const;
  [[nodiscard]] bool MaySendAgain(const PendingCall& pending,
                                  const CallPart& part,
                                  TimePoint now) const;
  //! Looks for a target again later, or gives the part up.
  void OnNoTarget(PendingCall& pending, CallPart& part, TimePoint now);
  void RetryOrGiveUp(PendingCall& pending, std::size_t part, TimePoint now);

  // Ends of attempts, in forwarder_replies.cc.
  void RecordLostAttempt(AttemptId id,
                         const PendingAttempt& attempt,
                         bool after_call,
                         TimePoint now);
  void UpdateTarget(const PendingAttempt& attempt,
                    const AttemptEnd& end,
                    TimePoint now);
  void TraceEnd(PendingCall& pending, const AttemptEnd& end, TimePoint now);
  void UpdateRetryGate(PendingCall& pending,
                       const AttemptEnd& end,
                       TimePoint now);
  void HandleAttemptEnd(PendingCall& pending,
                        const PendingAttempt& attempt,
                        AttemptEnd& end,
                        TimePoint now);
  void HandleResponse(PendingCall& pending,
                      CallPart& part,
                      AttemptEnd& end,
                      TimePoint now);
  //! Takes memory for a failure that is kept while its part is tried again;
  //! returns false if there is none.
  [[nodiscard]] bool HoldFailure(PendingCall& pending,
                                 const TargetResponse& failure);
  //! Makes the hedges of the last unanswered shards of a call due immediately.
  static void HedgeLastShards(PendingCall& pending, TimePoint now);
  //! \param resolve_at Time from which a sign of life shows that the target
  //! survived the attempt.
  void CancelAttempt(AttemptId attempt, TimePoint resolve_at, TimePoint now);

  // Ends of calls, in forwarder_finish.cc.
  void GiveUp(PendingCall& pending, CallPart& part, ForwardReason reason);
  //! Answers the call if no further reply is needed or can help; otherwise sets
  //! its timer.
  void FinishIfDone(PendingCall& pending, TimePoint now);
  void Finish(PendingCall& pending, TimePoint now);
  [[nodiscard]] ForwardAnswer MakeAnswer(PendingCall& pending, TimePoint now);
  [[nodiscard]] ForwardAnswer MakeMergedAnswer(PendingCall& pending) const;
  [[nodiscard]] ForwardAnswer MakeFailureAnswer(PendingCall& pending,
                                                TimePoint now);
  //! Cancels an attempt whose caller has left, unless it is a probe.
  void AbandonAttempt(AttemptId attempt, TimePoint now);
  void RemoveCall(PendingCall& pending, TimePoint now);

  // Requests that may crash targets, in forwarder_quarantine.cc.
  [[nodiscard]] static GuardedAttempt GuardedOf(const PendingAttempt& attempt);
  [[nodiscard]] bool IsSuspect(const PendingCall& pending, TimePoint now) const;
  //! Returns whether an attempt may be sent for a part; otherwise holds the
  //! part, or gives it up.
  [[nodiscard]] bool PassesCrashGuard(PendingCall& pending,
                                      CallPart& part,
                                      TimePoint now);
  //! Returns whether a part of a suspect request may be sent as its probe.
  [[nodiscard]] bool MayProbe(const PendingCall& pending,
                              const CallPart& part) const;
  //! Holds a part until a probe of its request, or a canary of its call, has a
  //! result.
  void HoldPart(PendingCall& pending, CallPart& part, TimePoint now);
  //! Makes a canary that broke a probe if nothing speaks for its request.
  void MakeCanaryProbe(PendingAttempt& attempt,
                       const AttemptEnd& end,
                       TimePoint now);
  //! Lets the retries of a call go on that waited for its canary.
  static void ReleaseHeldParts(PendingCall& pending, TimePoint now);
  void UpdateCrashGuard(const PendingAttempt& attempt,
                        const AttemptEnd& end,
                        TimePoint now);
  //! Records an answer to an attempt, and reports what it changed.
  void RecordAnswer(const GuardedAttempt& guarded, int status, TimePoint now);
  //! Records an attempt that ended without a complete response.
  void RecordUnanswered(const PendingAttempt& attempt,
                        bool closed_by_target,
                        TimePoint resolve_at,
                        TimePoint now);
  void OnTargetEnded(const TargetId& target, TimePoint now);
  //! Returns whether a target of the same failure domain has answered since the
  //! check of this one began.
  [[nodiscard]] bool IsOnlyTargetSilent(const TargetId& target);
  void ApplyGuardChanges(const CrashGuardChanges& changes);
  //! Checks the targets under which attempts have ended without a response.
  void CheckDueTargets(TimePoint now);
  //! Checks whether a target accepts connections.
  void CheckTarget(const TrackedTarget& target);
  //! Looks for targets that the registry no longer lists, or lists as another
  //! process.
  void ResolveReplacedTargets(TimePoint now);

  // Targets that refuse connections, in forwarder_reachability.cc.
  //! \param took How long the refusal took to arrive.
  void OnConnectionRefused(TrackedTarget& target, Duration took, TimePoint now);
  void UpdateReachability(const TargetId& target,
                          TargetCheck result,
                          TimePoint now);
  void EndUnreachable(const TargetId& target);
  //! Drops targets that left the registry or have a new process there.
  void DropReplacedUnreachable();
  void ProbeUnreachableTargets(TimePoint now);
  //! Returns when the next probe of any target of a service has its result;
  //! empty if none is to be probed.
  [[nodiscard]] std::optional<TimePoint> NextProbeResult(
      const ServiceId& service,
      TimePoint now) const;
  //! Returns when enough shards of a call may have a target again, by the
  //! probes; empty if that is unknown.
  [[nodiscard]] std::optional<TimePoint> ShardsBackAt(
      const PendingCall& pending,
      TimePoint now) const;

  // Timers, in forwarder.cc.
  void OnCallTimer(PendingCall& pending, TimePoint now);
  void RearmTimer(const PendingCall& pending);

  const ForwardOptions m_options;
  ForwardPort& m_port;
  Random m_random;
  ForwardCounters m_counters;
  //! Never null.
  const std::shared_ptr<ByteBudget> m_call_memory;
  //! Null until the first configuration; its version only increases.
  std::shared_ptr<const RoutingConfig> m_config;
  TargetSet m_targets;
  std::uint32_t m_hosts = 1;
  bool m_has_share = true;
  //! When this host got its share.
  TimePoint m_share_since;
  CrashGuard m_crash_guard;
  //! The targets of m_targets with is_unreachable().
  UnreachableTargets m_unreachable;
  //! Last response of a target in each failure domain, recorded while attempts
  //! are unresolved.
  std::map<FailureDomain, TimePoint> m_domain_answers;
  std::uint64_t m_next_attempt = 1;
  //! Profiles by route name, kept when the configuration changes. References
  //! stay valid.
  std::map<std::string, LatencyProfile> m_profiles;
  std::unordered_map<std::string, WeightedRoundRobin> m_round_robins;
  std::unordered_map<ServiceId, AttemptBudget> m_budgets;
  //! References to its elements stay valid until they are erased.
  std::unordered_map<CallId, PendingCall> m_calls;
  std::unordered_map<AttemptId, PendingAttempt> m_attempts;
  AdmissionPolicy m_admission;
  FlowLoad m_flow_load;
  //! By route name.
  std::unordered_map<std::string, UsualTimeLeft> m_usual_times_left;
  //! The calls in m_waiting, except for one that is being added or taken.
  std::unordered_map<CallId, PendingCall> m_held;
  WaitingCalls m_waiting;
  //! When the waiting calls were last checked.
  TimePoint m_waiting_checked;
  //! One timer for each element of m_calls.
  TimerQueue<CallId> m_timers;
  //! Cancellation times of attempts that outlived their calls.
  TimerQueue<AttemptId> m_stale_attempts;
  //! Time by which each call has its final answer, since the host stops then;
  //! max() while it does not stop.
  TimePoint m_answer_by = TimePoint::max();
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARDER_H_
