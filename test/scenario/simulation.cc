// Applies the events of a scenario and checks the promises.
#include "scenario/simulation.h"

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

//! Width of the range of random latencies, as a share of the configured
//! latency, which is the middle of the range.
constexpr double kLatencySpread = 0.4;

}  // namespace

Simulation::Simulation(std::uint64_t seed)
    : m_random(seed),
      m_forwarder(Options(), *this, m_random.DrawSeed(), m_clock.Now()) {
  // The budget's constant part grows from zero over one window after the start;
  // scenarios begin when it is fully available.
  m_clock.Advance(seconds(20));
}

void Simulation::PutConfig(const std::string& json) {
  ApplyStoreChange({"op/config", {StoreEra{}, ++m_revision}, json});
}

void Simulation::PutTarget(const std::string& id, const std::string& json) {
  ApplyStoreChange({"servers/" + id, {StoreEra{}, ++m_revision}, json});
}

void Simulation::RemoveTarget(const std::string& id) {
  ApplyStoreChange({"servers/" + id, {StoreEra{}, ++m_revision}, std::nullopt});
}

void Simulation::SetStoreAvailable() {
  ApplyDiscoveryChange(m_discovery_state.OnChanges({}, m_clock.Now()));
}

void Simulation::SetBehaviour(const std::string& id,
                              const Behaviour& behaviour) {
  m_behaviours[id] = behaviour;
}

Behaviour Simulation::BehaviourOf(const std::string& id) const {
  const auto found = m_behaviours.find(id);
  return found == m_behaviours.end() ? Behaviour{} : found->second;
}

std::uint64_t Simulation::Submit(const std::string& path,
                                 bool at_most_once,
                                 Duration timeout) {
  const std::uint64_t number = m_next_call++;
  auto request = std::make_shared<OpaqueRequest>();
  request->method = at_most_once ? "POST" : "GET";
  request->host = "desk";
  request->target = path;
  request->request_id = std::to_string(number);
  m_calls[number].at_most_once = at_most_once;
  ForwardCall call;
  call.id = CallId(number);
  call.request = std::move(request);
  call.arrived = m_clock.Now();
  call.deadline = m_clock.Now() + timeout;
  m_forwarder.Submit(std::move(call), m_clock.Now());
  return number;
}

void Simulation::Abandon(std::uint64_t call) {
  m_forwarder.Abandon(CallId(call), m_clock.Now());
}

void Simulation::Advance(Duration time) {
  const TimePoint end = m_clock.Now() + time;
  while (m_clock.Now() < end) {
    TimePoint next = end;
    if (!m_scheduled_ends.empty()) {
      next = std::min(next, m_scheduled_ends.begin()->first);
    }
    next = std::min(next, m_forwarder.NextTimer().value_or(next));
    next = std::min(next, m_discovery_state.NextTimer().value_or(next));
    // Advances by at least one tick; a timer that is already due could
    // otherwise keep the clock from advancing.
    m_clock.Advance(std::max(next - m_clock.Now(), Duration(1)));
    while (!m_scheduled_ends.empty() &&
           m_scheduled_ends.begin()->first <= m_clock.Now()) {
      ScheduledEnd scheduled = std::move(m_scheduled_ends.begin()->second);
      m_scheduled_ends.erase(m_scheduled_ends.begin());
      if (!m_cancelled.contains(scheduled.end.id.raw())) {
        m_forwarder.OnAttemptEnd(scheduled.end, m_clock.Now());
      }
    }
    m_forwarder.OnTimer(m_clock.Now());
    ApplyDiscoveryChange(m_discovery_state.OnTimer(m_clock.Now()));
  }
}

std::optional<CallEnd> Simulation::EndOf(std::uint64_t call) const {
  const auto found = m_calls.find(call);
  return found == m_calls.end() ? std::nullopt : found->second.end;
}

std::uint32_t Simulation::RunsAt(const std::string& target) const {
  const auto found = m_runs.find(target);
  return found == m_runs.end() ? 0 : found->second;
}

std::uint32_t Simulation::RunsOf(std::uint64_t call) const {
  const auto found = m_calls.find(call);
  return found == m_calls.end() ? 0 : found->second.runs;
}

void Simulation::Send(const OutgoingAttempt& attempt) {
  const Behaviour behaviour = BehaviourOf(attempt.target.id.raw());
  AttemptEnd end;
  end.id = attempt.id;
  if (behaviour.sheds) {
    end.outcome = AttemptOutcome::kNotExecuted;
  } else {
    RecordRun(attempt);
    end.outcome = behaviour.drops_connection ? AttemptOutcome::kBroken
                                             : AttemptOutcome::kResponse;
    end.connection_lost = behaviour.drops_connection;
    end.response.status = behaviour.status;
    end.response.stamp = attempt.target.service.raw();
    end.response.body = std::string(16, 'r');
  }
  if (behaviour.mute) {
    return;
  }
  const double factor = 1 + kLatencySpread * (m_random.Unit() - 0.5);
  const auto latency = Duration(static_cast<Duration::rep>(
      static_cast<double>(behaviour.latency.count()) * factor));
  m_scheduled_ends.emplace(
      m_clock.Now() + latency,
      ScheduledEnd{std::move(end), attempt.target.id.raw()});
}

void Simulation::Cancel(AttemptId attempt) {
  m_cancelled.insert(attempt.raw());
}

void Simulation::Deliver(CallId call,
                         ForwardAnswer answer,
                         const CallTrace& trace) {
  CallRecord& record = m_calls[call.raw()];
  if (record.end) {
    AddFailure("call " + std::to_string(call.raw()) + " got two answers");
  }
  if (answer.kind == AnswerKind::kNotRun && record.runs > 0) {
    AddFailure("call " + std::to_string(call.raw()) +
               " was refused as not run but ran");
  }
  if (answer.kind == AnswerKind::kNotRun && !answer.retry_after) {
    AddFailure("a refusal has no retry time");
  }
  CheckParts(answer, trace);
  record.end = CallEnd{answer.kind, answer.reason, answer.missing_parts,
                       trace.answered, m_clock.Now()};
}

void Simulation::ApplyStoreChange(const StoreChange& change) {
  ApplyDiscoveryChange(
      m_discovery_state.OnChanges({&change, 1}, m_clock.Now()));
}

void Simulation::ApplyDiscoveryChange(const DiscoveryChange& change) {
  if (change.config) {
    if (m_discovery_state.config()->version() < m_config_version) {
      AddFailure("the configuration version decreased");
    }
    m_config_version = m_discovery_state.config()->version();
    (void)m_forwarder.SetConfig(m_discovery_state.config());
  }
  if (change.targets) {
    m_forwarder.SetTargets(m_discovery_state.Targets(), m_clock.Now());
  }
}

void Simulation::RecordRun(const OutgoingAttempt& attempt) {
  ++m_runs[attempt.target.id.raw()];
  CallRecord& record = m_calls[std::stoull(attempt.request->request_id)];
  ++record.runs;
  if (record.at_most_once && record.runs > 1) {
    AddFailure("a request that may not be repeated ran twice");
  }
  if (record.end && record.end->kind == AnswerKind::kNotRun) {
    AddFailure("a request ran after it was refused as not run");
  }
}

void Simulation::CheckParts(const ForwardAnswer& answer,
                            const CallTrace& trace) {
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
    AddFailure(
        "the parts of an answer are not the shards of one "
        "configuration version");
  }
}

}  // namespace jacinthdeck::scenario
