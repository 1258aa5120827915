// Start-up, the periodic tick, and the calls that pass between the callers, the
// forwarder and the target pool.
#include "jacinthdeck/entry/entry_node.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "jacinthdeck/entry/account_headers.h"
#include "jacinthdeck/entry/answer_encoder.h"
#include "jacinthdeck/entry/descriptor_shares.h"
#include "jacinthdeck/entry/node_metrics.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Interval of the tick. It is the precision of the timeouts of connection
//! attempts, idle connections and delayed removals.
constexpr Duration kTickInterval = milliseconds(100);
//! Interval of the tick while no configuration is known. The tick decides which
//! host to learn it from, and a host without one rejects callers.
constexpr Duration kStartTickInterval = milliseconds(10);
//! Time after the start in which the shorter interval justifies its wake-ups. A
//! host without a configuration after this time has no access to the store, and
//! another 100 ms of delay does not matter.
constexpr Duration kStartPeriod = milliseconds(500);
//! Interval of the log line on store calls and transferred bytes.
constexpr Duration kTrafficLogInterval = seconds(10);
//! Time between two ticks above which the process is taken to have been paused.
constexpr Duration kPauseThreshold = milliseconds(700);
//! Limit on the body of a request for readiness, the directory or metrics,
//! whose requests need none.
constexpr std::uint64_t kMaxQuestionBytes = 4096;
//! How long a higher host count stays in effect. A host that is no longer heard
//! from may only be partitioned, and still use its share of the limits.
constexpr Duration kHostWindow = seconds(25);
//! Host count that is assumed at start-up, before any host is known.
constexpr std::uint32_t kMinHosts = 1;

[[nodiscard]] std::uint64_t UnixStartMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

[[nodiscard]] ForwardOptions ForwardOptionsOf(const EntrySettings& settings) {
  ForwardOptions options;
  options.host = settings.name;
  options.domain = settings.domain;
  options.budget = {settings.extra_ratio, settings.extra_constant,
                    settings.extra_window};
  options.call_memory = settings.memory_bytes / CallerMemory::kDivisor;
  return options;
}

[[nodiscard]] TenantGateOptions GateOptionsOf(const EntrySettings& settings) {
  return {settings.strict_revoke, settings.revoke_after};
}

[[nodiscard]] RateLimiterOptions RateLimiterOptionsOf(
    const EntrySettings& settings,
    std::uint64_t started_ms) {
  RateLimiterOptions options;
  options.host = settings.name;
  options.started_ms = started_ms;
  options.window = settings.rate_limits.window;
  options.overshoot = settings.rate_limits.overshoot;
  options.slack = settings.rate_limits.slack;
  return options;
}

}  // namespace

EntryNode::EntryNode(EntrySettings settings, EntryProtocol protocol)
    : m_settings(std::move(settings)),
      m_protocol(std::move(protocol)),
      m_started(m_clock.Now()),
      m_started_ms(UnixStartMilliseconds()),
      m_log_writer(STDOUT_FILENO),
      m_log({m_settings.name.raw(), m_settings.log_bytes_per_second},
            m_clock,
            m_log_writer),
      m_decisions(m_log, m_settings.log_sample),
      m_account_log(m_log),
      m_loop(1),
      m_signals(m_loop, SIGTERM, SIGINT, SIGHUP),
      m_caller_memory(m_settings.memory_bytes),
      m_caller_handler(m_clock, m_protocol.targets, *this),
      m_ready_handler([this](const EdgeRequest& r) { return AnswerReady(r); }),
      m_directory_handler(
          [this](const EdgeRequest& r) { return AnswerDirectory(r); }),
      m_metrics_handler(
          [this](const EdgeRequest& r) { return AnswerMetrics(r); }),
      m_callers_server(m_loop, m_clock, m_caller_handler, m_caller_memory),
      m_ready_server(m_loop, m_clock, m_ready_handler, m_caller_memory),
      m_directory_server(m_loop, m_clock, m_directory_handler, m_caller_memory),
      m_metrics_server(m_loop, m_clock, m_metrics_handler, m_caller_memory),
      m_pool(m_loop, m_clock, m_protocol.targets, m_settings.domain, *this),
      m_forwarder(ForwardOptionsOf(m_settings),
                  *this,
                  std::random_device{}(),
                  m_started),
      m_rate_limits(m_loop,
                    m_clock,
                    RateLimiterOptionsOf(m_settings, m_started_ms),
                    *this,
                    std::random_device{}()),
      m_gate(GateOptionsOf(m_settings),
             m_protocol.targets,
             m_rate_limits,
             *this),
      m_store(m_loop,
              m_clock,
              *m_protocol.codec,
              *this,
              m_settings.name,
              m_settings.store,
              std::random_device{}(),
              DiscoveryTimes::ForBound(m_settings.max_change_delay)),
      m_feed_hub(m_loop,
                 m_clock,
                 m_store,
                 *this,
                 ConfiguredRecord(),
                 m_settings.seeds,
                 m_settings.fleet_starts,
                 std::random_device{}(),
                 DiscoveryTimes::ForBound(m_settings.max_change_delay)),
      m_record_writer(m_settings.fleet_starts, m_started),
      m_typed_service(
          m_clock,
          m_pool,
          m_metrics,
          [this] { return m_store.discovery_state().Hosts(); },
          [this](const EdgeRequest& request) {
            const auto& config = m_store.discovery_state().config();
            return TypedAccountOf(
                request.headers, m_protocol.targets,
                config == nullptr ? nullptr : config->tenants().get());
          },
          [this](Fingerprint fingerprint, QuarantineState state) {
            if (state == QuarantineState::kQuarantined) {
              ShareQuarantine(
                  {.fingerprint = fingerprint,
                   .service = {},
                   .target = {},
                   .quarantined_for = QuarantineOptions().quarantine_ttl});
            } else {
              ShareSuspect(
                  {.fingerprint = fingerprint, .service = {}, .target = {}});
            }
          },
          std::random_device{}()),
      m_queries_server(m_loop, m_clock, m_typed_service, m_caller_memory),
      m_front_count(kHostWindow, kMinHosts),
      m_decision_timer(m_loop),
      m_tick_timer(m_loop),
      m_last_tick(m_started),
      m_previous_tick(m_started),
      m_next_traffic_log(m_started + kTrafficLogInterval),
      m_stop_timer(m_loop) {}

Result<void> EntryNode::Start() {
  // Signals that arrived since the construction are handled once the loop runs.
  AsyncWaitForSignal();
  for (EdgeServer* const server :
       {&m_ready_server, &m_directory_server, &m_metrics_server}) {
    EdgeLimits limits;
    limits.body_bytes = kMaxQuestionBytes;
    server->SetLimits(limits);
  }
  const DescriptorShares shares = ShareDescriptors(m_settings);
  m_pool.SetConnectionLimit(shares.targets);
  BOOST_LEAF_CHECK(m_callers_server.Listen(
      m_settings.callers.address, m_settings.callers.port, shares.callers));
  struct SecondaryPort {
    EdgeServer& server;
    const Endpoint& address;
    std::uint32_t connections;
  };
  for (const SecondaryPort& port :
       {SecondaryPort{m_ready_server, m_settings.ready, shares.monitoring},
        SecondaryPort{m_directory_server, m_settings.directory,
                      shares.directory},
        SecondaryPort{m_metrics_server, m_settings.metrics, shares.monitoring},
        SecondaryPort{m_queries_server, m_settings.queries, shares.queries}}) {
    if (!port.address.address.empty()) {
      BOOST_LEAF_CHECK(port.server.Listen(port.address.address,
                                          port.address.port, port.connections));
    }
  }
  if (!m_settings.peers.address.empty()) {
    BOOST_LEAF_CHECK(m_feed_hub.Listen(m_settings.peers, shares.followers));
  }
  if (!m_settings.rate_limits.listen.address.empty()) {
    BOOST_LEAF_CHECK(m_rate_limits.Listen(m_settings.rate_limits.listen));
  }
  LogLine line = m_log.Begin(LogEvent::kStarted);
  line.Text("failure_domain", m_settings.domain.raw())
      .Text("address", m_settings.callers.address)
      .Count("callers_port", m_callers_server.port())
      .Count("metrics_port", m_metrics_server.port())
      .Count("queries_port", m_queries_server.port())
      .Count("started_unix_ms", m_started_ms);
  m_log.Add(std::move(line));
  m_feed_hub.Tick();
  Tick();
  return {};
}

void EntryNode::Run() {
  m_loop.run();
  LogStopped();
}

void EntryNode::Apply(const EntrySettings& settings) {
  m_settings.directory_ttl = settings.directory_ttl;
  m_settings.grace = settings.grace;
  m_reload_state = settings == m_settings ? ReloadState::kApplied
                                          : ReloadState::kNeedsRestart;
  LogLine line = m_log.Begin(LogEvent::kReloaded);
  line.Milliseconds("directory_ttl_ms", m_settings.directory_ttl)
      .Milliseconds("grace_ms", m_settings.grace)
      .Flag("needs_restart", m_reload_state == ReloadState::kNeedsRestart);
  m_log.Add(std::move(line));
}

void EntryNode::RejectSettings(const std::vector<SettingsError>& errors) {
  m_reload_state = ReloadState::kRejected;
  LogLine line = m_log.Begin(LogEvent::kReloadRejected);
  line.Count("errors", errors.size());
  if (!errors.empty()) {
    line.Text("key", errors.front().key)
        .Text("problem", errors.front().message);
  }
  m_log.Add(std::move(line));
}

void EntryNode::OnCall(ReceivedCall received) {
  if (m_stopping) {
    received.call.deadline =
        std::min(received.call.deadline, m_shutdown.last_answer);
  }
  m_gate.OnCall(std::move(received), m_clock.Now());
  ArmDecisionTimer();
}

void EntryNode::OnCallerLeft(CallId call,
                             const std::string& request_id,
                             Duration after) {
  const TimePoint now = m_clock.Now();
  if (!m_gate.OnCallerLeft(call, now)) {
    m_gate.OnCallEnd(call, m_forwarder.Abandon(call, now), now);
  }
  m_decisions.OnAbandoned(request_id, after);
}

void EntryNode::OnRateVerdict(CallId call, const RateVerdict& verdict) {
  m_gate.OnVerdict(call, verdict);
}

void EntryNode::OnRateMessage() {
  m_gate.ProcessVerdicts(m_clock.Now());
  ArmDecisionTimer();
}

void EntryNode::SubmitCall(ForwardCall call) {
  m_forwarder.Submit(std::move(call), m_clock.Now());
}

void EntryNode::RefuseCall(GateRefusal refusal) {
  const TimePoint now = m_clock.Now();
  if (m_account_log.IsDue(refusal, now)) {
    m_account_log.OnRefused(refusal,
                            m_rate_limits.StatusOf(refusal.tenant, now));
  }
  Answer(refusal.call, std::move(refusal.answer), refusal.trace);
}

void EntryNode::Send(const OutgoingAttempt& attempt) {
  m_pool.Send(attempt);
}

void EntryNode::Cancel(AttemptId attempt) {
  m_pool.Cancel(attempt);
}

void EntryNode::Deliver(CallId call,
                        ForwardAnswer answer,
                        const CallTrace& trace) {
  m_gate.OnCallEnd(call, answer.kind != AnswerKind::kNotRun, m_clock.Now());
  Answer(call, std::move(answer), trace);
}

void EntryNode::Answer(CallId call,
                       ForwardAnswer answer,
                       const CallTrace& trace) {
  const WaitingCaller caller = m_caller_handler.Take(call);
  if (caller.connection == nullptr) {
    return;
  }
  const Duration took = m_clock.Now() - caller.arrived;
  m_decisions.OnCallEnd({caller.request_id, answer, trace, took, DiscoveryAge(),
                         m_forwarder.open_calls()});
  m_metrics.Add(LabelsOf(answer, trace), took);
  caller.connection->Respond(
      EncodeAnswer(m_protocol.targets, std::move(answer)));
}

void EntryNode::OnAttemptLost(const LostAttempt& lost) {
  m_decisions.OnAttemptLost(lost);
}

void EntryNode::ShareSuspect(const CrashEvidence& evidence) {
  m_decisions.OnCrash(LogEvent::kSuspected, evidence);
  m_store.ShareSuspect(evidence.fingerprint, evidence.service);
}

void EntryNode::ShareQuarantine(const CrashEvidence& evidence) {
  m_decisions.OnCrash(LogEvent::kQuarantined, evidence);
  m_store.ShareQuarantine(evidence.fingerprint, evidence.service,
                          evidence.quarantined_for);
}

void EntryNode::OnSuspectCleared(const ClearingAnswer& answer) {
  m_decisions.OnSuspectCleared(answer);
}

void EntryNode::OnCrashIgnored(const IgnoredCrash& crash) {
  m_decisions.OnCrashIgnored(crash);
}

void EntryNode::OnReachabilityChange(const TargetEntry& target,
                                     bool reachable) {
  m_decisions.OnReachabilityChange(target, reachable);
}

void EntryNode::CheckTarget(const TargetEntry& target,
                            std::uint32_t connection_limit,
                            bool keep) {
  m_pool.CheckTarget(target, connection_limit, keep);
}

void EntryNode::OnTargetChecked(const TargetId& target, TargetCheck result) {
  m_forwarder.OnTargetChecked(target, result, m_clock.Now());
  ArmDecisionTimer();
}

void EntryNode::OnAttemptEnd(AttemptEnd& end) {
  if (TypedService::Owns(end.id)) {
    m_typed_service.OnAttemptEnd(end);
    ArmDecisionTimer();
    return;
  }
  m_forwarder.OnAttemptEnd(end, m_clock.Now());
  ArmDecisionTimer();
}

void EntryNode::ArmDecisionTimer() {
  auto next = m_forwarder.NextTimer();
  const auto next_typed = m_typed_service.calls().NextTimer();
  if (next_typed && (!next || *next_typed < *next)) {
    next = next_typed;
  }
  const auto next_limit = m_rate_limits.NextTimer();
  if (next_limit && (!next || *next_limit < *next)) {
    next = next_limit;
  }
  if (m_gate.has_verdicts()) {
    next = m_clock.Now();
  }
  if (!next || *next >= m_decision_due) {
    return;
  }
  m_decision_due = *next;
  m_decision_timer.Start(std::max(*next - m_clock.Now(), Duration::zero()),
                         [this] { OnDecisionTimer(); });
}

void EntryNode::OnDecisionTimer() {
  m_decision_due = TimePoint::max();
  m_rate_limits.OnTimer(m_clock.Now());
  m_gate.ProcessVerdicts(m_clock.Now());
  m_forwarder.OnTimer(m_clock.Now());
  m_typed_service.calls().OnTimer(m_clock.Now());
  ArmDecisionTimer();
}

void EntryNode::Tick() {
  const TimePoint now = m_clock.Now();
  if (now - m_last_tick > kPauseThreshold) {
    LogLine line = m_log.Begin(LogEvent::kPaused);
    line.Milliseconds("for_ms", now - m_last_tick);
    m_log.Add(std::move(line));
  }
  if (m_loop_lag.Add(
          std::max(now - m_last_tick - kTickInterval, Duration::zero()), now) &&
      !m_stopping) {
    PublishRecord();
  }
  m_previous_tick = m_last_tick;
  m_last_tick = now;
  m_pool.ApplyTimeouts();
  m_callers_server.ApplyTimeouts();
  m_ready_server.ApplyTimeouts();
  m_directory_server.ApplyTimeouts();
  m_metrics_server.ApplyTimeouts();
  m_queries_server.ApplyTimeouts();
  ArmDecisionTimer();
  m_store.ProcessTimers();
  UpdateSharers(now);
  m_feed_hub.Tick();
  UpdateRecordWriter(now);
  LogTraffic(now);
  LogLimits(now);
  m_log.Flush();
  const bool lacks_config =
      m_forwarder.config() == nullptr && now - m_started < kStartPeriod;
  m_tick_timer.Start(lacks_config ? kStartTickInterval : kTickInterval,
                     [this] { Tick(); });
}

void EntryNode::LogTraffic(TimePoint now) {
  if (now < m_next_traffic_log) {
    return;
  }
  m_next_traffic_log = now + kTrafficLogInterval;
  m_decisions.OnTraffic(
      {m_store.counters(), m_feed_hub.received(), m_pool.counters().bytes,
       m_pool.counters().oversized_responses, m_forwarder.counters()});
}

void EntryNode::LogLimits(TimePoint now) {
  constexpr Duration kLimitsLogInterval = seconds(1);
  if (now < m_next_limits_log || !HasAccounts()) {
    return;
  }
  m_next_limits_log = now + kLimitsLogInterval;
  const RateLimiterStatus limits = m_rate_limits.Snapshot(now);
  if (limits.active && !m_rate_limits.is_open()) {
    m_account_log.OnLimitsWithoutPeers();
  }
  m_account_log.OnLimits(limits);
}

void EntryNode::LogReadiness() {
  if (IsReady() == m_logged_ready) {
    return;
  }
  m_logged_ready = IsReady();
  LogLine line = m_log.Begin(LogEvent::kReadiness);
  line.Flag("ready", m_logged_ready)
      .Count("targets", m_forwarder.targets().size())
      .Flag("stopping", m_stopping);
  m_log.Add(std::move(line));
}

}  // namespace jacinthdeck
