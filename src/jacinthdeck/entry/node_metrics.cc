// Writes one line for each counter, gauge or label value.
#include "jacinthdeck/entry/node_metrics.h"

#include <sstream>

namespace jacinthdeck {

namespace {

void Line(std::ostringstream& out, std::string_view name, double value) {
  out << "jacinthdeck_" << name << ' ' << value << '\n';
}

//! Writes one line for each enumerator, with its name as the label value.
template <typename Names, typename Counts>
void Lines(std::ostringstream& out,
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
      return Outcome::kNotRun;
    case AnswerKind::kFailed:
    case AnswerKind::kTimedOut:
      break;
  }
  return Outcome::kUnknown;
}

}  // namespace

CallLabels LabelsOf(const ForwardAnswer& answer, const CallTrace& story) {
  CallLabels labels;
  if (story.route != nullptr) {
    labels.tenant = TenantId(story.route->host);
    labels.service = ServiceId(story.route->name);
  }
  labels.outcome = OutcomeOf(answer);
  return labels;
}

std::string RenderNodeMetrics(const NodeMetricsSource& source) {
  std::ostringstream out;
  const ForwardCounters& calls = source.forwarder.counters();
  Line(out, "calls_total", static_cast<double>(calls.calls));
  Line(out, "calls_abandoned_total", static_cast<double>(calls.abandoned));
  Line(out, "calls_open", static_cast<double>(source.forwarder.open_calls()));
  Lines(out, "attempts_total", "reason", kAttemptReasonNames, calls.attempts);
  Lines(out, "attempts_other_domains_total", "reason", kAttemptReasonNames,
        calls.attempts_other_domains);
  Lines(out, "attempt_ends_total", "outcome", kAttemptOutcomeNames,
        calls.outcomes);
  Line(out, "attempts_cancelled_total", static_cast<double>(calls.cancelled));
  Line(out, "budget_refusals_total",
       static_cast<double>(calls.budget_refusals));
  Line(out, "convictions_total", static_cast<double>(calls.quarantines));
  const PoolCounters& pool = source.pool.counters();
  Line(out, "target_connections",
       static_cast<double>(source.pool.connections()));
  Line(out, "target_connections_opened_total",
       static_cast<double>(pool.opened));
  Line(out, "target_open_failures_total",
       static_cast<double>(pool.open_failures));
  Line(out, "foreign_responses_total",
       static_cast<double>(pool.foreign_responses));
  Line(out, "connection_limit_refusals_total",
       static_cast<double>(pool.no_room));
  const EdgeCounters& edge = source.callers.counters();
  Line(out, "caller_connections",
       static_cast<double>(source.callers.connections()));
  Line(out, "caller_connections_total", static_cast<double>(edge.accepted));
  Line(out, "caller_requests_total", static_cast<double>(edge.requests));
  Line(out, "caller_rejects_total", static_cast<double>(edge.rejected));
  Line(out, "caller_over_limit_total", static_cast<double>(edge.over_limit));
  const StoreCounters& store = source.store.counters();
  Line(out, "store_reads_total", static_cast<double>(store.reads));
  Line(out, "store_watches_total", static_cast<double>(store.watches));
  Line(out, "store_renewals_total", static_cast<double>(store.renewals));
  Line(out, "store_writes_total", static_cast<double>(store.writes));
  Line(out, "store_failures_total", static_cast<double>(store.failures));
  const DiscoveryState& discovery_state = source.store.discovery_state();
  Line(out, "store_away", discovery_state.store_away() ? 1 : 0);
  const StorePosition& position = source.store.position();
  Line(out, "store_era", static_cast<double>(EraNumber(position.era)));
  Line(out, "store_revision", static_cast<double>(position.revision));
  Line(out, "knowledge_age_ms", ToMilliseconds(source.knowledge_age));
  Line(out, "config_version",
       discovery_state.config() == nullptr
           ? 0
           : static_cast<double>(discovery_state.config()->version()));
  Line(out, "targets", static_cast<double>(discovery_state.target_count()));
  Line(out, "domains_evacuated",
       static_cast<double>(discovery_state.Evacuations().size()));
  Line(out, "hosts", static_cast<double>(discovery_state.Hosts().size()));
  Line(out, "ready", source.ready ? 1 : 0);
  Line(out, "log_lines_dropped_total",
       static_cast<double>(source.log.dropped()));
  return out.str();
}

}  // namespace jacinthdeck
