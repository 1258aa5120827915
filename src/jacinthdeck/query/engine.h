// Deterministic scatter-gather engine: takes events and the current time, and
// requests actions through Effects.
#ifndef JACINTHDECK_QUERY_ENGINE_H_
#define JACINTHDECK_QUERY_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/core/timer_queue.h"
#include "jacinthdeck/query/admission_queue.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/query/call_state.h"
#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/query/engine_counters.h"
#include "jacinthdeck/query/engine_options.h"
#include "jacinthdeck/query/partition_map.h"
#include "jacinthdeck/query/probe_gate.h"
#include "jacinthdeck/query/quarantine.h"
#include "jacinthdeck/query/service_state.h"
#include "jacinthdeck/query/version_catalog.h"
#include "jacinthdeck/query/waiting_attempts.h"
#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

/**
 * \brief Spreads the typed calls of one host over shards and merges the replies
 * into answers.
 *
 * Uses no socket, thread or clock; actions are appended to the Effects that are
 * passed in. Every submitted call gets exactly one DeliverAnswer, unless it is
 * abandoned first. Every SendAttempt must be followed by exactly one OnReply(),
 * also after its cancellation.
 */
class Engine {
 public:
  /**
   * \brief Constructs an engine.
   * \param router Chooses among replicas; must outlive the engine.
   * \param first_attempt Lowest attempt id to assign; must be above all ids
   * that earlier runs of this host's process assigned.
   * \param options Limits and delays.
   */
  Engine(Router& router,
         std::uint64_t first_attempt,
         const EngineOptions& options = {});

  /*! \brief Returns the number of calls without an answer, running or waiting.
   */
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return m_calls.size() + m_waiting_calls.size();
  }

  /*! \brief Returns the number of calls that wait to run. */
  [[nodiscard]] std::size_t waiting_calls() const noexcept {
    return m_waiting_calls.size();
  }

  /*! \brief Returns whether new calls are refused because of Drain(). */
  [[nodiscard]] bool draining() const noexcept { return m_draining; }

  /*! \brief Returns the requests suspected of crashing targets, and the
   * quarantined ones. */
  [[nodiscard]] const Quarantine& quarantine() const noexcept {
    return m_quarantine;
  }

  /*! \brief Returns the totals since the engine was constructed. */
  [[nodiscard]] const EngineCounters& counters() const noexcept {
    return m_counters;
  }

  /*! \brief Returns when OnTimer() is due; empty if no call runs or waits. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * \brief Replaces the index versions of a service that calls may start on.
   *
   * Running calls keep the version that they started on.
   * \param service Service.
   * \param maps Partition maps, newest last. A map that is not a partition of
   * the key space is ignored and counted in EngineCounters::rejected_maps.
   */
  void SetVersions(const ServiceId& service, std::vector<PartitionMap> maps);

  /*! \brief Starts a call, queues it, or refuses it at once with its final
   * answer. */
  void Submit(Call call, TimePoint now, Effects& effects);

  /*! \brief Processes the end of an attempt; the end of an unknown attempt is
   * only counted. */
  void OnReply(const AttemptReply& reply, TimePoint now, Effects& effects);

  /*! \brief Processes due deadlines, hedges and retries, and tries waiting
   * attempts and calls again. */
  void OnTimer(TimePoint now, Effects& effects);

  /*! \brief Cancels a call whose caller went away; it gets no answer. */
  void Abandon(const CallId& id, TimePoint now, Effects& effects);

  /*! \brief Refuses all further calls; those accepted before still get their
   * answers. */
  void Drain() noexcept { m_draining = true; }

  /**
   * \brief Prepares for the end of the host: each call, open or submitted
   * later, gets its answer by a given time. Calls that cannot be expected to
   * end by then are refused at once.
   */
  void BeginStop(TimePoint answer_by, TimePoint now, Effects& effects);

  /*! \brief Makes a request a suspect on a peer's report that it crashed a
   * target. */
  void AddPeerSuspect(Fingerprint fingerprint, TimePoint now);

  /*! \brief Quarantines a request on a peer's report; shards held for its probe
   * are given up. */
  void AddPeerQuarantine(Fingerprint fingerprint,
                         TimePoint now,
                         Effects& effects);

  /**
   * \brief Clears the quarantine state of a request, at an operator's request.
   * \return False if the request had no quarantine entry.
   */
  bool ReleaseQuarantine(Fingerprint fingerprint,
                         TimePoint now,
                         Effects& effects);

 private:
  using HeldShards = std::vector<HeldShard>;
  using OpenAttempt = internal::OpenAttempt;
  using OpenCall = internal::OpenCall;
  using ServiceState = internal::ServiceState;
  using ShardState = internal::ShardState;

  //! Service and queue key of a waiting call.
  struct WaitingCall {
    ServiceState* service = nullptr;
    AdmissionQueue::Key key;
  };

  // Admission, in engine_admission.cc.
  [[nodiscard]] ServiceState& ServiceOf(const ServiceId& service);
  //! Returns the time within which nearly all calls of a service are answered.
  [[nodiscard]] Duration ExpectedLatency(const ServiceId& service) const;
  [[nodiscard]] AnswerReason ReasonToRefuse(const Call& call,
                                            TimePoint now) const;
  [[nodiscard]] bool MayStart(const ServiceState& service) const;
  void Enqueue(Call call,
               ServiceState& service,
               TimePoint now,
               Effects& effects);
  void Start(Call call, ServiceState& service, TimePoint now, Effects& effects);
  void StartWaitingCalls(TimePoint now, Effects& effects);
  void RefuseWaitingCalls(TimePoint now, Effects& effects);
  void StartWaitingCalls(ServiceState& service,
                         TimePoint now,
                         Effects& effects);
  void ArmWaitingTimer(ServiceState& service);
  void Refuse(const Call& call,
              AnswerReason reason,
              TimePoint now,
              Effects& effects);
  void RefuseWaitingCall(const Call& call,
                         AnswerReason reason,
                         TimePoint now,
                         Effects& effects);
  void Deliver(const CallId& id, Answer answer, Effects& effects);

  // Running calls and their timers, in engine.cc.
  void BeginOnMap(OpenCall& open,
                  std::shared_ptr<const PartitionMap> map,
                  TimePoint now,
                  Effects& effects);
  void OnCallTimer(OpenCall& open, TimePoint now, Effects& effects);
  void OnShardTimer(OpenCall& open,
                    std::size_t shard,
                    TimePoint now,
                    Effects& effects);
  void ArmTimerAt(OpenCall& open, TimePoint at);
  void RearmTimer(OpenCall& open);
  [[nodiscard]] bool HasTimeForAttempt(const OpenCall& open,
                                       TimePoint now) const;

  // Attempts, in engine_attempts.cc.
  void SendShard(OpenCall& open,
                 std::size_t shard,
                 AttemptKind kind,
                 TimePoint now,
                 Effects& effects);
  [[nodiscard]] std::variant<TargetId, RouteRefusal> ChooseTarget(
      const OpenCall& open,
      const ShardState& state,
      AttemptKind kind,
      TimePoint now);
  OpenAttempt& Launch(OpenCall& open,
                      std::size_t shard,
                      AttemptKind kind,
                      const TargetId& target,
                      TimePoint now,
                      Effects& effects);
  void OnRouteRefusal(OpenCall& open,
                      std::size_t shard,
                      AttemptKind kind,
                      RouteRefusal refusal,
                      TimePoint now);
  void HedgeShard(OpenCall& open,
                  std::size_t shard,
                  TimePoint now,
                  Effects& effects);
  void RetryShard(OpenCall& open,
                  std::size_t shard,
                  AttemptStatus status,
                  TimePoint now,
                  Effects& effects);
  [[nodiscard]] bool MayRetry(const OpenCall& open,
                              const ShardState& state,
                              AttemptStatus status,
                              TimePoint now) const;
  [[nodiscard]] Duration HedgeDelay(const OpenCall& open) const;
  //! Returns the live replicas of a shard that the call has not tried for it.
  [[nodiscard]] std::vector<TargetId> UntriedReplicas(
      const ShardState& state) const;
  void SendWaiting(const TargetId& target, TimePoint now, Effects& effects);
  void SendAllWaiting(TimePoint now, Effects& effects);

  // Ends of attempts, in engine_replies.cc.
  void RecordAttemptEnd(const OpenAttempt& attempt,
                        AttemptStatus status,
                        const AttemptReply& reply,
                        TimePoint now);
  void ApplyReply(OpenCall& open,
                  const OpenAttempt& attempt,
                  AttemptStatus status,
                  const AttemptReply& reply,
                  TimePoint now,
                  Effects& effects);
  void OnFailure(OpenCall& open,
                 const OpenAttempt& attempt,
                 AttemptStatus status,
                 TimePoint now,
                 Effects& effects);
  [[nodiscard]] bool VersionIsGone(const OpenCall& open,
                                   const ShardState& state,
                                   AttemptStatus status,
                                   TimePoint now) const;
  [[nodiscard]] bool Restart(OpenCall& open, TimePoint now, Effects& effects);

  // Ends of shards and calls, in engine_finish.cc.
  void CancelShard(ShardState& state, Effects& effects);
  void CancelAll(OpenCall& open, Effects& effects);
  void GiveUp(OpenCall& open, ShardState& state, AnswerReason reason);
  //! Gives a shard up whose next attempt cannot be sent, unless an attempt in
  //! flight may still answer.
  void GiveUpUnlessInFlight(OpenCall& open,
                            ShardState& state,
                            AnswerReason reason);
  void FinishIfSettled(OpenCall& open, TimePoint now, Effects& effects);
  void Finish(OpenCall& open, TimePoint now, Effects& effects);
  void CloseCall(OpenCall& open, Effects& effects);

  // Suspect requests, in engine_quarantine.cc.
  void SendSuspect(OpenCall& open,
                   std::size_t shard,
                   AttemptKind kind,
                   TimePoint now,
                   Effects& effects);
  [[nodiscard]] HeldShards UpdateQuarantine(const OpenAttempt& attempt,
                                            AttemptStatus status,
                                            TimePoint now,
                                            Effects& effects);
  void ResumeHeld(const HeldShards& held, TimePoint now, Effects& effects);

  Router& m_router;
  const EngineOptions m_options;
  EngineCounters m_counters;
  std::uint64_t m_next_attempt;
  bool m_draining = false;
  VersionCatalog m_versions;
  Quarantine m_quarantine;
  ProbeGate m_probes;
  //! References to its elements stay valid.
  std::map<ServiceId, ServiceState> m_services;
  //! References to its elements stay valid until they are erased.
  std::unordered_map<CallId, OpenCall> m_calls;
  //! Where to find each call that waits in a queue of m_services.
  std::unordered_map<CallId, WaitingCall> m_waiting_calls;
  std::unordered_map<AttemptId, OpenAttempt> m_attempts;
  WaitingAttempts m_waiting;
  //! One timer for each element of m_calls.
  TimerQueue<CallId> m_timers;
  //! One timer for each service with waiting calls, at the time when the first
  //! of them can no longer be answered before its deadline.
  TimerQueue<ServiceId> m_waiting_timers;
  //! Time to try waiting attempts again; set only while m_waiting is not empty.
  std::optional<TimePoint> m_poll_at;
  //! Time by which each call has its answer, since the host stops then; max()
  //! while it does not stop.
  TimePoint m_answer_by = TimePoint::max();
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_H_
