// Events of a scenario, and the promises.
#include "scenario/world.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck::scenario {

namespace {

using std::chrono::seconds;

[[nodiscard]] ForwardOptions Options() {
  ForwardOptions options;
  options.domain = FailureDomain("fd-a");
  options.budget = {0.2, 50, seconds(10)};
  return options;
}

//! Latencies vary by this part, by the seed.
constexpr double kSpread = 0.4;

}  // namespace

World::World(std::uint64_t seed)
    : m_random(seed),
      m_forwarder(Options(), *this, m_random.DrawSeed(), m_clock.Now()) {
  // Past the time in which a fresh budget grows.
  m_clock.Advance(seconds(20));
}

void World::PutConfig(const std::string& json) {
  Take({"op/config", {StoreEra{}, ++m_revision}, json});
}

void World::PutTarget(const std::string& id, const std::string& json) {
  Take({"servers/" + id, {StoreEra{}, ++m_revision}, json});
}

void World::RemoveTarget(const std::string& id) {
  Take({"servers/" + id, {StoreEra{}, ++m_revision}, std::nullopt});
}

void World::StoreBack() {
  Act(m_discovery_state.OnChanges({}, m_clock.Now()));
}

void World::Behave(const std::string& id, const Behaviour& behaviour) {
  m_behaviours[id] = behaviour;
}

Behaviour World::BehaviourOf(const std::string& id) const {
  const auto found = m_behaviours.find(id);
  return found == m_behaviours.end() ? Behaviour{} : found->second;
}

std::uint64_t World::Submit(const std::string& path,
                            bool once,
                            Duration patience) {
  const std::uint64_t number = m_next_call++;
  auto request = std::make_shared<OpaqueRequest>();
  request->method = once ? "POST" : "GET";
  request->host = "desk";
  request->target = path;
  request->request_id = std::to_string(number);
  m_calls[number].once = once;
  ForwardCall call;
  call.id = CallId(number);
  call.request = std::move(request);
  call.arrived = m_clock.Now();
  call.deadline = m_clock.Now() + patience;
  m_forwarder.Submit(std::move(call), m_clock.Now());
  return number;
}

void World::Leave(std::uint64_t call) {
  m_forwarder.Abandon(CallId(call), m_clock.Now());
}

void World::Advance(Duration time) {
  const TimePoint end = m_clock.Now() + time;
  while (m_clock.Now() < end) {
    TimePoint next = end;
    if (!m_due.empty()) {
      next = std::min(next, m_due.begin()->first);
    }
    next = std::min(next, m_forwarder.NextTimer().value_or(next));
    next = std::min(next, m_discovery_state.NextTimer().value_or(next));
    // At least a step, so that what is due now is not looked at for ever.
    m_clock.Advance(std::max(next - m_clock.Now(), Duration(1)));
    while (!m_due.empty() && m_due.begin()->first <= m_clock.Now()) {
      Due due = std::move(m_due.begin()->second);
      m_due.erase(m_due.begin());
      if (!m_cancelled.contains(due.end.id.raw())) {
        m_forwarder.OnAttemptEnd(due.end, m_clock.Now());
      }
    }
    m_forwarder.OnTimer(m_clock.Now());
    Act(m_discovery_state.OnTimer(m_clock.Now()));
  }
}

std::optional<CallEnd> World::EndOf(std::uint64_t call) const {
  const auto found = m_calls.find(call);
  return found == m_calls.end() ? std::nullopt : found->second.end;
}

std::uint32_t World::RunsAt(const std::string& target) const {
  const auto found = m_runs.find(target);
  return found == m_runs.end() ? 0 : found->second;
}

std::uint32_t World::RunsOf(std::uint64_t call) const {
  const auto found = m_calls.find(call);
  return found == m_calls.end() ? 0 : found->second.runs;
}

void World::Send(const OutgoingAttempt& attempt) {
  const Behaviour behaviour = BehaviourOf(attempt.target.id.raw());
  AttemptEnd end;
  end.id = attempt.id;
  if (behaviour.sheds) {
    end.outcome = AttemptOutcome::kNotExecuted;
  } else {
    Run(attempt);
    end.outcome =
        behaviour.loses ? AttemptOutcome::kBroken : AttemptOutcome::kResponse;
    end.connection_lost = behaviour.loses;
    end.response.status = behaviour.status;
    end.response.stamp = attempt.target.service.raw();
    end.response.body = std::string(16, 'r');
  }
  if (behaviour.mute) {
    return;
  }
  const double factor = 1 + kSpread * (m_random.Unit() - 0.5);
  const auto latency = Duration(static_cast<Duration::rep>(
      static_cast<double>(behaviour.latency.count()) * factor));
  m_due.emplace(m_clock.Now() + latency,
                Due{std::move(end), attempt.target.id.raw()});
}

void World::Cancel(AttemptId attempt) {
  m_cancelled.insert(attempt.raw());
}

void World::Deliver(CallId call, ForwardAnswer answer, const CallTrace& trace) {
  CallRecord& record = m_calls[call.raw()];
  if (record.end) {
    AddFault("call " + std::to_string(call.raw()) + " got two answers");
  }
  if (answer.kind == AnswerKind::kNotRun && record.runs > 0) {
    AddFault("call " + std::to_string(call.raw()) +
             " was refused as not run, and ran");
  }
  if (answer.kind == AnswerKind::kNotRun && !answer.retry_after) {
    AddFault("a refusal names no time to come back");
  }
  CheckParts(answer, trace);
  record.end = CallEnd{answer.kind, answer.reason, answer.missing_parts,
                       trace.answered, m_clock.Now()};
}

void World::Take(const StoreChange& change) {
  Act(m_discovery_state.OnChanges({&change, 1}, m_clock.Now()));
}

void World::Act(const DiscoveryChange& change) {
  if (change.config) {
    if (m_discovery_state.config()->version() < m_version) {
      AddFault("the configuration went back");
    }
    m_version = m_discovery_state.config()->version();
    (void)m_forwarder.SetConfig(m_discovery_state.config());
  }
  if (change.targets) {
    m_forwarder.SetTargets(m_discovery_state.Targets(), m_clock.Now());
  }
}

void World::Run(const OutgoingAttempt& attempt) {
  ++m_runs[attempt.target.id.raw()];
  CallRecord& record = m_calls[std::stoull(attempt.request->request_id)];
  ++record.runs;
  if (record.once && record.runs > 1) {
    AddFault("a request that may not be repeated ran twice");
  }
  if (record.end && record.end->kind == AnswerKind::kNotRun) {
    AddFault("a request ran after it was refused as not run");
  }
}

void World::CheckParts(const ForwardAnswer& answer, const CallTrace& trace) {
  if (answer.kind != AnswerKind::kMerged) {
    return;
  }
  const std::vector<ServiceId>& shards = trace.route->shards;
  const std::set<std::string> parts(answer.part_stamps.begin(),
                                    answer.part_stamps.end());
  const bool known = std::ranges::all_of(parts, [&](const std::string& part) {
    return std::ranges::find(shards, ServiceId(part)) != shards.end();
  });
  if (!known || parts.size() != answer.part_stamps.size() ||
      parts.size() + answer.missing_parts != shards.size()) {
    AddFault("the parts of an answer are not the shards of one version");
  }
}

}  // namespace jacinthdeck::scenario
