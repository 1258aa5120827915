// Answers to readiness probes of the platform, to directory requests of
// callers, and to requests for metrics and status.
#include "jacinthdeck/entry/entry_node.h"

#include <string_view>

#include "jacinthdeck/discovery/directory_choice.h"
#include "jacinthdeck/entry/account_report.h"
#include "jacinthdeck/entry/evacuation_text.h"
#include "jacinthdeck/entry/node_metrics.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck {

namespace {

//! Maximum number of host addresses in one directory answer.
constexpr std::size_t kMaxDirectoryAddresses = 64;

[[nodiscard]] EdgeResponse EmptyResponse(int status) {
  EdgeResponse response;
  response.status = status;
  return response;
}

}  // namespace

EdgeResponse EntryNode::AnswerReady(const EdgeRequest& request) const {
  if (request.target != m_protocol.ready_path) {
    return EmptyResponse(http_status::kNotFound);
  }
  return EmptyResponse(IsReady() ? http_status::kOk
                                 : http_status::kUnavailable);
}

EdgeResponse EntryNode::AnswerDirectory(const EdgeRequest& request) const {
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  if (path != m_protocol.directory_path) {
    return EmptyResponse(http_status::kNotFound);
  }
  DirectoryRequest directory_request;
  directory_request.caller_domain =
      m_protocol.read_directory_call(request.target);
  directory_request.self = OwnRecord();
  // While no host that serves callers is known, this host lists itself, because
  // the answer would otherwise be empty.
  directory_request.self_accepts_callers =
      IsReady() && (m_is_front || m_fronts.empty());
  directory_request.target_domains = m_target_domains;
  directory_request.max_addresses = kMaxDirectoryAddresses;
  const std::vector<std::string> addresses =
      ChooseCallerAddresses(directory_request, m_fronts);
  if (addresses.empty()) {
    return EmptyResponse(http_status::kUnavailable);
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
  response.body =
      m_metrics.Render() +
      RenderNodeMetrics({m_forwarder, m_pool, m_callers_server, m_store, m_log,
                         IsReady(), DiscoveryAge(), m_reload_state});
  if (HasAccounts()) {
    const RateLimiterStatus limits = m_rate_limits.Snapshot(m_clock.Now());
    response.body += RenderAccountMetrics({m_gate.counters(), limits,
                                           m_rate_limits.counters(),
                                           m_rate_limits.traffic()});
  }
  return response;
}

std::string EntryNode::AnswerStatus() const {
  const DiscoveryState& discovery_state = m_store.discovery_state();
  LogLine status;
  status.Text("host", m_settings.name.raw())
      .Text("failure_domain", m_settings.domain.raw())
      .Flag("ready", IsReady())
      .Flag("stopping", m_stopping)
      .Text("settings", kReloadStateNames.Name(m_reload_state))
      .Flag("store_away", discovery_state.store_away())
      .Milliseconds("knowledge_age_ms", DiscoveryAge())
      .Count("store_era", EraNumber(m_store.position().era))
      .Milliseconds("store_era_for_ms",
                    m_clock.Now() - m_store.era_since().value_or(m_clock.Now()))
      .Count("newest_era", EraNumber(m_store.era()))
      .Count("store_revision", m_store.position().revision)
      .Count("config_version", discovery_state.config() == nullptr
                                   ? 0
                                   : discovery_state.config()->version())
      .Count("targets", discovery_state.target_count())
      .Raw("evacuated",
           EvacuationsText(discovery_state.Evacuations(), m_clock.Now()))
      .Count("hosts", discovery_state.Hosts().size())
      .Count("open_calls", m_forwarder.open_calls())
      .Count("caller_connections", m_callers_server.connections())
      .Count("target_connections", m_pool.connections());
  if (HasAccounts()) {
    const RateLimiterStatus limits = m_rate_limits.Snapshot(m_clock.Now());
    status.Raw("accounts", AccountsText({m_gate.counters(), limits,
                                         m_rate_limits.counters(),
                                         m_rate_limits.traffic()}));
  }
  return std::move(status).Finish();
}

bool EntryNode::HasAccounts() const {
  return m_forwarder.config() != nullptr &&
         !m_forwarder.config()->tenants()->empty();
}

bool EntryNode::IsReady() const {
  return !m_stopping && m_forwarder.config() != nullptr &&
         m_forwarder.targets().size() > 0;
}

}  // namespace jacinthdeck
