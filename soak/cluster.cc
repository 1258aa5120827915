// Each action kind is applied by one member function.
#include "soak/cluster.h"

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <utility>

#include "process/process.h"
#include "soak/layout.h"
#include "soak/run_line.h"

namespace jacinthdeck::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Value of shutdown.grace_ms for the entries. A drain may cut requests that
//! are sent after this time.
constexpr int kGraceMs = 2500;
//! Time from the SIGTERM of an entry until its settings are reloaded.
constexpr Duration kReloadAfterStop = milliseconds(20);
//! Time that new targets run before a configuration names them.
constexpr Duration kNewTargetsLeadTime = milliseconds(1500);
//! Time from writing a configuration until the old targets drain; longer than
//! the bound within which all entries must use the configuration.
constexpr Duration kOldTargetsDrainDelay = milliseconds(3200);
//! Time that an entry gets to handle what expired while its process was stopped
//! or while the link to its callers had a fault.
constexpr Duration kContinueRecovery = seconds(1);
//! Recovery period after the last fault: Bounds::contact and a margin. Calls
//! sent after it must be answered.
constexpr Duration kRecovery = seconds(6);
//! Slightly longer than the callers' timeout, so that each call under way ends
//! before the loop stops.
constexpr Duration kLastCallsWait = milliseconds(3200);
constexpr Duration kLastSlowCallsWait = milliseconds(4700);
constexpr std::uint32_t kReplicas = 2;
constexpr const char* kOtherDomain = "b";

[[nodiscard]] std::string Cause(const char* what, std::size_t instance) {
  return std::string(what) + " " + std::to_string(instance);
}

//! Returns the first line of a sanitizer's report in a file; empty if there is
//! none.
[[nodiscard]] std::string FindSanitizerReport(const std::string& path) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.find("Sanitizer: ") != std::string::npos ||
        line.find(": runtime error: ") != std::string::npos) {
      return line;
    }
  }
  return "";
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options)),
      m_account_settings(DrawAccountSettings(m_options.seed)),
      m_callers(m_loop,
                m_options.callers,
                m_options.seed,
                m_options.accounts,
                m_options.rolling),
      m_loop_thread([this] {
        const auto guard = asio::make_work_guard(m_loop);
        m_loop.run();
      }) {}

Cluster::~Cluster() {
  m_loop.stop();
}

std::string Cluster::ProgramPath(const std::string& program) const {
  return (m_options.programs / program).string();
}

std::string Cluster::WorkFilePath(const std::string& name) const {
  return (m_options.work / name).string();
}

void Cluster::Start() {
  if (m_options.accounts) {
    m_accounts = InitialAccounts();
  }
  StartStore();
  StartLayout();
  WriteConfig();
  for (std::size_t index = 0; index < m_options.entries; ++index) {
    m_entries.push_back({"entry-" + std::to_string(index), 0, nullptr, nullptr,
                         nullptr, false});
  }
  for (Entry& entry : m_entries) {
    StartEntry(entry);
  }
}

void Cluster::Apply(const Action& action) {
  //! Indexed by ActionKind.
  static constexpr std::array<Step, kActionNames.names.size()> kSteps{
      &Cluster::StopEntry,        &Cluster::ContinueEntry,
      &Cluster::KillEntry,        &Cluster::DrainEntry,
      &Cluster::RestartEntry,     &Cluster::StopTarget,
      &Cluster::ContinueTarget,   &Cluster::KillTarget,
      &Cluster::DrainTarget,      &Cluster::LoseAnswers,
      &Cluster::AnswerAll,        &Cluster::Reshard,
      &Cluster::InjectStoreFault, &Cluster::CompactStore,
      &Cluster::ClearStoreFault,  &Cluster::InjectLinkFault,
      &Cluster::ClearLinkFault,   &Cluster::Evacuate,
      &Cluster::EndEvacuation,    &Cluster::CopyStore,
      &Cluster::RestoreStore,     &Cluster::RemoveKey,
      &Cluster::AddKey,           &Cluster::LowerLimit};
  const Step step = kSteps[static_cast<std::size_t>(action.kind)];
  (this->*step)(action);
}

void Cluster::Schedule(Duration after, std::function<void()> step) {
  m_scheduled.emplace(Now() + after, std::move(step));
}

void Cluster::RunDueSteps() {
  while (!m_scheduled.empty() && m_scheduled.begin()->first <= Now()) {
    const auto due = m_scheduled.extract(m_scheduled.begin());
    due.mapped()();
  }
}

void Cluster::BeginFaultPeriods(const std::string& cause,
                                const std::vector<std::size_t>& instances,
                                FaultEffect effect,
                                Duration after) {
  for (const std::size_t instance : instances) {
    m_open_periods[cause].push_back(m_fault_periods.size());
    m_fault_periods.push_back({instance, effect, Now() + after});
  }
}

void Cluster::EndFaultPeriods(const std::string& cause, Duration after) {
  for (const std::size_t index : m_open_periods[cause]) {
    m_fault_periods[index].to = Now() + after;
  }
  m_open_periods.erase(cause);
}

Cluster::Entry& Cluster::EntryOf(const Action& action) {
  return m_entries[action.subject % m_entries.size()];
}

void Cluster::StopEntry(const Action& action) {
  Entry& entry = EntryOf(action);
  entry.is_frozen_in_stop = true;
  const std::string cause = Cause("stopped", entry.instance);
  BeginFaultPeriods(cause, {entry.instance}, FaultEffect::kPropagation);
  BeginFaultPeriods(cause, {entry.instance}, FaultEffect::kConnections);
  entry.child->Signal(SIGSTOP);
}

void Cluster::ContinueEntry(const Action& action) {
  const Entry& entry = EntryOf(action);
  entry.child->Signal(SIGCONT);
  EndFaultPeriods(Cause("stopped", entry.instance), kContinueRecovery);
}

void Cluster::KillEntry(const Action& action) {
  Entry& entry = EntryOf(action);
  // The fault period must begin before the signal: callers see the connection
  // close within microseconds of it, and the check would report a cut request.
  BeginFaultPeriods(Cause("killed", entry.instance), {entry.instance},
                    FaultEffect::kConnections);
  entry.kill_sent = true;
  entry.child->Signal(SIGKILL);
  asio::post(m_loop,
             [this, instance = entry.instance] { m_callers.Remove(instance); });
}

void Cluster::DrainEntry(const Action& action) {
  Entry& entry = EntryOf(action);
  const bool is_stopping =
      m_open_periods.contains(Cause("killed", entry.instance));
  if (!is_stopping) {
    entry.is_frozen_in_stop =
        m_open_periods.contains(Cause("stopped", entry.instance));
    entry.callers->SetDelay(action.link_delay);
  }
  entry.child->Signal(SIGHUP);
  entry.stop_sent = true;
  entry.child->Signal(SIGTERM);
  if (m_options.rolling && !is_stopping) {
    Schedule(milliseconds(kGraceMs), [this, action, instance = entry.instance] {
      KillOverdueEntry(EntryOf(action), instance);
    });
  }
  Schedule(kReloadAfterStop,
           [this, action] { EntryOf(action).child->Signal(SIGHUP); });
  BeginFaultPeriods(Cause("killed", entry.instance), {entry.instance},
                    FaultEffect::kStopOverdue, milliseconds(kGraceMs));
  asio::post(m_loop, [this, instance = entry.instance] {
    m_callers.BeginDrain(instance);
  });
}

void Cluster::KillOverdueEntry(Entry& entry, std::size_t instance) {
  if (entry.instance == instance && entry.child->IsRunning()) {
    if (!entry.is_frozen_in_stop) {
      m_overdue_stops.push_back(entry.name + "." + std::to_string(instance));
    }
    entry.kill_sent = true;
    entry.child->Signal(SIGKILL);
  }
}

void Cluster::RestartEntry(const Action& action) {
  Entry& entry = EntryOf(action);
  if (entry.child->IsRunning() &&
      !m_open_periods.contains(Cause("killed", entry.instance))) {
    return;
  }
  if (entry.child->IsRunning()) {
    // The old process still drains; its name is in use until it ends.
    Schedule(milliseconds(200), [this, action] { RestartEntry(action); });
    return;
  }
  StartEntry(entry);
}

void Cluster::StartEntry(Entry& entry) {
  if (entry.child) {
    RecordOutcome(entry);
    asio::post(m_loop, [this, instance = entry.instance] {
      m_callers.Remove(instance);
    });
  }
  entry.instance = m_next_entry_instance++;
  entry.stop_sent = false;
  entry.kill_sent = false;
  KeepReplacedProxy(std::move(entry.store));
  KeepReplacedProxy(std::move(entry.callers));
  entry.store = std::make_unique<LoopbackProxy>(m_loop);
  entry.store->SetUpstream(m_store_port);
  entry.callers = std::make_unique<LoopbackProxy>(m_loop);
  const std::string settings = WorkFilePath(entry.name + ".toml");
  standins::WriteFile(
      settings,
      "[host]\nname = \"" + entry.name + "\"\nfailure_domain = \"" + kDomain +
          "\"\n"
          "[listen]\ncallers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
          "peers = \"127.0.0.1:0\"\n[store]\naddress = \"127.0.0.1:" +
          std::to_string(entry.store->port()) + "\"\n[shutdown]\ngrace_ms = " +
          std::to_string(kGraceMs) + "\n[log]\nsample = 1\n" +
          (m_options.accounts ? SettingsText(m_account_settings) : ""));
  const std::string output =
      WorkFilePath(entry.name + "." + std::to_string(entry.instance) + ".log");
  entry.child = std::make_unique<Child>(
      std::vector<std::string>{m_options.daemon.string(), "--config", settings},
      output);
  std::string port;
  try {
    port = entry.child->WaitForOutput(R"("callers_port":(\d+))", kStartTimeout);
  } catch (const std::runtime_error&) {
    // The run goes on without an entry that ended as it started, so that its
    // end is reported with the seed.
    if (entry.child->IsRunning()) {
      throw;
    }
    return;
  }
  entry.callers->SetUpstream(static_cast<std::uint16_t>(std::stoi(port)));
  const std::string started = Cause("started", entry.instance);
  BeginFaultPeriods(started, {entry.instance}, FaultEffect::kPropagation);
  EndFaultPeriods(started);
  if (m_open_periods.contains("store")) {
    BeginFaultPeriods("store", {entry.instance}, FaultEffect::kPropagation);
  }
  asio::post(m_loop,
             [this, instance = entry.instance, proxy = entry.callers->port()] {
               m_callers.Add(instance, proxy);
             });
}

void Cluster::RecordOutcome(Entry& entry) {
  m_entry_outcomes.push_back({entry.name + "." + std::to_string(entry.instance),
                              entry.stop_sent, entry.kill_sent,
                              entry.child->WaitStatus(),
                              FindSanitizerReport(entry.child->output())});
}

void Cluster::KeepReplacedProxy(std::unique_ptr<LoopbackProxy> proxy) {
  if (proxy) {
    m_replaced_proxies.push_back(std::move(proxy));
  }
}

Cluster::Target& Cluster::TargetOf(const Action& action) {
  // Claims and lookups, two of three calls, go to the targets of the single
  // service. Half of the faults, those with odd subjects, therefore affect the
  // last of these targets that was started and is not leaving.
  Target& any = *m_targets[action.subject / 2 % m_targets.size()];
  if (action.subject % 2 == 0) {
    return any;
  }
  const auto single =
      std::find_if(m_targets.rbegin(), m_targets.rend(), [&](const auto& it) {
        return it->service == SingleServiceName(m_layout) && !it->leaving;
      });
  return single == m_targets.rend() ? any : **single;
}

void Cluster::StartTarget(const std::string& service,
                          std::uint32_t shard,
                          const std::string& domain) {
  auto target = std::make_unique<Target>();
  target->id = "t-" + std::to_string(m_next_target_number++);
  target->service = service;
  target->shard = shard;
  target->domain = domain;
  m_placements.push_back({target->id, domain});
  target->proxy = std::make_unique<LoopbackProxy>(m_loop);
  target->child = std::make_unique<Child>(
      std::vector<std::string>{
          ProgramPath("soak/soak_target"), "--id", target->id, "--service",
          service, "--store", std::to_string(m_store_port), "--advertised",
          std::to_string(target->proxy->port()), "--log",
          WorkFilePath("runs.log"), "--layout", std::to_string(m_layout),
          "--shard", std::to_string(shard), "--domain", domain},
      WorkFilePath(target->id + ".log"));
  const std::string port = target->child->WaitForOutput(
      R"(listening 127\.0\.0\.1:(\d+))", kStartTimeout);
  target->proxy->SetUpstream(static_cast<std::uint16_t>(std::stoi(port)));
  m_targets.push_back(std::move(target));
}

void Cluster::StartLayout() {
  ++m_layout;
  for (std::uint32_t replica = 0; replica < kReplicas; ++replica) {
    const bool other = m_options.two_domains && replica > 0;
    const std::string domain = other ? kOtherDomain : kDomain;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      StartTarget(ServiceName(m_layout, shard), shard, domain);
    }
    StartTarget(SingleServiceName(m_layout), 0, domain);
  }
}

void Cluster::StopTarget(const Action& action) {
  TargetOf(action).child->Signal(SIGSTOP);
}

void Cluster::ContinueTarget(const Action& /*action*/) {
  // New targets change which target a subject selects, so the stopped one is
  // not known here; all targets are continued.
  for (const auto& target : m_targets) {
    target->child->Signal(SIGCONT);
  }
}

void Cluster::KillTarget(const Action& action) {
  Target& target = TargetOf(action);
  target.child->Signal(SIGKILL);
  if (!std::exchange(target.leaving, true) && !m_is_resharding) {
    StartTarget(target.service, target.shard, target.domain);
  }
}

void Cluster::DrainTarget(const Action& action) {
  Target& target = TargetOf(action);
  if (!std::exchange(target.leaving, true) && !m_is_resharding) {
    target.child->Signal(SIGTERM);
    StartTarget(target.service, target.shard, target.domain);
  }
}

void Cluster::LoseAnswers(const Action& action) {
  TargetOf(action).child->Signal(SIGUSR1);
}

void Cluster::AnswerAll(const Action& /*action*/) {
  for (const auto& target : m_targets) {
    target->child->Signal(SIGUSR2);
  }
}

void Cluster::Reshard(const Action& /*action*/) {
  if (std::exchange(m_is_resharding, true)) {
    return;
  }
  StartLayout();
  Schedule(kNewTargetsLeadTime, [this] {
    WriteConfig();
    Schedule(kOldTargetsDrainDelay, [this] { DrainOldTargets(); });
  });
}

void Cluster::DrainOldTargets() {
  const std::string current = "-" + std::to_string(m_layout);
  for (const auto& target : m_targets) {
    const bool is_current =
        target->service == SingleServiceName(m_layout) ||
        target->service.starts_with("shard" + current + "-");
    if (!is_current && !std::exchange(target->leaving, true)) {
      target->child->Signal(SIGTERM);
    }
  }
  m_is_resharding = false;
}

LoopbackProxy& Cluster::LinkOf(const Action& action) {
  if (action.link == Link::kTarget) {
    return *TargetOf(action).proxy;
  }
  Entry& entry = EntryOf(action);
  return action.link == Link::kStore ? *entry.store : *entry.callers;
}

void Cluster::InjectLinkFault(const Action& action) {
  const std::size_t instance = EntryOf(action).instance;
  if (action.link == Link::kStore) {
    BeginFaultPeriods(Cause("store link", instance), {instance},
                      FaultEffect::kPropagation);
  } else if (action.link == Link::kCallers) {
    BeginFaultPeriods(Cause("callers link", instance), {instance},
                      FaultEffect::kConnections);
  }
  LinkOf(action).SetMode(action.mode);
}

void Cluster::ClearLinkFault(const Action& action) {
  if (action.link == Link::kTarget) {
    for (const auto& target : m_targets) {
      target->proxy->SetMode(LinkMode::kPass);
    }
    return;
  }
  LinkOf(action).SetMode(LinkMode::kPass);
  const std::size_t instance = EntryOf(action).instance;
  EndFaultPeriods(
      Cause(action.link == Link::kStore ? "store link" : "callers link",
            instance),
      action.link == Link::kStore ? Duration::zero() : kContinueRecovery);
}

void Cluster::EndAllFaults() {
  EndEvacuation({});
  ClearStoreFault({});
  ClearLinkFault({{}, ActionKind::kClearLinkFault, 0, {}, Link::kTarget});
  ContinueTarget({});
  AnswerAll({});
  for (std::size_t index = 0; index < m_entries.size(); ++index) {
    const Action entry_action{{}, ActionKind::kStartEntry, index};
    ContinueEntry(entry_action);
    for (const Link link : {Link::kCallers, Link::kStore}) {
      ClearLinkFault({{}, ActionKind::kClearLinkFault, index, {}, link});
    }
    RestartEntry(entry_action);
  }
  m_calm_since = Now() + kRecovery;
}

History Cluster::Finish() {
  asio::post(m_loop, [this] { m_callers.Stop(); });
  std::this_thread::sleep_for(m_options.rolling ? kLastSlowCallsWait
                                                : kLastCallsWait);
  m_loop.stop();
  m_loop_thread.join();
  History history;
  history.calls = m_callers.calls();
  history.layouts = m_layouts;
  history.placements = m_placements;
  history.evacuations = m_evacuations;
  history.fault_periods = m_fault_periods;
  history.account_versions = m_account_versions;
  history.account_settings = m_account_settings;
  history.calm_since = m_calm_since;
  history.overdue_stops = m_overdue_stops;
  for (Entry& entry : m_entries) {
    RecordOutcome(entry);
    if (entry.child->IsRunning() &&
        m_open_periods.contains(Cause("killed", entry.instance))) {
      history.unheeded_stops.push_back(entry.name);
    }
  }
  history.entry_outcomes = m_entry_outcomes;
  ReadLog(history);
  return history;
}

void Cluster::ReadLog(History& history) const {
  std::ifstream file(WorkFilePath("runs.log"));
  for (std::string text; std::getline(file, text);) {
    const std::optional<RunLine> line = ParseRunLine(text);
    if (!line) {
      throw std::runtime_error("cannot parse the line of runs.log: " + text);
    }
    if (line->event == "run") {
      history.runs.push_back({line->request, line->target, line->at,
                              line->account, line->has_key});
    } else {
      history.departures.push_back({line->target, line->at});
    }
  }
}

}  // namespace jacinthdeck::soak
