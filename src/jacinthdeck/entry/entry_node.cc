// Start, stop and the traffic between the parts.
#include "jacinthdeck/entry/entry_node.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "jacinthdeck/discovery/directory_choice.h"
#include "jacinthdeck/discovery/fleet.h"
#include "jacinthdeck/entry/answer_encoder.h"
#include "jacinthdeck/entry/node_metrics.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Precision of the timeouts of openings, idle connections and held removals.
constexpr Duration kTick = milliseconds(100);
//! A tick later than this means that the process stood still.
constexpr Duration kPause = milliseconds(700);
//! Descriptors kept for targets, the store and files.
constexpr std::uint32_t kOwnDescriptors = 600;
constexpr std::size_t kSmallPortConnections = 128;
//! How long a higher count of hosts is remembered: one that fell silent may
//! only be cut off, and still spend its share.
constexpr Duration kHostWindow = seconds(25);
//! Hosts of which nothing is known yet when this one starts.
constexpr std::uint32_t kLeastHosts = 1;
//! How long a record outlives its host: callers are sent to a dead host for
//! that long at most.
constexpr Duration kFrontLease = milliseconds(3500);
//! The same of a host that no callers are sent to.
constexpr Duration kStandbyLease = milliseconds(9000);
constexpr std::size_t kSmallFleet = 12;
//! Time kept back at the end of the grace for the last answers.
constexpr Duration kStopMargin = milliseconds(900);
//! Time for the requests that were on their way when the ports closed.
constexpr Duration kSettle = milliseconds(250);
//! The callers' addresses that one directory answer holds.
constexpr std::size_t kMostAddresses = 64;

[[nodiscard]] std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

[[nodiscard]] ForwardOptions ForwardOptionsOf(const EntrySettings& settings) {
  ForwardOptions options;
  options.domain = settings.domain;
  options.budget = {settings.extra_ratio, settings.extra_constant,
                    settings.extra_window};
  return options;
}

[[nodiscard]] EdgeResponse Plain(int status) {
  EdgeResponse response;
  response.status = status;
  return response;
}

//! The registry's targets in the terms of typed calls.
[[nodiscard]] std::vector<TargetInfo> TargetInfosOf(
    const Knowledge& knowledge) {
  std::vector<TargetInfo> infos;
  for (const TargetEntry& entry : knowledge.Targets()) {
    TargetInfo info;
    info.id = entry.id;
    info.service = entry.service;
    info.domain = entry.domain;
    info.address = entry.address;
    info.port = entry.port;
    info.state = entry.draining ? TargetState::kLeaving : TargetState::kLive;
    info.slots = entry.slots;
    info.connections =
        knowledge.config() == nullptr
            ? entry.slots
            : std::max(knowledge.config()->TargetConnections(entry.service),
                       entry.slots);
    infos.push_back(info);
  }
  return infos;
}

[[nodiscard]] EdgeLimits EdgeLimitsOf(const CallerLimits& limits) {
  return {limits.header_bytes, limits.body_bytes, limits.header_timeout,
          limits.idle_timeout};
}

}  // namespace

EntryNode::EntryNode(EntrySettings settings, EntryProtocol protocol)
    : m_settings(std::move(settings)),
      m_protocol(std::move(protocol)),
      m_started(m_clock.Now()),
      m_started_ms(UnixMilliseconds()),
      m_writer(STDOUT_FILENO),
      m_log({m_settings.name.raw(), m_settings.log_bytes_per_second},
            m_clock,
            m_writer),
      m_decisions(m_log, m_settings.log_sample),
      m_loop(1),
      m_caller_handler(m_clock, m_protocol.targets, *this),
      m_ready_handler([this](const EdgeRequest& r) { return AnswerReady(r); }),
      m_directory_handler(
          [this](const EdgeRequest& r) { return AnswerDirectory(r); }),
      m_metrics_handler(
          [this](const EdgeRequest& r) { return AnswerMetrics(r); }),
      m_callers(m_loop, m_clock, m_caller_handler),
      m_ready(m_loop, m_clock, m_ready_handler),
      m_directory(m_loop, m_clock, m_directory_handler),
      m_metrics_server(m_loop, m_clock, m_metrics_handler),
      m_pool(m_loop, m_clock, m_protocol.targets, *this),
      m_forwarder(ForwardOptionsOf(m_settings),
                  *this,
                  std::random_device{}(),
                  m_started),
      m_store(m_loop,
              m_clock,
              *m_protocol.codec,
              *this,
              m_settings.store.address,
              m_settings.store.port,
              std::random_device{}()),
      m_feed(m_loop,
             m_clock,
             m_store,
             *this,
             SettledRecord(),
             m_settings.seeds,
             m_settings.fleet_starts,
             std::random_device{}()),
      m_typed(
          m_clock,
          m_pool,
          m_metrics,
          [this] { return m_store.knowledge().Hosts(); },
          std::random_device{}()),
      m_queries(m_loop, m_clock, m_typed),
      m_fronts(kHostWindow, kLeastHosts),
      m_decision_timer(m_loop),
      m_tick(m_loop),
      m_ticked(m_started),
      m_stop_timer(m_loop) {}

Result<void> EntryNode::Start() {
  const std::uint32_t most = m_settings.descriptors > 2 * kOwnDescriptors
                                 ? m_settings.descriptors - kOwnDescriptors
                                 : m_settings.descriptors / 2;
  BOOST_LEAF_CHECK(m_callers.Listen(m_settings.callers.address,
                                    m_settings.callers.port, most));
  struct SmallPort {
    EdgeServer& server;
    const Endpoint& address;
  };
  for (const SmallPort& port : {SmallPort{m_ready, m_settings.ready},
                                SmallPort{m_directory, m_settings.directory},
                                SmallPort{m_metrics_server, m_settings.metrics},
                                SmallPort{m_queries, m_settings.queries}}) {
    if (!port.address.address.empty()) {
      BOOST_LEAF_CHECK(port.server.Listen(
          port.address.address, port.address.port, kSmallPortConnections));
    }
  }
  if (!m_settings.peers.address.empty()) {
    BOOST_LEAF_CHECK(m_feed.Listen(m_settings.peers));
  }
  LogLine line = m_log.Begin(LogEvent::kStarted);
  line.Text("failure_domain", m_settings.domain.raw())
      .Text("address", m_settings.callers.address)
      .Count("callers_port", m_callers.port())
      .Count("metrics_port", m_metrics_server.port())
      .Count("queries_port", m_queries.port())
      .Count("started_unix_ms", m_started_ms);
  m_log.Add(std::move(line));
  m_store.Register(OwnRecord());
  m_feed.Tick();
  Tick();
  return {};
}

void EntryNode::Run() {
  WaitForSignal();
  m_loop.run();
  LogLine line = m_log.Begin(LogEvent::kStopped);
  line.Count("waiting_callers", m_caller_handler.waiting());
  m_log.Add(std::move(line));
  m_log.Flush();
}

void EntryNode::Apply(const EntrySettings& settings) {
  m_settings.directory_ttl = settings.directory_ttl;
  m_settings.grace = settings.grace;
  LogLine line = m_log.Begin(LogEvent::kReloaded);
  line.Milliseconds("directory_ttl_ms", m_settings.directory_ttl)
      .Milliseconds("grace_ms", m_settings.grace);
  m_log.Add(std::move(line));
}

void EntryNode::OnCall(ForwardCall call) {
  m_forwarder.Submit(std::move(call), m_clock.Now());
  ArmDecisions();
}

void EntryNode::OnCallerLeft(CallId call,
                             const std::string& request_id,
                             Duration after) {
  m_forwarder.Abandon(call, m_clock.Now());
  m_decisions.OnAbandoned(request_id, after);
}

void EntryNode::Send(const OutgoingAttempt& attempt) {
  m_pool.Send(attempt);
}

void EntryNode::Cancel(AttemptId attempt) {
  m_pool.Cancel(attempt);
}

void EntryNode::Deliver(CallId call,
                        ForwardAnswer answer,
                        const CallStory& story) {
  const WaitingCaller caller = m_caller_handler.Take(call);
  if (caller.connection == nullptr) {
    return;
  }
  const Duration took = m_clock.Now() - caller.arrived;
  m_decisions.OnCallEnd({caller.request_id, answer, story, took, KnowledgeAge(),
                         m_forwarder.open_calls()});
  m_metrics.Add(LabelsOf(answer, story), took);
  caller.connection->Respond(
      EncodeAnswer(m_protocol.targets, std::move(answer)));
}

void EntryNode::ShareConviction(Fingerprint fingerprint) {
  LogLine line = m_log.Begin(LogEvent::kConvicted);
  line.Count("fingerprint", fingerprint.raw());
  m_log.Add(std::move(line));
  m_store.ShareConviction(fingerprint);
}

void EntryNode::OnAttemptEnd(AttemptEnd& end) {
  if (TypedService::Owns(end.id)) {
    m_typed.OnAttemptEnd(end);
    ArmDecisions();
    return;
  }
  m_forwarder.OnAttemptEnd(end, m_clock.Now());
  ArmDecisions();
}

void EntryNode::OnKnowledge(const KnowledgeChange& change,
                            std::uint64_t revision) {
  const TimePoint now = m_clock.Now();
  const Knowledge& knowledge = m_store.knowledge();
  if (change.config && m_forwarder.SetConfig(knowledge.config())) {
    m_callers.SetLimits(EdgeLimitsOf(knowledge.config()->limits()));
  }
  if (change.targets) {
    const std::vector<TargetEntry> targets = knowledge.Targets();
    m_forwarder.SetTargets(targets, now);
    m_pool.Retain(targets);
  }
  if (change.hosts || change.config) {
    TakeHosts(now);
  }
  for (const Fingerprint fingerprint : change.convictions) {
    m_forwarder.Convict(fingerprint, now);
  }
  TakeTyped(change, now);
  m_decisions.OnKnowledge(change, knowledge, revision, now - m_started);
  TellReadiness();
  ArmDecisions();
}

void EntryNode::OnContent(const std::vector<StoreChange>& changes,
                          std::uint64_t revision,
                          bool whole) {
  m_feed.OnContent(changes, revision, whole);
}

void EntryNode::OnFeedOpened(const Endpoint& feeder) {
  LogLine line = m_log.Begin(LogEvent::kFeedOpened);
  line.Text("feeder", feeder.ToString());
  m_log.Add(std::move(line));
}

void EntryNode::OnFeedEnded(const std::string& problem) {
  LogLine line = m_log.Begin(LogEvent::kFeedEnded);
  line.Text("problem", problem)
      .Count("store_revision", m_store.revision())
      .Milliseconds("knowledge_age_ms", KnowledgeAge());
  m_log.Add(std::move(line));
}

void EntryNode::TakeHosts(TimePoint now) {
  const std::vector<HostRecord> hosts = m_store.knowledge().Hosts();
  m_feed.OnHosts(hosts);
  const std::vector<HostRecord> fronts = Fronts();
  m_fronts.Add(static_cast<std::uint32_t>(fronts.size()), now);
  m_fronts_known = !fronts.empty();
  m_is_front = std::ranges::find(fronts, m_settings.name, &HostRecord::name) !=
               fronts.end();
  m_forwarder.SetHosts(m_fronts.Highest(now), m_is_front, now);
  // A front that dies must not be named for long; of the others only the
  // budget of calls to the store matters.
  const bool small = hosts.size() <= kSmallFleet;
  m_store.SetLeaseLife(m_is_front || small ? kFrontLease : kStandbyLease);
}

std::vector<HostRecord> EntryNode::Fronts() const {
  const Knowledge& knowledge = m_store.knowledge();
  return ChooseFronts(knowledge.Hosts(),
                      knowledge.config() == nullptr
                          ? 0
                          : knowledge.config()->FewestTargetConnections());
}

void EntryNode::TakeTyped(const KnowledgeChange& change, TimePoint now) {
  if (m_settings.queries.address.empty()) {
    return;
  }
  TypedCalls& calls = m_typed.calls();
  const Knowledge& knowledge = m_store.knowledge();
  const auto tell = [&](const std::string& subject, const auto& taken) {
    const auto* error = std::get_if<Error>(&taken);
    LogLine line = m_log.Begin(error == nullptr ? LogEvent::kSchemaApplied
                                                : LogEvent::kEntryUnreadable);
    line.Text("entry", subject);
    if (error != nullptr) {
      line.Text("problem", error->subject + " " + error->message);
    }
    m_log.Add(std::move(line));
  };
  if (change.schema) {
    tell("schema", Capture([&]() -> Result<bool> {
           BOOST_LEAF_CHECK(calls.SetSchema(knowledge.schema()));
           return true;
         }));
  }
  for (const ServiceId& service : change.indexes) {
    tell(
        service.raw(), Capture([&]() -> Result<bool> {
          BOOST_LEAF_CHECK(calls.SetIndex(service, knowledge.IndexOf(service)));
          return true;
        }));
  }
  if (change.targets || change.config) {
    calls.SetTargets(TargetInfosOf(knowledge), now);
  }
  if (change.hosts) {
    calls.SetHosts(m_fronts.Highest(now), now);
  }
}

void EntryNode::OnStoreLost(StoreStatus status, const std::string& problem) {
  LogLine line = m_log.Begin(LogEvent::kStoreLost);
  line.Text("status", kStoreStatusNames.Name(status))
      .Text("problem", problem)
      .Count("store_revision", m_store.revision());
  m_log.Add(std::move(line));
}

void EntryNode::OnStoreRegained() {
  LogLine line = m_log.Begin(LogEvent::kStoreRegained);
  line.Count("store_revision", m_store.revision());
  m_log.Add(std::move(line));
}

void EntryNode::OnRegistration(StoreStatus status) {
  const bool well = status == StoreStatus::kOk;
  LogLine line =
      m_log.Begin(well ? LogEvent::kRegistered : LogEvent::kRegistrationFailed);
  line.Text("status", kStoreStatusNames.Name(status));
  m_log.Add(std::move(line));
}

EdgeResponse EntryNode::AnswerReady(const EdgeRequest& request) const {
  if (request.target != m_protocol.ready_path) {
    return Plain(http_status::kNotFound);
  }
  return Plain(IsReady() ? http_status::kOk : http_status::kUnavailable);
}

EdgeResponse EntryNode::AnswerDirectory(const EdgeRequest& request) const {
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  if (path != m_protocol.directory_path) {
    return Plain(http_status::kNotFound);
  }
  DirectoryQuestion question;
  question.caller = m_protocol.read_directory_call(request.target);
  question.self = OwnRecord();
  // A host that knows no front yet names itself rather than nobody.
  question.self_serves = IsReady() && (m_is_front || !m_fronts_known);
  question.most = kMostAddresses;
  const std::vector<std::string> addresses = ChooseHosts(question, Fronts());
  if (addresses.empty()) {
    return Plain(http_status::kUnavailable);
  }
  return m_protocol.write_directory_answer(addresses, m_settings.directory_ttl);
}

EdgeResponse EntryNode::AnswerMetrics(const EdgeRequest& request) const {
  EdgeResponse response;
  if (request.target == "/status") {
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = AnswerStatus();
    return response;
  }
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  response.body = m_metrics.Render() +
                  RenderNodeMetrics({m_forwarder, m_pool, m_callers, m_store,
                                     m_log, IsReady(), KnowledgeAge()});
  return response;
}

std::string EntryNode::AnswerStatus() const {
  const Knowledge& knowledge = m_store.knowledge();
  LogLine status;
  status.Text("host", m_settings.name.raw())
      .Text("failure_domain", m_settings.domain.raw())
      .Flag("ready", IsReady())
      .Flag("stopping", m_stopping)
      .Flag("store_away", knowledge.store_away())
      .Milliseconds("knowledge_age_ms", KnowledgeAge())
      .Count("store_revision", m_store.revision())
      .Count("config_version",
             knowledge.config() == nullptr ? 0 : knowledge.config()->version())
      .Count("targets", knowledge.target_count())
      .Count("hosts", knowledge.Hosts().size())
      .Count("open_calls", m_forwarder.open_calls())
      .Count("caller_connections", m_callers.connections())
      .Count("target_connections", m_pool.connections());
  return std::move(status).Finish();
}

bool EntryNode::IsReady() const {
  return !m_stopping && m_forwarder.config() != nullptr &&
         m_forwarder.targets().size() > 0;
}

void EntryNode::ArmDecisions() {
  auto next = m_forwarder.NextTimer();
  const auto typed = m_typed.calls().NextTimer();
  if (typed && (!next || *typed < *next)) {
    next = typed;
  }
  if (!next || *next >= m_decision_at) {
    return;
  }
  m_decision_at = *next;
  m_decision_timer.expires_after(
      std::max(*next - m_clock.Now(), Duration::zero()));
  m_decision_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      OnDecisionTimer();
    }
  });
}

void EntryNode::OnDecisionTimer() {
  m_decision_at = TimePoint::max();
  m_forwarder.OnTimer(m_clock.Now());
  m_typed.calls().OnTimer(m_clock.Now());
  ArmDecisions();
}

void EntryNode::Tick() {
  const TimePoint now = m_clock.Now();
  if (now - m_ticked > kPause) {
    LogLine line = m_log.Begin(LogEvent::kPaused);
    line.Milliseconds("for_ms", now - m_ticked);
    m_log.Add(std::move(line));
  }
  if (m_lag.Add(std::max(now - m_ticked - kTick, Duration::zero()), now) &&
      !m_stopping) {
    m_store.Register(OwnRecord());
  }
  m_ticked = now;
  m_pool.CheckTimes();
  m_callers.CheckTimes();
  m_ready.CheckTimes();
  m_directory.CheckTimes();
  m_metrics_server.CheckTimes();
  m_queries.CheckTimes();
  ArmDecisions();
  m_store.CheckTimes();
  m_forwarder.SetHosts(m_fronts.Highest(now), m_is_front, now);
  m_feed.Tick();
  m_log.Flush();
  m_tick.expires_after(kTick);
  m_tick.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Tick();
    }
  });
}

void EntryNode::TellReadiness() {
  if (IsReady() == m_told_ready) {
    return;
  }
  m_told_ready = IsReady();
  LogLine line = m_log.Begin(LogEvent::kReadiness);
  line.Flag("ready", m_told_ready)
      .Count("targets", m_forwarder.targets().size())
      .Flag("stopping", m_stopping);
  m_log.Add(std::move(line));
}

void EntryNode::WaitForSignal() {
  auto signals =
      std::make_shared<asio::signal_set>(m_loop, SIGTERM, SIGINT, SIGHUP);
  signals->async_wait([this, signals](const SystemError& error, int signal) {
    if (!error) {
      OnSignal(signal);
      WaitForSignal();
    }
  });
}

void EntryNode::OnSignal(int signal) {
  if (signal == SIGHUP) {
    if (m_reload) {
      m_reload();
    }
    return;
  }
  if (!m_stopping) {
    BeginStop();
  }
}

void EntryNode::BeginStop() {
  m_stopping = true;
  m_store.Unregister();
  m_callers.Drain();
  m_queries.Drain();
  LogLine line = m_log.Begin(LogEvent::kStopping);
  line.Count("open_calls", m_forwarder.open_calls())
      .Count("connections", m_callers.connections())
      .Milliseconds("grace_ms", m_settings.grace);
  m_log.Add(std::move(line));
  TellReadiness();
  // Callers keep a directory answer for a while, and some for longer, so the
  // port stays open and requests are served until the end of the grace.
  m_stop_timer.expires_after(
      std::max(m_settings.grace - kStopMargin, Duration::zero()));
  m_stop_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Stop();
    }
  });
}

// A caller whose connection is refused goes elsewhere; one whose connection
// ends after it was accepted cannot know whether its request was read. So the
// ports close first, and what was accepted has time to be answered.
void EntryNode::Stop() {
  const TimePoint now = m_clock.Now();
  if (m_ports_closed == TimePoint{}) {
    m_ports_closed = now;
    m_callers.StopListening();
    m_queries.StopListening();
  }
  const bool settled = now - m_ports_closed >= kSettle &&
                       m_caller_handler.waiting() == 0 &&
                       m_typed.waiting() == 0;
  if (settled || now - m_ports_closed >= kStopMargin) {
    m_callers.CloseIdle();
    m_loop.stop();
    return;
  }
  constexpr Duration kLook = milliseconds(20);
  m_stop_timer.expires_after(kLook);
  m_stop_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Stop();
    }
  });
}

HostRecord EntryNode::OwnRecord() const {
  const auto address = [](const Endpoint& asked, std::uint16_t port) {
    return asked.address.empty() ? std::string()
                                 : Endpoint{asked.address, port}.ToString();
  };
  HostRecord record = SettledRecord();
  record.callers = address(m_settings.callers, m_callers.port());
  record.queries = address(m_settings.queries, m_queries.port());
  record.peers = address(m_settings.peers, m_feed.port());
  record.busy = m_lag.busy();
  return record;
}

HostRecord EntryNode::SettledRecord() const {
  constexpr double kThousandths = 1000;
  HostRecord record;
  record.name = m_settings.name;
  record.domain = m_settings.domain;
  if (!m_settings.peers.address.empty()) {
    record.peers = m_settings.peers.ToString();
  }
  record.strength = static_cast<std::uint32_t>(
      kThousandths * m_settings.cpu_share * m_settings.cores);
  record.started_ms = m_started_ms;
  return record;
}

Duration EntryNode::KnowledgeAge() const {
  const auto heard = m_store.last_well();
  return m_clock.Now() - heard.value_or(m_started);
}

}  // namespace jacinthdeck
