// The decisions of one node joined together: queries, routing, cluster. Runs on
// the decision thread.
#ifndef JACINTHDECK_RUNTIME_DECISION_CORE_H_
#define JACINTHDECK_RUNTIME_DECISION_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "jacinthdeck/cluster/cluster_node.h"
#include "jacinthdeck/cluster/target_view.h"
#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/routing/router.h"
#include "jacinthdeck/runtime/decision_event.h"
#include "jacinthdeck/runtime/decision_ports.h"
#include "jacinthdeck/runtime/once_calls.h"
#include "jacinthdeck/runtime/settings.h"

namespace jacinthdeck {

/*! \brief What a decision core is made from. */
struct DecisionOptions {
  SelfInfo self;
  ClusterOptions cluster;
  RouterOptions router;
  EngineOptions engine;
  //! Seed of every random choice.
  std::uint64_t seed = 1;
};

/**
 * \brief Turns events into effects on the ports.
 *
 * Not thread-safe and never waits. Time is read from the clock that is passed
 * in.
 */
class DecisionCore {
 public:
  DecisionCore(const DecisionOptions& options,
               const Clock& clock,
               DecisionPorts& ports);
  DecisionCore(const DecisionCore&) = delete;
  DecisionCore& operator=(const DecisionCore&) = delete;

  [[nodiscard]] ClusterNode& cluster() noexcept { return m_cluster; }
  [[nodiscard]] Engine& engine() noexcept { return m_engine; }
  [[nodiscard]] Router& router() noexcept { return m_router; }
  [[nodiscard]] TargetView& targets() noexcept { return m_targets; }
  [[nodiscard]] const std::shared_ptr<const Schema>& schema() const noexcept {
    return m_schema;
  }
  [[nodiscard]] bool draining() const noexcept { return m_draining; }
  /*! \brief Calls that have no answer yet. */
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return m_open.size();
  }

  /*! \brief Moment at which OnTimer() is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /*! \brief Acts on whatever is due; called before the events of each round, so
   * that a pause of the process is noticed before anything is answered. */
  void OnTimer();

  /*! \brief Takes one event. */
  void OnEvent(DecisionEvent event);

  /*! \brief Takes the peers that the settings name. */
  void AddSeeds(const std::vector<PeerSeed>& seeds);

  /*! \brief Ends a quarantine by an operator's word, here and at the peers;
   * false if there is none here. */
  bool ReleaseQuarantine(Fingerprint fingerprint, TimePoint now);

  /*! \brief Begins the graceful shutdown: new calls are refused, open ones
   * finish. */
  void Drain();

 private:
  //! Within this time a lease is mostly renewed, or another entry found.
  static constexpr Duration kNotReadyComeBack = std::chrono::milliseconds(500);

  struct OpenCall {
    CallSink sink;
    std::optional<RequestId> request;
  };

  void On(SubmittedCall& call, TimePoint now);
  void On(AttemptReply& reply, TimePoint now);
  void On(Envelope& envelope, TimePoint now);
  void On(StoreReply& reply, TimePoint now);
  void On(VersionsRead& read, TimePoint now);
  void On(HostsRead& read, TimePoint now);
  void On(ChangeSubmitted& submitted, TimePoint now);
  void On(DecisionTask& task, TimePoint now);

  void Begin(SubmittedCall call, bool forwarded, TimePoint now);
  [[nodiscard]] std::optional<CallResult> ReasonToRefuse(SubmittedCall& call,
                                                         bool forwarded,
                                                         TimePoint now) const;
  [[nodiscard]] std::optional<CallResult> Recheck(SubmittedCall& call) const;
  [[nodiscard]] bool ArriveOnce(SubmittedCall& call,
                                bool forwarded,
                                const std::optional<CallResult>& refusal,
                                TimePoint now);
  void OnForwarded(const Envelope& envelope,
                   const ForwardRequest& request,
                   TimePoint now);
  void Act(Effects& effects, TimePoint now);
  void Send(const SendAttempt& send, TimePoint now);
  void Deliver(DeliverAnswer& delivery, TimePoint now);
  void Act(ClusterEffects& effects, TimePoint now);
  void OnDelivery(const Envelope& envelope, TimePoint now);
  void OnConfig();
  void RefreshTargets(TimePoint now);
  void OnNotice(const QuarantineNotice& notice, TimePoint now);
  void TellPeers(const QuarantineNotice& notice, TimePoint now);

  const Clock& m_clock;
  DecisionPorts& m_ports;
  ClusterNode m_cluster;
  Router m_router;
  Engine m_engine;
  TargetView m_targets;
  OnceCalls m_once;
  //! Null while no revision with a readable schema is in force.
  std::shared_ptr<const Schema> m_schema;
  //! Revision that m_schema was read from.
  Revision m_content_revision;
  std::uint64_t m_next_call = 1;
  //! Every submitted call until its answer.
  std::map<CallId, OpenCall> m_open;
  std::map<OperatorCallId, std::function<void(const OperatorReply&)>>
      m_operators;
  std::uint64_t m_next_operator_call = 1;
  bool m_draining = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_DECISION_CORE_H_
