// Writes one line for each counter, gauge or label value.
#include "jacinthdeck/entry/node_metrics.h"

#include <sstream>

namespace jacinthdeck {

namespace {

void WriteMetric(std::ostringstream& out, std::string_view name, double value) {
  out << "jacinthdeck_" << name << ' ' << value << '\n';
}

//! Writes one line for each enumerator, with its name as the label value.
template <typename Names, typename Counts>
void WriteLabeledMetrics(std::ostringstream& out,
                         std::string_view name,
                         std::string_view label,
                         const Names& names,
                         const Counts& counts) {
  for (std::size_t index = 0; index < counts.size(); ++index) {
    out << "jacinthdeck_" << name << '{' << label << "=\"" << names.names[index]
        << "\"} " << counts[index] << '\n';
  }
}

[[nodiscard]] Outcome OutcomeOf(const ForwardAnswer& answer) {
  switch (answer.kind) {
    case AnswerKind::kResponse:
      return answer.response.succeeded() ? Outcome::kWhole : Outcome::kUnknown;
    case AnswerKind::kMerged:
      return answer.missing_parts == 0 ? Outcome::kWhole : Outcome::kPartial;
    case AnswerKind::kNotRun:
    case AnswerKind::kNoRoute:
    case AnswerKind::kUnauthorized:
    case AnswerKind::kOverLimit:
      return Outcome::kNotRun;
    case AnswerKind::kFailed:
    case AnswerKind::kTimedOut:
      break;
  }
  return Outcome::kUnknown;
}

}  // namespace

CallLabels LabelsOf(const ForwardAnswer& answer, const CallTrace& trace) {
  CallLabels labels;
  if (trace.route != nullptr) {
    labels.tenant = TenantId(trace.route->host);
    labels.service = ServiceId(trace.route->name);
  }
  labels.outcome = OutcomeOf(answer);
  return labels;
}

std::string RenderNodeMetrics(const NodeMetricsSource& source) {
  std::ostringstream out;
  const ForwardCounters& calls = source.forwarder.counters();
  WriteMetric(out, "calls_total", static_cast<double>(calls.calls));
  WriteMetric(out, "calls_abandoned_total",
              static_cast<double>(calls.abandoned));
  WriteMetric(out, "calls_open",
              static_cast<double>(source.forwarder.open_calls()));
  WriteMetric(out, "calls_waiting",
              static_cast<double>(source.forwarder.waiting_calls()));
  WriteMetric(out, "calls_started_after_wait_total",
              static_cast<double>(calls.started_after_wait));
  WriteLabeledMetrics(out, "calls_shed_total", "reason", kShedReasonNames,
                      calls.shed);
  WriteMetric(out, "calls_without_memory_total",
              static_cast<double>(calls.refused_for_memory));
  WriteLabeledMetrics(out, "attempts_total", "reason", kAttemptReasonNames,
                      calls.attempts);
  WriteLabeledMetrics(out, "attempts_other_domains_total", "reason",
                      kAttemptReasonNames, calls.attempts_other_domains);
  WriteLabeledMetrics(out, "attempt_ends_total", "outcome",
                      kAttemptOutcomeNames, calls.outcomes);
  WriteMetric(out, "attempts_cancelled_total",
              static_cast<double>(calls.cancelled));
  WriteMetric(out, "budget_refusals_total",
              static_cast<double>(calls.budget_refusals));
  WriteMetric(out, "attempts_lost_during_call_total",
              static_cast<double>(calls.lost_during_call));
  WriteMetric(out, "attempts_lost_after_call_total",
              static_cast<double>(calls.lost_after_call));
  WriteMetric(out, "targets_unreachable",
              static_cast<double>(source.forwarder.unreachable_targets()));
  WriteMetric(out, "targets_became_unreachable_total",
              static_cast<double>(calls.became_unreachable));
  WriteMetric(out, "targets_became_reachable_total",
              static_cast<double>(calls.became_reachable));
  WriteMetric(out, "target_probes_total",
              static_cast<double>(calls.target_probes));
  WriteMetric(out, "canaries_total", static_cast<double>(calls.canaries));
  WriteMetric(out, "suspects_total", static_cast<double>(calls.suspects));
  WriteMetric(out, "suspects_cleared_total",
              static_cast<double>(calls.suspects_cleared));
  WriteMetric(out, "crashes_ignored_total",
              static_cast<double>(calls.crashes_ignored));
  WriteMetric(out, "convictions_total", static_cast<double>(calls.quarantines));
  const PoolCounters& pool = source.pool.counters();
  WriteMetric(out, "target_connections",
              static_cast<double>(source.pool.connections()));
  WriteMetric(out, "target_connections_opened_total",
              static_cast<double>(pool.opened));
  WriteMetric(out, "target_open_failures_total",
              static_cast<double>(pool.open_failures));
  WriteMetric(out, "foreign_responses_total",
              static_cast<double>(pool.foreign_responses));
  WriteMetric(out, "oversized_responses_total",
              static_cast<double>(pool.oversized_responses));
  WriteMetric(out, "unfinished_response_bytes",
              static_cast<double>(source.pool.unfinished_bytes()));
  WriteMetric(out, "connection_limit_refusals_total",
              static_cast<double>(pool.limit_refusals));
  const EdgeCounters& edge = source.callers.counters();
  WriteMetric(out, "caller_connections",
              static_cast<double>(source.callers.connections()));
  WriteMetric(out, "caller_connections_total",
              static_cast<double>(edge.accepted));
  WriteMetric(out, "caller_requests_total", static_cast<double>(edge.requests));
  WriteMetric(out, "caller_rejects_total", static_cast<double>(edge.rejected));
  WriteMetric(out, "caller_over_limit_total",
              static_cast<double>(edge.over_limit));
  WriteMetric(out, "caller_displaced_total",
              static_cast<double>(edge.displaced));
  WriteMetric(out, "caller_without_memory_total",
              static_cast<double>(edge.without_memory));
  WriteMetric(out, "caller_responses_dropped_total",
              static_cast<double>(edge.responses_dropped));
  const StoreCounters& store = source.store.counters();
  WriteMetric(out, "store_reads_total", static_cast<double>(store.reads));
  WriteMetric(out, "store_watches_total", static_cast<double>(store.watches));
  WriteMetric(out, "store_renewals_total", static_cast<double>(store.renewals));
  WriteMetric(out, "store_writes_total", static_cast<double>(store.writes));
  WriteMetric(out, "store_failures_total", static_cast<double>(store.failures));
  const DiscoveryState& discovery_state = source.store.discovery_state();
  WriteMetric(out, "store_away", discovery_state.store_away() ? 1 : 0);
  const StorePosition& position = source.store.position();
  WriteMetric(out, "store_era", static_cast<double>(EraNumber(position.era)));
  WriteMetric(out, "store_revision", static_cast<double>(position.revision));
  WriteMetric(out, "knowledge_age_ms", ToMilliseconds(source.discovery_age));
  WriteMetric(out, "config_version",
              discovery_state.config() == nullptr
                  ? 0
                  : static_cast<double>(discovery_state.config()->version()));
  WriteMetric(out, "targets",
              static_cast<double>(discovery_state.target_count()));
  WriteMetric(out, "domains_evacuated",
              static_cast<double>(discovery_state.Evacuations().size()));
  WriteMetric(out, "hosts",
              static_cast<double>(discovery_state.Hosts().size()));
  WriteMetric(out, "ready", source.ready ? 1 : 0);
  WriteMetric(out, "settings_rejected",
              source.reload_state == ReloadState::kRejected ? 1 : 0);
  WriteMetric(out, "settings_need_restart",
              source.reload_state == ReloadState::kNeedsRestart ? 1 : 0);
  WriteMetric(out, "log_lines_dropped_total",
              static_cast<double>(source.log.dropped()));
  return out.str();
}

}  // namespace jacinthdeck
