// Formats traces of calls and changes in discovery as JSON lines.
#include "jacinthdeck/entry/decision_log.h"

#include <array>
#include <map>
#include <utility>

#include "jacinthdeck/entry/evacuation_text.h"

namespace jacinthdeck {

namespace {

//! Maximum number of unreadable entries logged for one change, since one faulty
//! writer may own many keys.
constexpr std::size_t kMostUnreadable = 4;
//! Maximum number of attempts in the log line of a call.
constexpr std::size_t kMostAttempts = 24;

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
[[nodiscard]] std::string AttemptsText(const CallTrace& story) {
  std::string text = "[";
  std::size_t told = 0;
  for (const AttemptTrace& note : story.attempts) {
    const bool ended = note.took >= Duration::zero();
    const bool good = ended && note.outcome == AttemptOutcome::kResponse &&
                      note.reason == AttemptReason::kFirst && note.status < 300;
    if ((good && story.shards > 1) || told == kMostAttempts) {
      continue;
    }
    LogLine line;
    line.Count("shard", note.shard)
        .Text("target", note.target.raw())
        .Text("reason", kAttemptReasonNames.Name(note.reason))
        .Milliseconds("sent_ms", note.sent);
    if (ended) {
      line.Milliseconds("took_ms", note.took)
          .Text("outcome", kAttemptOutcomeNames.Name(note.outcome))
          .Count("status", note.status);
    } else {
      line.Text("outcome", "unanswered");
    }
    text += told++ == 0 ? "" : ",";
    text += std::move(line).Finish();
  }
  return text + "]";
}

}  // namespace

void DecisionLog::OnCallEnd(const EndedCall& call) {
  const LogEvent event = EventOf(call);
  if (!IsTold(event)) {
    return;
  }
  if (!m_log.HasRoom()) {
    m_log.Drop();
    return;
  }
  const CallTrace& story = call.story;
  LogLine line = m_log.Begin(event);
  line.Text("request", call.request_id)
      .Text("answer", kAnswerKindNames.Name(call.answer.kind))
      .Text("reason", kForwardReasonNames.Name(call.answer.reason))
      .Milliseconds("took_ms", call.took)
      .Milliseconds("knowledge_age_ms", call.knowledge_age)
      .Count("open_calls", call.open_calls);
  if (story.config != nullptr) {
    line.Count("config_version", story.config->version());
  }
  if (story.route != nullptr) {
    line.Text("route", story.route->name)
        .Hash("fingerprint", story.fingerprint.raw())
        .Milliseconds("expected_ms", story.expected)
        .Milliseconds("objective_ms", story.route->objective)
        .Milliseconds("usual_ms", story.route_latency.mean)
        .Count("usual_samples", story.route_latency.samples)
        .Count("shards", story.shards)
        .Count("full_shards", story.full_shards)
        .Count("shards_without_place", story.shards_without_capacity)
        .Count("fewest_targets", story.fewest_targets)
        .Count("answered", story.answered)
        .Count("sends", story.attempts.size())
        .Count("budget_refusals", story.budget_refusals);
  }
  if (!story.service.raw().empty()) {
    line.Text("service", story.service.raw());
  }
  if (call.answer.retry_after) {
    line.Milliseconds("retry_after_ms", *call.answer.retry_after);
  }
  line.Raw("missing_shards", NumbersText(story.missing));
  line.Raw("attempts", AttemptsText(story));
  m_log.Add(std::move(line));
}

void DecisionLog::OnAbandoned(const std::string& request_id, Duration after) {
  LogLine line = m_log.Begin(LogEvent::kCallAbandoned);
  line.Text("request", request_id).Milliseconds("after_ms", after);
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
  for (std::size_t i = 0; i < change.unreadable.size() && i < kMostUnreadable;
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
      .Raw("attempts", CountsText(traffic.calls.attempts))
      .Raw("attempts_other_domains",
           CountsText(traffic.calls.attempts_other_domains));
  m_log.Add(std::move(line));
}

void DecisionLog::OnFronts(const std::vector<HostRecord>& fronts) {
  std::map<FailureDomain, std::size_t> by_domain;
  for (const HostRecord& front : fronts) {
    ++by_domain[front.domain];
  }
  LogLine line = m_log.Begin(LogEvent::kFrontsChanged);
  line.Count("fronts", fronts.size())
      .Raw("fronts_by_domain", CountsText(by_domain));
  m_log.Add(std::move(line));
}

LogEvent DecisionLog::EventOf(const EndedCall& call) const {
  switch (call.answer.kind) {
    case AnswerKind::kNotRun:
    case AnswerKind::kNoRoute:
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
  const bool slow = call.story.route != nullptr &&
                    call.story.route->objective > Duration::zero() &&
                    call.took > call.story.route->objective;
  return slow ? LogEvent::kCallSlow : LogEvent::kCallDone;
}

bool DecisionLog::IsTold(LogEvent event) {
  return event != LogEvent::kCallDone || m_good++ % m_sample == 0;
}

}  // namespace jacinthdeck
