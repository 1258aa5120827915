// Applies discovery changes to the host's components and publishes the host's
// own record.
#include "jacinthdeck/entry/entry_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jacinthdeck/discovery/fleet.h"
#include "jacinthdeck/discovery/target_domains.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Lease of the record of a host that serves callers. Callers are sent to a
//! dead host for at most this long.
constexpr Duration kFrontLease = milliseconds(3500);
//! Lease of the record of a host that no callers are sent to.
constexpr Duration kStandbyLease = milliseconds(9000);

//! Returns whether typed calls avoid a target. They do not count the requests
//! that it gets from all hosts, so a target whose service limits the rate of
//! cold targets gets no typed calls while it is cold.
[[nodiscard]] bool IsAvoided(const TargetEntry& entry,
                             const DiscoveryState& discovery_state,
                             TimePoint now) {
  const bool limits_cold_rate =
      discovery_state.config() != nullptr &&
      discovery_state.config()->ColdRate(entry.service) > 0;
  return !entry.AcceptsRequests() || (limits_cold_rate && entry.IsCold(now));
}

//! Converts the targets of the discovery state for the typed calls.
[[nodiscard]] std::vector<TargetInfo> TargetInfosOf(
    const DiscoveryState& discovery_state,
    TimePoint now) {
  std::vector<TargetInfo> infos;
  for (const TargetEntry& entry : discovery_state.Targets()) {
    TargetInfo info;
    info.id = entry.id;
    info.service = entry.service;
    info.domain = entry.domain;
    info.address = entry.address;
    info.port = entry.port;
    info.state = IsAvoided(entry, discovery_state, now) ? TargetState::kLeaving
                                                        : TargetState::kLive;
    info.slots = entry.slots;
    info.connections =
        discovery_state.config() == nullptr
            ? entry.slots
            : std::max(
                  discovery_state.config()->TargetConnections(entry.service),
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

void EntryNode::OnDiscoveryChange(const DiscoveryChange& change,
                                  const StorePosition& position) {
  const TimePoint now = m_clock.Now();
  const DiscoveryState& discovery_state = m_store.discovery_state();
  const bool new_config =
      change.config && m_forwarder.SetConfig(discovery_state.config());
  if (new_config) {
    const EdgeLimits limits = EdgeLimitsOf(discovery_state.config()->limits());
    m_callers_server.SetLimits(limits);
    m_caller_memory.Fit(limits);
  }
  std::vector<TargetEntry> targets;
  if (change.targets || change.config) {
    targets = discovery_state.Targets();
  }
  if (change.targets) {
    m_forwarder.SetTargets(targets, now);
    m_pool.Retain(targets);
  }
  const bool domains_changed =
      (change.targets || change.config) && UpdateTargetDomains(targets);
  if (change.hosts || change.config || domains_changed) {
    UpdateHosts(now);
  }
  if (new_config) {
    // After the targets, since calls that wait may be submitted.
    m_gate.SetConfig(discovery_state.config(), now);
  }
  for (const SharedCrash& suspect : change.suspects) {
    m_forwarder.AddSuspect(suspect.fingerprint, suspect.service, now);
    m_typed_service.calls().AddPeerSuspect(suspect.fingerprint, now);
  }
  for (const SharedCrash& crash : change.quarantines) {
    m_forwarder.QuarantineRequest(crash.fingerprint, crash.service, now);
    m_typed_service.calls().AddPeerQuarantine(crash.fingerprint, now);
  }
  UpdateRecordWriter(now);
  UpdateTypedCalls(change, now);
  m_decisions.OnDiscoveryChange(change, discovery_state, position,
                                now - m_started, now);
  LogReadiness();
  ArmDecisionTimer();
}

void EntryNode::OnContent(const std::vector<StoreChange>& changes,
                          const StorePosition& position,
                          bool whole) {
  m_feed_hub.OnContent(changes, position, whole);
}

void EntryNode::OnStoreRestored(StoreEra before,
                                StoreEra era,
                                const StorePosition& known) {
  LogLine line = m_log.Begin(LogEvent::kStoreRestored);
  line.Count("store_era", EraNumber(era))
      .Count("era_before", EraNumber(before))
      .Count("known_revision", known.revision);
  m_log.Add(std::move(line));
}

void EntryNode::OnFeedOpened(const Endpoint& feeder) {
  LogLine line = m_log.Begin(LogEvent::kFeedOpened);
  line.Text("feeder", feeder.ToString());
  m_log.Add(std::move(line));
}

void EntryNode::OnFeedEnded(const std::string& problem) {
  LogLine line = m_log.Begin(LogEvent::kFeedEnded);
  line.Text("problem", problem)
      .Count("store_revision", m_store.position().revision)
      .Milliseconds("knowledge_age_ms", DiscoveryAge());
  m_log.Add(std::move(line));
}

bool EntryNode::UpdateTargetDomains(std::span<const TargetEntry> targets) {
  const auto& config = m_store.discovery_state().config();
  if (config == nullptr) {
    return false;
  }
  std::set<FailureDomain> domains = DomainsWithTargets(*config, targets);
  if (domains == m_target_domains) {
    return false;
  }
  m_target_domains = std::move(domains);
  return true;
}

void EntryNode::UpdateHosts(TimePoint now) {
  const std::vector<HostRecord> hosts = m_store.discovery_state().Hosts();
  m_feed_hub.OnHosts(hosts);
  const std::shared_ptr<const RoutingConfig>& config =
      m_store.discovery_state().config();
  std::vector<HostRecord> fronts = ChooseFronts(
      hosts, config == nullptr ? 0 : config->MinTargetConnections(),
      m_target_domains);
  const bool same_fronts = std::ranges::equal(
      fronts, m_fronts, {}, &HostRecord::name, &HostRecord::name);
  m_fronts = std::move(fronts);
  if (!same_fronts) {
    m_decisions.OnFronts(m_fronts, m_target_domains);
    std::vector<HostId> names;
    std::ranges::transform(m_fronts, std::back_inserter(names),
                           &HostRecord::name);
    m_forwarder.SetHostNames(names);
  }
  m_front_count.Add(static_cast<std::uint32_t>(m_fronts.size()), now);
  m_is_front = std::ranges::find(m_fronts, m_settings.name,
                                 &HostRecord::name) != m_fronts.end();
  m_rate_limits.SetAddresses(hosts, now);
  UpdateSharers(now);
  // A host that serves callers gets a short lease, so that the directory stops
  // listing it soon after it dies. For the other hosts only the number of calls
  // to the store matters.
  const bool small_fleet = hosts.size() <= kSmallFleetSize;
  m_store.SetLeaseDuration(m_is_front || small_fleet ? kFrontLease
                                                     : kStandbyLease);
  m_feed_hub.SetServesCallers(m_is_front || small_fleet);
}

void EntryNode::UpdateSharers(TimePoint now) {
  const std::uint32_t sharers = m_front_count.Highest(now);
  // Callers still come after the record of a stopping host is removed.
  m_forwarder.SetHosts(sharers, m_is_front || m_stopping, now);
  m_rate_limits.SetHosts(m_fronts, sharers, m_is_front, now);
}

void EntryNode::UpdateRecordWriter(TimePoint now) {
  if (m_stopping) {
    return;
  }
  const FleetRole role{
      .knows_hosts = m_store.position().revision > 0,
      .hosts = m_store.discovery_state().host_count(),
      .is_front = m_is_front,
      .feeds_others = m_feed_hub.is_watcher() || m_feed_hub.followers() > 0,
      .has_feeder = m_feed_hub.IsLinked()};
  if (m_record_writer.Update(role, now)) {
    LogLine line = m_log.Begin(LogEvent::kRecordWriter);
    line.Text("writer", kRecordWriterNames.Name(m_record_writer.writer()))
        .Count("hosts", role.hosts);
    m_log.Add(std::move(line));
    PublishRecord();
  }
}

void EntryNode::PublishRecord() {
  const HostRecord record = OwnRecord();
  switch (m_record_writer.writer()) {
    case RecordWriter::kNobody:
      break;
    case RecordWriter::kSelf:
      m_feed_hub.SetRecord({});
      m_store.Register(record);
      break;
    case RecordWriter::kFeeder:
      m_store.DelegateRecord();
      m_feed_hub.SetRecord(m_store.EncodeRecord(record));
      break;
  }
}

void EntryNode::UpdateTypedCalls(const DiscoveryChange& change, TimePoint now) {
  if (m_settings.queries.address.empty()) {
    return;
  }
  TypedCallRunner& calls = m_typed_service.calls();
  const DiscoveryState& discovery_state = m_store.discovery_state();
  const auto log_result = [&](const std::string& subject, const auto& result) {
    const auto* error = std::get_if<Error>(&result);
    LogLine line = m_log.Begin(error == nullptr ? LogEvent::kSchemaApplied
                                                : LogEvent::kEntryUnreadable);
    line.Text("entry", subject);
    if (error != nullptr) {
      line.Text("problem", error->subject + " " + error->message);
    }
    m_log.Add(std::move(line));
  };
  if (change.schema) {
    log_result("schema", Capture([&]() -> Result<bool> {
                 BOOST_LEAF_CHECK(calls.SetSchema(discovery_state.schema()));
                 return true;
               }));
  }
  for (const ServiceId& service : change.indexes) {
    log_result(service.raw(), Capture([&]() -> Result<bool> {
                 BOOST_LEAF_CHECK(
                     calls.SetIndex(service, discovery_state.IndexOf(service)));
                 return true;
               }));
  }
  if (change.targets || change.config) {
    calls.SetTargets(TargetInfosOf(discovery_state, now), now);
  }
  if (change.hosts) {
    calls.SetHostCount(m_front_count.Highest(now), now);
  }
}

void EntryNode::OnStoreRead(const FullRead& reading) {
  LogLine line = m_log.Begin(LogEvent::kStoreRead);
  line.Count("store_era", EraNumber(reading.position.era))
      .Count("store_revision", reading.position.revision)
      .Count("known_era", EraNumber(reading.known.era))
      .Count("known_revision", reading.known.revision)
      .Count("items", reading.items)
      .Count("outdated", reading.outdated);
  m_log.Add(std::move(line));
}

void EntryNode::OnStoreLost(StoreStatus status, const std::string& problem) {
  LogLine line = m_log.Begin(LogEvent::kStoreLost);
  line.Text("status", kStoreStatusNames.Name(status))
      .Text("problem", problem)
      .Count("store_revision", m_store.position().revision);
  m_log.Add(std::move(line));
}

void EntryNode::OnStoreRegained() {
  LogLine line = m_log.Begin(LogEvent::kStoreRegained);
  line.Count("store_revision", m_store.position().revision);
  m_log.Add(std::move(line));
}

void EntryNode::OnRegistration(StoreStatus status) {
  const bool ok = status == StoreStatus::kOk;
  LogLine line =
      m_log.Begin(ok ? LogEvent::kRegistered : LogEvent::kRegistrationFailed);
  line.Text("status", kStoreStatusNames.Name(status));
  m_log.Add(std::move(line));
}

HostRecord EntryNode::OwnRecord() const {
  const auto address = [](const Endpoint& configured, std::uint16_t port) {
    return configured.address.empty()
               ? std::string()
               : Endpoint{configured.address, port}.ToString();
  };
  HostRecord record = ConfiguredRecord();
  record.callers = address(m_settings.callers, m_callers_server.port());
  record.queries = address(m_settings.queries, m_queries_server.port());
  record.peers = address(m_settings.peers, m_feed_hub.port());
  record.rate_limits =
      address(m_settings.rate_limits.listen, m_rate_limits.port());
  record.busy = m_loop_lag.busy();
  return record;
}

HostRecord EntryNode::ConfiguredRecord() const {
  constexpr double kThousandths = 1000;
  HostRecord record;
  record.name = m_settings.name;
  record.domain = m_settings.domain;
  if (!m_settings.peers.address.empty()) {
    record.peers = m_settings.peers.ToString();
  }
  record.cpu_millicores = static_cast<std::uint32_t>(
      kThousandths * m_settings.cpu_share * m_settings.cores);
  record.started_ms = m_started_ms;
  return record;
}

Duration EntryNode::DiscoveryAge() const {
  const auto last_contact_at = m_store.last_contact();
  return m_clock.Now() - last_contact_at.value_or(m_started);
}

}  // namespace jacinthdeck
