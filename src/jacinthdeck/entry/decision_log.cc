// Formats traces of calls and changes in discovery as JSON lines.
#include "jacinthdeck/entry/decision_log.h"

#include <array>
#include <map>
#include <set>
#include <utility>

#include "jacinthdeck/entry/evacuation_text.h"

namespace jacinthdeck {

namespace {

//! Maximum number of unreadable entries logged for one change, since one faulty
//! writer may own many keys.
constexpr std::size_t kMaxUnreadable = 4;
//! Maximum number of attempts in the log line of a call.
constexpr std::size_t kMaxAttempts = 24;

//! Formats numbers as a JSON array.
[[nodiscard]] std::string NumbersText(
    const std::vector<std::uint32_t>& numbers) {
  std::string text = "[";
  for (const std::uint32_t number : numbers) {
    text += text.size() > 1 ? "," : "";
    text += std::to_string(number);
  }
  return text + "]";
}

//! Formats counts by failure domain as a JSON object.
[[nodiscard]] std::string CountsText(
    const std::map<FailureDomain, std::size_t>& counts) {
  LogLine line;
  for (const auto& [domain, count] : counts) {
    line.Count(domain.raw(), count);
  }
  return std::move(line).Finish();
}

//! Formats failure domains as a JSON array.
[[nodiscard]] std::string DomainsText(const std::set<FailureDomain>& domains) {
  std::string text = "[";
  for (const FailureDomain& domain : domains) {
    text += text.size() > 1 ? "," : "";
    AppendQuoted(text, domain.raw());
  }
  return text + "]";
}

//! Formats counts by reason of an attempt as a JSON object.
[[nodiscard]] std::string CountsText(
    const std::array<std::uint64_t, 3>& by_reason) {
  LogLine line;
  for (std::size_t index = 0; index < by_reason.size(); ++index) {
    line.Count(kAttemptReasonNames.names[index], by_reason[index]);
  }
  return std::move(line).Finish();
}

//! Formats attempts as a JSON array. Successful first attempts of a fan-out are
//! left out, since there are as many of them as shards.
[[nodiscard]] std::string AttemptsText(const CallTrace& trace) {
  std::string text = "[";
  std::size_t written = 0;
  for (const AttemptTrace& attempt : trace.attempts) {
    const bool ended = attempt.took >= Duration::zero();
    const bool is_successful_first =
        ended && attempt.outcome == AttemptOutcome::kResponse &&
        attempt.reason == AttemptReason::kFirst && attempt.status < 300;
    if ((is_successful_first && trace.shards > 1) || written == kMaxAttempts) {
      continue;
    }
    LogLine line;
    line.Count("shard", attempt.shard)
        .Text("target", attempt.target.raw())
        .Text("reason", kAttemptReasonNames.Name(attempt.reason))
        .Milliseconds("sent_ms", attempt.sent);
    if (ended) {
      line.Milliseconds("took_ms", attempt.took)
          .Text("outcome", kAttemptOutcomeNames.Name(attempt.outcome))
          .Count("status", attempt.status);
    } else {
      line.Text("outcome", "unanswered");
    }
    text += written++ == 0 ? "" : ",";
    text += std::move(line).Finish();
  }
  return text + "]";
}

}  // namespace

void DecisionLog::OnCallEnd(const EndedCall& call) {
  const LogEvent event = EventOf(call);
  if (!ShouldLog(event)) {
    return;
  }
  if (!m_log.HasRoom()) {
    m_log.Drop();
    return;
  }
  const CallTrace& trace = call.trace;
  LogLine line = m_log.Begin(event);
  line.Text("request", call.request_id)
      .Text("answer", kAnswerKindNames.Name(call.answer.kind))
      .Text("reason", kForwardReasonNames.Name(call.answer.reason))
      .Milliseconds("took_ms", call.took)
      .Milliseconds("knowledge_age_ms", call.discovery_age)
      .Count("open_calls", call.open_calls);
  if (trace.config != nullptr) {
    line.Count("config_version", trace.config->version());
  }
  if (trace.route != nullptr) {
    line.Text("route", trace.route->name)
        .Hash("fingerprint", trace.fingerprint.raw())
        .Milliseconds("expected_ms", trace.expected)
        .Milliseconds("objective_ms", trace.route->objective)
        .Milliseconds("usual_ms", trace.route_latency.mean)
        .Count("usual_samples", trace.route_latency.samples)
        .Count("shards", trace.shards)
        .Count("full_shards", trace.full_shards)
        .Count("shards_without_place", trace.shards_without_capacity)
        .Count("fewest_targets", trace.fewest_targets)
        .Count("answered", trace.answered)
        .Count("sends", trace.attempts.size())
        .Count("budget_refusals", trace.budget_refusals);
  }
  if (trace.queue_place > 0) {
    line.Milliseconds("waited_ms", trace.waited)
        .Count("queue_place", trace.queue_place);
  }
  if (!trace.service.raw().empty()) {
    line.Text("service", trace.service.raw());
  }
  if (call.answer.retry_after) {
    line.Milliseconds("retry_after_ms", *call.answer.retry_after);
  }
  line.Raw("missing_shards", NumbersText(trace.missing));
  line.Raw("attempts", AttemptsText(trace));
  m_log.Add(std::move(line));
}

void DecisionLog::OnAbandoned(const std::string& request_id, Duration after) {
  LogLine line = m_log.Begin(LogEvent::kCallAbandoned);
  line.Text("request", request_id).Milliseconds("after_ms", after);
  m_log.Add(std::move(line));
}

void DecisionLog::OnCut(const std::string& request_id, Duration after) {
  LogLine line = m_log.Begin(LogEvent::kCallCut);
  line.Text("request", request_id).Milliseconds("after_ms", after);
  m_log.Add(std::move(line));
}

void DecisionLog::OnAttemptLost(const LostAttempt& lost) {
  if (!m_log.HasRoom()) {
    m_log.Drop();
    return;
  }
  LogLine line = m_log.Begin(LogEvent::kAttemptLost);
  line.Hash("fingerprint", lost.fingerprint.raw())
      .Count("attempt", lost.attempt.raw())
      .Text("target", lost.target.raw())
      .Text("service", lost.service.raw())
      .Milliseconds("took_ms", lost.took);
  m_log.Add(std::move(line));
}

void DecisionLog::OnReachabilityChange(const TargetEntry& target,
                                       bool reachable) {
  if (!m_log.HasRoom()) {
    m_log.Drop();
    return;
  }
  LogLine line = m_log.Begin(reachable ? LogEvent::kTargetReachable
                                       : LogEvent::kTargetUnreachable);
  line.Text("target", target.id.raw())
      .Text("service", target.service.raw())
      .Text("address", target.address)
      .Count("port", target.port);
  m_log.Add(std::move(line));
}

void DecisionLog::OnCrash(LogEvent event, const CrashEvidence& evidence) {
  LogLine line = m_log.Begin(event);
  line.Hash("fingerprint", evidence.fingerprint.raw())
      .Text("service", evidence.service.raw())
      .Text("target", evidence.target.raw())
      .Milliseconds("quarantined_ms", evidence.quarantined_for);
  m_log.Add(std::move(line));
}

void DecisionLog::OnSuspectCleared(const ClearingAnswer& answer) {
  LogLine line = m_log.Begin(LogEvent::kSuspectCleared);
  line.Hash("fingerprint", answer.fingerprint.raw())
      .Text("service", answer.service.raw())
      .Text("target", answer.target.raw())
      .Count("status", static_cast<std::uint64_t>(answer.status));
  m_log.Add(std::move(line));
}

void DecisionLog::OnCrashIgnored(const IgnoredCrash& crash) {
  LogLine line = m_log.Begin(LogEvent::kCrashIgnored);
  line.Hash("fingerprint", crash.fingerprint.raw())
      .Text("service", crash.service.raw())
      .Text("target", crash.target.raw())
      .Milliseconds("refuted_after_ms", crash.refuted_after);
  m_log.Add(std::move(line));
}

void DecisionLog::OnDiscoveryChange(const DiscoveryChange& change,
                                    const DiscoveryState& discovery_state,
                                    const StorePosition& position,
                                    Duration since_start,
                                    TimePoint now) {
  if (change.config) {
    LogLine line = m_log.Begin(LogEvent::kConfigApplied);
    line.Count("config_version", discovery_state.config()->version())
        .Count("routes", discovery_state.config()->routes().size())
        .Count("store_era", EraNumber(position.era))
        .Count("store_revision", position.revision)
        .Milliseconds("since_start_ms", since_start);
    m_log.Add(std::move(line));
  }
  if (change.targets) {
    LogLine line = m_log.Begin(LogEvent::kTargetsChanged);
    line.Count("targets", discovery_state.target_count())
        .Count("store_era", EraNumber(position.era))
        .Count("store_revision", position.revision)
        .Flag("store_away", discovery_state.store_away());
    m_log.Add(std::move(line));
  }
  if (change.evacuations) {
    LogLine line = m_log.Begin(LogEvent::kEvacuationsChanged);
    line.Raw("evacuated", EvacuationsText(discovery_state.Evacuations(), now))
        .Count("store_era", EraNumber(position.era))
        .Count("store_revision", position.revision)
        .Flag("store_away", discovery_state.store_away());
    m_log.Add(std::move(line));
  }
  if (change.hosts) {
    LogLine line = m_log.Begin(LogEvent::kHostsChanged);
    line.Count("hosts", discovery_state.Hosts().size())
        .Count("store_era", EraNumber(position.era))
        .Count("store_revision", position.revision)
        .Flag("store_away", discovery_state.store_away());
    m_log.Add(std::move(line));
  }
  for (std::size_t i = 0; i < change.unreadable.size() && i < kMaxUnreadable;
       ++i) {
    LogLine line = m_log.Begin(LogEvent::kEntryUnreadable);
    line.Text("entry", change.unreadable[i].subject)
        .Text("problem", change.unreadable[i].message)
        .Count("store_era", EraNumber(position.era))
        .Count("store_revision", position.revision);
    m_log.Add(std::move(line));
  }
}

void DecisionLog::OnTraffic(const HostTraffic& traffic) {
  LogLine line = m_log.Begin(LogEvent::kTraffic);
  line.Count("store_reads", traffic.store.reads)
      .Count("store_watches", traffic.store.watches)
      .Count("store_renewals", traffic.store.renewals)
      .Count("store_writes", traffic.store.writes)
      .Count("store_failures", traffic.store.failures)
      .Count("feed_bytes_own_domain", traffic.feed.own_domain)
      .Count("feed_bytes_other_domains", traffic.feed.other_domains)
      .Count("target_bytes_own_domain", traffic.targets.own_domain)
      .Count("target_bytes_other_domains", traffic.targets.other_domains)
      .Count("oversized_responses", traffic.oversized_responses)
      .Raw("attempts", CountsText(traffic.calls.attempts))
      .Raw("attempts_other_domains",
           CountsText(traffic.calls.attempts_other_domains));
  m_log.Add(std::move(line));
}

void DecisionLog::OnFronts(const std::vector<HostRecord>& fronts,
                           const std::set<FailureDomain>& target_domains) {
  std::map<FailureDomain, std::size_t> by_domain;
  for (const HostRecord& front : fronts) {
    ++by_domain[front.domain];
  }
  LogLine line = m_log.Begin(LogEvent::kFrontsChanged);
  line.Count("fronts", fronts.size())
      .Raw("fronts_by_domain", CountsText(by_domain))
      .Raw("target_domains", DomainsText(target_domains));
  m_log.Add(std::move(line));
}

LogEvent DecisionLog::EventOf(const EndedCall& call) const {
  switch (call.answer.kind) {
    case AnswerKind::kNotRun:
    case AnswerKind::kNoRoute:
    case AnswerKind::kUnauthorized:
    case AnswerKind::kOverLimit:
      return LogEvent::kCallRefused;
    case AnswerKind::kFailed:
    case AnswerKind::kTimedOut:
      return LogEvent::kCallFailed;
    case AnswerKind::kMerged:
      if (call.answer.missing_parts > 0) {
        return LogEvent::kCallPartial;
      }
      break;
    case AnswerKind::kResponse:
      if (!call.answer.response.succeeded()) {
        return LogEvent::kCallFailed;
      }
      break;
  }
  const bool slow = call.trace.route != nullptr &&
                    call.trace.route->objective > Duration::zero() &&
                    call.took > call.trace.route->objective;
  return slow ? LogEvent::kCallSlow : LogEvent::kCallDone;
}

bool DecisionLog::ShouldLog(LogEvent event) {
  return event != LogEvent::kCallDone || m_done_calls++ % m_sample == 0;
}

}  // namespace jacinthdeck
