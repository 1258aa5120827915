// The server of one host: its listening ports, discovery state and routing
// decisions, all on one event loop.
#ifndef JACINTHDECK_ENTRY_ENTRY_NODE_H_
#define JACINTHDECK_ENTRY_ENTRY_NODE_H_

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/discovery/fleet.h"
#include "jacinthdeck/discovery/record_writer.h"
#include "jacinthdeck/discovery/store_session.h"
#include "jacinthdeck/entry/account_log.h"
#include "jacinthdeck/entry/call_metrics.h"
#include "jacinthdeck/entry/caller_handler.h"
#include "jacinthdeck/entry/decision_log.h"
#include "jacinthdeck/entry/entry_protocol.h"
#include "jacinthdeck/entry/entry_settings.h"
#include "jacinthdeck/entry/event_log.h"
#include "jacinthdeck/entry/feed_hub.h"
#include "jacinthdeck/entry/log_writer.h"
#include "jacinthdeck/entry/loop_lag.h"
#include "jacinthdeck/entry/rate_limit_hub.h"
#include "jacinthdeck/entry/reload_state.h"
#include "jacinthdeck/entry/shutdown_schedule.h"
#include "jacinthdeck/entry/simple_handler.h"
#include "jacinthdeck/entry/tenant_gate.h"
#include "jacinthdeck/entry/tenant_gate_sink.h"
#include "jacinthdeck/entry/typed_service.h"
#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/http/edge_server.h"
#include "jacinthdeck/http/loop_timer.h"
#include "jacinthdeck/http/target_pool.h"
#include "jacinthdeck/routing/host_count_window.h"

namespace jacinthdeck {

/**
 * \brief Connects the listening servers, the forwarder, the target pool and the
 * store session of a host.
 *
 * Everything runs on the thread that calls Run(). Only the log has its own
 * thread, because writing it may block. A request passes from socket to socket
 * without changing threads: each change would cost two wake-ups for each of the
 * dozens of messages of one query.
 */
class EntryNode final : private CallerSink,
                        private TenantGateSink,
                        private ForwardPort,
                        private TargetPoolSink,
                        private DiscoveryObserver,
                        private FeedHubObserver,
                        private RateLimitObserver {
 public:
  EntryNode(EntrySettings settings, EntryProtocol protocol);

  /*! \brief Opens the ports and starts reading the store. */
  [[nodiscard]] Result<void> Start();

  /*! \brief Serves requests until a signal has stopped the host. */
  void Run();

  /*! \brief Sets the function that is called on SIGHUP, to reload the settings.
   */
  void OnReload(std::function<void()> reload) { m_reload = std::move(reload); }

  /*! \brief Applies the settings that may change at runtime. */
  void Apply(const EntrySettings& settings);

  /*! \brief Reports that the settings file cannot be used; those in force stay.
   * \param errors Errors found; empty if the file cannot be read. */
  void RejectSettings(const std::vector<SettingsError>& errors);

 private:
  // Callbacks from the components, defined in entry_node.cc and
  // entry_node_discovery.cc.
  void OnCall(ReceivedCall received) override;
  void OnCallerLeft(CallId call,
                    const std::string& request_id,
                    Duration after) override;
  void SubmitCall(ForwardCall call) override;
  void RefuseCall(GateRefusal refusal) override;
  [[nodiscard]] Duration KeyAge() const override { return DiscoveryAge(); }
  void OnRateVerdict(CallId call, const RateVerdict& verdict) override;
  void OnRateMessage() override;
  void Send(const OutgoingAttempt& attempt) override;
  void Cancel(AttemptId attempt) override;
  void Deliver(CallId call,
               ForwardAnswer answer,
               const CallTrace& trace) override;
  void OnAttemptLost(const LostAttempt& lost) override;
  void ShareSuspect(const CrashEvidence& evidence) override;
  void ShareQuarantine(const CrashEvidence& evidence) override;
  void OnSuspectCleared(const ClearingAnswer& answer) override;
  void OnCrashIgnored(const IgnoredCrash& crash) override;
  void OnReachabilityChange(const TargetEntry& target, bool reachable) override;
  void CheckTarget(const TargetEntry& target,
                   std::uint32_t connection_limit,
                   bool keep) override;
  void OnAttemptEnd(AttemptEnd& end) override;
  void OnTargetChecked(const TargetId& target, TargetCheck result) override;
  void OnDiscoveryChange(const DiscoveryChange& change,
                         const StorePosition& position) override;
  void OnContent(const std::vector<StoreChange>& changes,
                 const StorePosition& position,
                 bool whole) override;
  void OnStoreRestored(StoreEra before,
                       StoreEra era,
                       const StorePosition& known) override;
  void OnFeedOpened(const Endpoint& feeder) override;
  void OnFeedEnded(const std::string& problem) override;
  void OnStoreRead(const FullRead& reading) override;
  void OnStoreLost(StoreStatus status, const std::string& problem) override;
  void OnStoreRegained() override;
  void OnRegistration(StoreStatus status) override;

  void UpdateHosts(TimePoint now);
  //! Returns whether the domains that hold targets of the shards changed.
  bool UpdateTargetDomains(std::span<const TargetEntry> targets);
  //! Chooses which host writes this host's record to the store, and publishes
  //! the record if that choice changed.
  void UpdateRecordWriter(TimePoint now);
  void PublishRecord();
  //! Sets the number of hosts that share budgets and limits.
  void UpdateSharers(TimePoint now);
  void UpdateTypedCalls(const DiscoveryChange& change, TimePoint now);

  // Defined in entry_node_answers.cc.
  [[nodiscard]] EdgeResponse AnswerReady(const EdgeRequest& request) const;
  [[nodiscard]] EdgeResponse AnswerDirectory(const EdgeRequest& request) const;
  [[nodiscard]] EdgeResponse AnswerMetrics(const EdgeRequest& request) const;
  [[nodiscard]] std::string AnswerStatus() const;
  //! Returns whether the configuration has client accounts.
  [[nodiscard]] bool HasAccounts() const;
  [[nodiscard]] bool IsReady() const;

  // Defined in entry_node.cc.
  //! Logs and counts the end of a call and answers its caller.
  void Answer(CallId call, ForwardAnswer answer, const CallTrace& trace);
  void ArmDecisionTimer();
  void OnDecisionTimer();
  void Tick();
  void LogReadiness();
  void LogTraffic(TimePoint now);
  //! Logs the state of the limits, if the configuration has any.
  void LogLimits(TimePoint now);
  // Defined in entry_node_stop.cc.
  void AsyncWaitForSignal();
  void OnSignal(int signal);
  void BeginStop();
  //! Returns the earliest time at which a signal that is handled now can have
  //! arrived.
  [[nodiscard]] TimePoint EarliestArrival(TimePoint now) const;
  void ArmStopTimer(Duration after);
  //! Takes the steps of the stop that are due.
  void AdvanceStop();
  //! Logs the end of the process, and the calls that it leaves unanswered.
  void LogStopped();
  // Defined in entry_node_discovery.cc.
  [[nodiscard]] HostRecord OwnRecord() const;
  //! Returns the part of this host's record that comes from the settings. Only
  //! this part may be requested before the ports and their servers exist.
  [[nodiscard]] HostRecord ConfiguredRecord() const;
  //! Returns the time since the last successful call to the store, by this host
  //! or one that it follows; the time since the start before the first one.
  [[nodiscard]] Duration DiscoveryAge() const;

  EntrySettings m_settings;
  const EntryProtocol m_protocol;
  const BoottimeClock m_clock;
  const TimePoint m_started;
  const std::uint64_t m_started_ms;
  LogWriter m_log_writer;
  EventLog m_log;
  DecisionLog m_decisions;
  AccountLog m_account_log;
  CallMetrics m_metrics;
  asio::io_context m_loop;
  //! One set for the life of the node. A set keeps the signals that arrive
  //! between two waits, and discards them when it is destroyed.
  asio::signal_set m_signals;
  //! Memory that the callers on all ports take together.
  const CallerMemory m_caller_memory;
  CallerHandler m_caller_handler;
  SimpleHandler m_ready_handler;
  SimpleHandler m_directory_handler;
  SimpleHandler m_metrics_handler;
  EdgeServer m_callers_server;
  EdgeServer m_ready_server;
  EdgeServer m_directory_server;
  EdgeServer m_metrics_server;
  TargetPool m_pool;
  Forwarder m_forwarder;
  RateLimitHub m_rate_limits;
  TenantGate m_gate;
  StoreSession m_store;
  FeedHub m_feed_hub;
  RecordWriterChoice m_record_writer;
  TypedService m_typed_service;
  EdgeServer m_queries_server;
  //! Hosts that the directory sends callers to.
  std::vector<HostRecord> m_fronts;
  //! Failure domains that hold targets of the shards.
  std::set<FailureDomain> m_target_domains;
  //! Highest number of hosts that served callers within a time window.
  HostCountWindow m_front_count;
  LoopLag m_loop_lag;
  LoopTimer m_decision_timer;
  //! Expiry of the decision timer; max() while it is not armed.
  TimePoint m_decision_due = TimePoint::max();
  LoopTimer m_tick_timer;
  TimePoint m_last_tick;
  TimePoint m_previous_tick;
  //! When the state of the limits is looked at next.
  TimePoint m_next_limits_log;
  //! Time of the next log line on traffic.
  TimePoint m_next_traffic_log;
  LoopTimer m_stop_timer;
  std::function<void()> m_reload;
  //! From when the grace period counts; the epoch before the stop.
  TimePoint m_stop_began;
  //! Valid once the host stops.
  ShutdownSchedule m_shutdown;
  bool m_ports_closed = false;
  //! Whether the directory sends callers to this host.
  bool m_is_front = false;
  bool m_stopping = false;
  ReloadState m_reload_state = ReloadState::kApplied;
  bool m_logged_ready = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ENTRY_NODE_H_
