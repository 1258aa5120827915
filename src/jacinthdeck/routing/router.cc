// Maintains the targets, charges the budgets and records the results of
// attempts.
#include "jacinthdeck/routing/router.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

Router::Router(std::uint64_t seed) : Router(seed, RouterOptions()) {}

Router::Router(std::uint64_t seed, RouterOptions options)
    : m_options(std::move(options)),
      m_random(seed),
      m_host_count(m_options.host_count_window, m_options.expected_hosts) {}

Duration Router::HedgeDelay(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end()
             ? m_options.hedging->Delay(LatencyHistogram())
             : found->second.hedge_delay();
}

const TargetInfo* Router::FindTarget(const TargetId& target) const {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? nullptr : &found->second.info();
}

bool Router::IsAvailable(const TargetId& target, TimePoint now) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() &&
         found->second.Rank(now) < TargetRank::kEjected;
}

bool Router::IsSaturated(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && found->second.saturated();
}

std::vector<TargetSnapshot> Router::Snapshot(TimePoint now) {
  std::vector<TargetSnapshot> snapshots;
  snapshots.reserve(m_targets.size());
  for (const auto& [id, target] : m_targets) {
    const TargetInfo& info = target.info();
    const std::uint32_t share = ConnectionShareOf(info, now);
    snapshots.push_back(TargetSnapshot{
        id, info.service, info.domain, info.state, target.health().State(now),
        target.IsDraining(now), target.in_flight(), target.window().Size(share),
        share, target.latency(), target.health().failure_rate(),
        target.health().slow_rate()});
  }
  std::ranges::sort(snapshots, {}, &TargetSnapshot::id);
  return snapshots;
}

std::uint32_t Router::ConnectionLimit(const TargetId& target, TimePoint now) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() ||
      found->second.info().state != TargetState::kLive) {
    return 0;
  }
  return ConnectionShareOf(found->second.info(), now);
}

ConnectionPlan Router::ConnectionPlanFor(const TargetId& target,
                                         TimePoint now) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) {
    return {};
  }
  const TargetInfo& info = found->second.info();
  return PlanConnections(info, ConnectionShareOf(info, now),
                         m_host_count.Highest(now), m_random);
}

void Router::SetTargets(const std::vector<TargetInfo>& targets, TimePoint now) {
  m_first_event = m_first_event.value_or(now);
  for (auto& [id, target] : m_targets) {
    target.SetGone();
  }
  for (const TargetInfo& info : targets) {
    const auto [found, added] =
        m_targets.try_emplace(info.id, info, FindOrAddService(info.service));
    if (!added) {
      found->second.set_info(info);
    }
  }
  std::erase_if(m_targets, [](const auto& item) {
    const TargetRecord& target = item.second;
    return target.info().state == TargetState::kGone && target.in_flight() == 0;
  });
}

void Router::SetHostCount(std::uint32_t hosts, TimePoint now) {
  m_first_event = m_first_event.value_or(now);
  m_host_count.Add(std::max<std::uint32_t>(hosts, 1), now);
}

std::variant<TargetId, RouteRefusal> Router::Choose(const RouteRequest& request,
                                                    TimePoint now) {
  CollectCandidates(request, now);
  if (m_candidates.empty()) {
    return CountRefusal(RouteRefusal::kNoReplica);
  }
  ServiceRecord& service = FindOrAddService(request.service);
  const bool failover = IsFailover(request, now);
  if (request.kind == AttemptKind::kHedge && !failover && service.saturated()) {
    ++m_counters.refused_saturated;
    return RouteRefusal::kNoBudget;
  }
  const auto picked = Pick(request, now);
  if (const auto* refusal = std::get_if<RouteRefusal>(&picked)) {
    return CountRefusal(*refusal);
  }
  // Without a failover, an attempt at a lost target would last until the call's
  // deadline. Ejection bounds the number of such attempts, so a failover is
  // charged to the retry budget.
  if (!ChargeBudget(failover ? AttemptKind::kRetry : request.kind, service)) {
    return CountRefusal(RouteRefusal::kNoBudget);
  }
  TargetRecord& target = *std::get<TargetRecord*>(picked);
  if (target.health().MayProbe(now)) {
    target.health().OnProbe();
    ++m_counters.probes;
  }
  target.OnSend(now);
  CountAttempt(request.kind);
  return target.info().id;
}

void Router::Finish(const AttemptResult& result, TimePoint now) {
  const auto found = m_targets.find(result.target);
  if (found == m_targets.end() || found->second.in_flight() == 0) {
    return;
  }
  TargetRecord& target = found->second;
  target.OnEnd(now);
  if (result.reported_load) {
    target.OnReportedLoad(*result.reported_load, now);
  }
  const HealthSample sample = RecordResult(result, target, now);
  const bool ejected =
      m_options.eject_outliers &&
      target.health().OnEnd(sample, target.IsSlow(), now, m_random);
  m_counters.ejections += ejected ? 1 : 0;
  if (target.info().state == TargetState::kGone && target.in_flight() == 0) {
    m_targets.erase(found);
  }
}

HealthSample Router::RecordResult(const AttemptResult& result,
                                  TargetRecord& target,
                                  TimePoint now) {
  ServiceRecord& service = target.service();
  const bool late = result.latency > service.late_after();
  switch (result.status) {
    case AttemptStatus::kAnswered:
      if (result.kind == AttemptKind::kHedge) {
        ++m_counters.hedges_won;
        service.hedge_budget().Refund(m_options.hedge_refund);
      }
      service.AddShedSample(false);
      service.OnAnswer(result.latency, *m_options.hedging);
      target.OnAnswer(result.latency, ConnectionShareOf(target.info(), now),
                      now);
      return late ? HealthSample::kSlow : HealthSample::kGood;
    case AttemptStatus::kShed:
      if (result.draining) {
        ++m_counters.drains;
        target.OnDraining(now);
        return HealthSample::kNone;
      }
      ++m_counters.sheds;
      service.AddShedSample(true);
      target.OnShed(now);
      return HealthSample::kNone;
    case AttemptStatus::kCancelled:
      // A cancelled attempt says something about the target only if it was
      // already late; a shorter one only shows that its call ended.
      if (!late) {
        return HealthSample::kNone;
      }
      service.OnOverdue(result.latency, *m_options.hedging);
      target.OnOverdue(result.latency);
      // Several late attempts in a row without a reply mean that the target is
      // unresponsive; a single one is most often a straggler.
      return target.OnUnanswered(now - result.latency, now) > 1
                 ? HealthSample::kFailed
                 : HealthSample::kSlow;
    case AttemptStatus::kNotSent:
    case AttemptStatus::kLost:
    case AttemptStatus::kTimedOut:
    case AttemptStatus::kFailed:
      return HealthSample::kFailed;
    case AttemptStatus::kVersionGone:
    case AttemptStatus::kWrongRange:
      return HealthSample::kNone;
  }
  return HealthSample::kNone;
}

ServiceRecord& Router::FindOrAddService(const ServiceId& service) {
  return m_services
      .try_emplace(service,
                   TokenBudget(m_options.hedge_ratio, m_options.hedge_burst),
                   TokenBudget(m_options.retry_ratio, m_options.retry_burst),
                   *m_options.hedging)
      .first->second;
}

std::uint32_t Router::ConnectionShareOf(const TargetInfo& info, TimePoint now) {
  if (m_first_event && now - *m_first_event < m_options.startup_hold) {
    return 1;
  }
  return ConnectionShare(info.connections, m_host_count.Highest(now));
}

RouteRefusal Router::CountRefusal(RouteRefusal refusal) noexcept {
  switch (refusal) {
    case RouteRefusal::kNoReplica:
      ++m_counters.refused_no_replica;
      break;
    case RouteRefusal::kAtLimit:
      ++m_counters.refused_at_limit;
      break;
    case RouteRefusal::kNoBudget:
      ++m_counters.refused_no_budget;
      break;
  }
  return refusal;
}

bool Router::ChargeBudget(AttemptKind kind, ServiceRecord& service) {
  switch (kind) {
    case AttemptKind::kFirst:
      service.hedge_budget().Earn();
      service.retry_budget().Earn();
      return true;
    case AttemptKind::kRetry:
      return service.retry_budget().TrySpend();
    case AttemptKind::kHedge:
      return service.hedge_budget().TrySpend();
  }
  return false;
}

void Router::CountAttempt(AttemptKind kind) noexcept {
  switch (kind) {
    case AttemptKind::kFirst:
      ++m_counters.first_attempts;
      break;
    case AttemptKind::kRetry:
      ++m_counters.retries;
      break;
    case AttemptKind::kHedge:
      ++m_counters.hedges;
      break;
  }
}

}  // namespace jacinthdeck
