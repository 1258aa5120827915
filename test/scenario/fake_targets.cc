// The targets of a scenario.
#include "scenario/fake_targets.h"

#include <algorithm>

namespace jacinthdeck::scenario {

namespace {

constexpr Duration kOneWay = std::chrono::microseconds(500);
constexpr Duration kRestart = std::chrono::seconds(1);
//! Mean length of a run.
constexpr Duration kMeanRun = std::chrono::milliseconds(5);

}  // namespace

FakeTargets::FakeTargets(const Dataset& dataset,
                         const Clock& clock,
                         std::uint64_t seed,
                         Schedule schedule)
    : m_dataset(dataset),
      m_clock(clock),
      m_random(seed),
      m_schedule(std::move(schedule)) {
  for (const TargetId& target : dataset.Targets()) {
    m_states[target];
  }
}

TargetBehaviour& FakeTargets::behaviour(const TargetId& target) {
  return m_states.at(target).behaviour;
}

std::size_t FakeTargets::RunsOf(const std::string& body) const {
  return static_cast<std::size_t>(
      std::ranges::count(m_runs, body, &TargetRun::body));
}

std::vector<TargetInfo> FakeTargets::Hosts() const {
  std::vector<TargetInfo> hosts;
  std::uint16_t port = 4000;
  for (const auto& [id, state] : m_states) {
    TargetInfo info;
    info.id = id;
    info.service = ServiceId(scenario::kService);
    info.domain = FailureDomain("zone-" + id.raw().substr(id.raw().find('-')));
    info.address = "10.1.0.1";
    info.port = port++;
    info.state =
        state.behaviour.left ? TargetState::kLeaving : TargetState::kLive;
    info.slots = kSlots;
    info.connections = kConnections;
    hosts.push_back(info);
  }
  return hosts;
}

void FakeTargets::Send(std::uint64_t node_life,
                       const SendAttempt& attempt,
                       Reply reply) {
  const Key key(node_life, attempt.attempt);
  m_open[key] = Open{attempt, std::move(reply), false};
  m_schedule(kOneWay, [this, key] { Arrive(key); });
  const auto time_left =
      std::chrono::duration_cast<Duration>(attempt.deadline - m_clock.Now());
  m_schedule(std::max(time_left, Duration::zero()), [this, key] {
    AttemptReply timed_out;
    timed_out.status = AttemptStatus::kTimedOut;
    End(key, timed_out);
  });
}

void FakeTargets::Cancel(std::uint64_t node_life, AttemptId attempt) {
  const Key key(node_life, attempt);
  m_schedule(kOneWay, [this, key] {
    AttemptReply cancelled;
    cancelled.status = AttemptStatus::kCancelled;
    End(key, cancelled);
  });
}

void FakeTargets::Kill(const TargetId& target) {
  m_states.at(target).behaviour.up = false;
  std::vector<Key> lost;
  for (const auto& [key, open] : m_open) {
    if (open.running && open.attempt.target == target) {
      lost.push_back(key);
    }
  }
  for (const Key& key : lost) {
    AttemptReply reply;
    reply.status = AttemptStatus::kLost;
    End(key, reply);
  }
}

void FakeTargets::Arrive(const Key& key) {
  const auto found = m_open.find(key);
  if (found == m_open.end()) {
    return;
  }
  const SendAttempt& attempt = found->second.attempt;
  State& state = m_states.at(attempt.target);
  if (const auto refusal = Refuse(attempt, state)) {
    AttemptReply reply;
    reply.status = *refusal;
    reply.draining =
        *refusal == AttemptStatus::kShed && state.behaviour.left.has_value();
    m_schedule(kOneWay, [this, key, reply] { End(key, reply); });
    return;
  }
  Run(key, state);
}

std::optional<AttemptStatus> FakeTargets::Refuse(const SendAttempt& attempt,
                                                 State& state) {
  const TargetBehaviour& behaviour = state.behaviour;
  if (!behaviour.up) {
    return AttemptStatus::kNotSent;
  }
  if (behaviour.left && m_clock.Now() > *behaviour.left + kLeaveGrace &&
      m_late_work.empty()) {
    m_late_work = attempt.target.raw() + " got " + *attempt.body;
  }
  if (behaviour.shedding || (behaviour.left && behaviour.says_draining) ||
      state.running >= 2 * kSlots) {
    return AttemptStatus::kShed;
  }
  if (!m_dataset.Serves(attempt.version)) {
    return AttemptStatus::kVersionGone;
  }
  if (!m_dataset.Holds(attempt.target, attempt.version, attempt.range)) {
    return AttemptStatus::kWrongRange;
  }
  return std::nullopt;
}

void FakeTargets::Run(const Key& key, State& state) {
  Open& open = m_open.at(key);
  open.running = true;
  ++state.running;
  m_runs.push_back({open.attempt.target, *open.attempt.body, m_clock.Now()});
  if (open.attempt.body->find(kCrash) != std::string::npos) {
    ++m_kills;
    const TargetId target = open.attempt.target;
    m_schedule(kOneWay, [this, target] { Kill(target); });
    m_schedule(kRestart,
               [this, target] { m_states.at(target).behaviour.up = true; });
    return;
  }
  if (state.behaviour.silent) {
    return;
  }
  const auto spread = static_cast<std::uint64_t>(2 * kMeanRun.count());
  const Duration run(static_cast<Duration::rep>(m_random.Below(spread)));
  m_schedule(run + state.behaviour.extra + kOneWay,
             [this, key] { Finish(key); });
}

void FakeTargets::Finish(const Key& key) {
  const auto found = m_open.find(key);
  if (found == m_open.end()) {
    return;
  }
  const State& state = m_states.at(found->second.attempt.target);
  const AttemptReply reply = Answer(found->second.attempt, state);
  if (state.behaviour.repeating) {
    m_schedule(kMeanRun,
               [again = found->second.reply, reply] { again(reply); });
  }
  End(key, reply);
}

AttemptReply FakeTargets::Answer(const SendAttempt& attempt,
                                 const State& state) const {
  AttemptReply reply;
  reply.attempt = attempt.attempt;
  reply.range = attempt.range;
  reply.version = attempt.version;
  if (state.behaviour.confused) {
    reply.version = IndexVersion(attempt.version.raw() - 1);
  }
  reply.hits = m_dataset.Items(reply.version, reply.range);
  reply.count = reply.hits.size();
  return reply;
}

void FakeTargets::End(const Key& key, AttemptReply reply) {
  const auto found = m_open.find(key);
  if (found == m_open.end()) {
    return;
  }
  const Open open = std::move(found->second);
  m_open.erase(found);
  if (open.running) {
    --m_states.at(open.attempt.target).running;
  }
  reply.attempt = open.attempt.attempt;
  open.reply(reply);
}

}  // namespace jacinthdeck::scenario
