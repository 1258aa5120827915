// The deterministic core of a query: events and the time in, effects out.
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
 * \brief Scatters calls, gathers replies and decides every answer of one entry.
 *
 * Holds no socket, thread or clock. Every submitted call gets exactly one
 * DeliverAnswer, unless it is abandoned first. Every SendAttempt must be
 * followed by exactly one OnReply(), also after its cancellation.
 */
class Engine {
 public:
  /**
   * \brief Makes an engine.
   * \param router Replica choice; outlives the engine.
   * \param first_attempt Lowest attempt id of this life of the node; ids of
   * earlier lives are below.
   * \param options Bounds and delays.
   */
  Engine(Router& router,
         std::uint64_t first_attempt,
         const EngineOptions& options = {});

  /*! \brief Number of calls that have no answer yet, waiting ones included.
   */
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return m_calls.size() + m_waiting_calls.size();
  }

  /*! \brief Number of calls that wait to run. */
  [[nodiscard]] std::size_t waiting_calls() const noexcept {
    return m_waiting_calls.size();
  }

  /*! \brief Tells whether new calls are refused. */
  [[nodiscard]] bool draining() const noexcept { return m_draining; }

  /*! \brief Requests that are suspected or convicted of crashing targets. */
  [[nodiscard]] const Quarantine& quarantine() const noexcept {
    return m_quarantine;
  }

  /*! \brief Totals since the engine was made. */
  [[nodiscard]] const EngineCounters& counters() const noexcept {
    return m_counters;
  }

  /*! \brief Moment at which OnTimer() is due; nothing while no call waits. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * \brief Replaces the versions of a service that targets may still serve.
   *
   * Calls that run keep the version that they pinned.
   * \param service Service.
   * \param maps Maps, newest last; one that is not a partition of the key space
   * is left out and counted.
   */
  void SetVersions(const ServiceId& service, std::vector<PartitionMap> maps);

  /*! \brief Starts a call, or refuses it at once with its final answer. */
  void Submit(Call call, TimePoint now, Effects& effects);

  /*! \brief Takes the end of an attempt; one that is no longer known is
   * dropped. */
  void OnReply(const AttemptReply& reply, TimePoint now, Effects& effects);

  /*! \brief Acts on whatever is due: deadlines, hedges, waiting attempts. */
  void OnTimer(TimePoint now, Effects& effects);

  /*! \brief Drops a call whose caller went away; it gets no answer. */
  void Abandon(const CallId& id, TimePoint now, Effects& effects);

  /*! \brief Refuses calls from now on; those accepted before go on to their
   * answers. */
  void Drain() noexcept { m_draining = true; }

  /*! \brief Takes a peer's word that a request is suspected of crashing
   * targets. */
  void AddPeerSuspect(Fingerprint fingerprint, TimePoint now);

  /*! \brief Takes a peer's word that a request is convicted of it. */
  void AddPeerQuarantine(Fingerprint fingerprint,
                         TimePoint now,
                         Effects& effects);

  /**
   * \brief Ends what is held against a request, on an operator's word.
   * \return False if nothing was held against it.
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

  //! Where a waiting call stands.
  struct WaitingCall {
    ServiceState* service = nullptr;
    AdmissionQueue::Key key;
  };

  // Admission, in engine_admission.cc.
  [[nodiscard]] ServiceState& ServiceOf(const ServiceId& service);
  [[nodiscard]] AnswerReason ReasonToRefuse(const Call& call,
                                            TimePoint now) const;
  [[nodiscard]] bool MayStart(const ServiceState& service) const;
  void Enqueue(Call call,
               ServiceState& service,
               TimePoint now,
               Effects& effects);
  void Start(Call call, ServiceState& service, TimePoint now, Effects& effects);
  void StartWaitingCalls(TimePoint now, Effects& effects);
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

  // Running calls and what becomes due, in engine.cc.
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
  //! Live replicas of a shard that the call has not tried for it.
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
  //! Gives a shard up whose next attempt cannot be sent; one that is in flight
  //! may still answer.
  void GiveUpUnlessInFlight(OpenCall& open,
                            ShardState& state,
                            AnswerReason reason);
  void FinishIfSettled(OpenCall& open, TimePoint now, Effects& effects);
  void Finish(OpenCall& open, TimePoint now, Effects& effects);
  void CloseCall(OpenCall& open, Effects& effects);

  // Suspects, in engine_quarantine.cc.
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
  //! Referred to by the queues of m_services.
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
  //! Calls that wait in the queues of m_services.
  std::unordered_map<CallId, WaitingCall> m_waiting_calls;
  std::unordered_map<AttemptId, OpenAttempt> m_attempts;
  WaitingAttempts m_waiting;
  //! One timer for each element of m_calls.
  TimerQueue<CallId> m_timers;
  //! One timer for each service with waiting calls: when the first of them can
  //! no longer be answered in time.
  TimerQueue<ServiceId> m_waiting_timers;
  //! Set exactly while m_waiting holds something.
  std::optional<TimePoint> m_poll_at;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_H_
