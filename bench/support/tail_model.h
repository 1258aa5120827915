// Discrete-event simulation of several engines with their routers and simulated
// targets, in one process and without sockets. The clock advances from event to
// event.
#ifndef JACINTHDECK_BENCH_SUPPORT_TAIL_MODEL_H_
#define JACINTHDECK_BENCH_SUPPORT_TAIL_MODEL_H_

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/query/engine.h"
#include "jacinthdeck/routing/router.h"
#include "support/event_queue.h"
#include "support/fleet.h"
#include "support/tail_case.h"
#include "support/tail_stats.h"
#include "support/target_model.h"

namespace jacinthdeck::bench {

/*! \brief Simulates one run. */
class TailModel {
 public:
  explicit TailModel(const TailCase& tail_case)
      : m_case(tail_case),
        m_random(tail_case.seed),
        m_method(MakeMethod()),
        m_fleet(MakeFleet(tail_case.deployment, m_method->service)),
        m_targets(m_fleet.targets.size(),
                  TargetModel(tail_case.deployment.slots)),
        m_connections(m_fleet.targets.size(), 0) {
    for (std::uint32_t i = 0; i < m_case.entries; ++i) {
      MakeEntry(i);
    }
  }

  /*! \brief Runs until no event is left; may be called only once. */
  [[nodiscard]] TailResult Run() {
    m_warmup_calls = m_case.queries / 5;
    m_events.Push(m_now, EventKind::kCall, 0);
    while (!m_events.empty()) {
      const Event event = m_events.Pop();
      m_now = event.at;
      HandleEvent(event);
    }
    m_stats.CountWrongAnswers(m_open_calls.size());
    TailResult result = m_stats.ComputeResult(m_last_submit - m_measured_from);
    result.most_connections = m_most_connections;
    for (const auto& entry : m_entries) {
      result.sheds += entry->router.counters().sheds;
    }
    return result;
  }

  /*! \brief Returns the counters of one entry's router. */
  [[nodiscard]] const RouterCounters& counters(std::size_t entry) const {
    return m_entries[entry]->router.counters();
  }

 private:
  struct Entry {
    Entry(std::uint64_t seed,
          const RouterOptions& options,
          std::uint64_t first_attempt)
        : router(seed, options), engine(router, first_attempt) {}

    Router router;
    Engine engine;
    //! Time of the earliest queued timer event of this entry.
    std::optional<TimePoint> armed_at;
    //! For each target, the open connections and those of them in use.
    std::vector<std::uint32_t> open_connections;
    std::vector<std::uint32_t> busy_connections;
  };

  struct Attempt {
    std::uint32_t entry = 0;
    std::uint32_t target = 0;
    KeyRange range;
    AttemptStatus status = AttemptStatus::kAnswered;
    bool arrived = false;
    bool cancelled = false;
    bool ended = false;
  };

  struct OpenCall {
    TimePoint submitted;
    bool measured = false;
  };

  [[nodiscard]] static std::shared_ptr<const Method> MakeMethod() {
    Method method;
    method.service = ServiceId("CounterDesk");
    method.name = "Search";
    return std::make_shared<const Method>(method);
  }

  void MakeEntry(std::uint32_t index) {
    // Attempt ids must differ between entries: they are the keys of m_attempts.
    constexpr unsigned kEntryShift = 40;
    const std::uint64_t first_attempt = std::uint64_t{index + 1} << kEntryShift;
    auto entry = std::make_unique<Entry>(
        m_random.DrawSeed(), m_case.strategy.options, first_attempt);
    entry->router.SetTargets(m_fleet.targets, m_now);
    entry->router.SetHostCount(m_case.entries, m_now);
    entry->engine.SetVersions(m_method->service, {m_fleet.map});
    entry->open_connections.assign(m_targets.size(), 0);
    entry->busy_connections.assign(m_targets.size(), 0);
    m_entries.push_back(std::move(entry));
  }

  void HandleEvent(const Event& event) {
    switch (event.kind) {
      case EventKind::kCall:
        return OnCall();
      case EventKind::kTimer:
        return OnTimer(static_cast<std::uint32_t>(event.subject), event.at);
      case EventKind::kArrive:
        return OnArrive(event.subject);
      case EventKind::kDone:
        return OnDone(event.subject);
      case EventKind::kRetry:
        // Callers of this model send each request once.
        return;
      case EventKind::kCancel:
        return OnCancel(event.subject);
      case EventKind::kReplyArrive:
      case EventKind::kReply:
        return OnReply(event.subject);
    }
  }

  void OnCall() {
    const std::uint32_t call_number = m_calls_submitted++;
    if (call_number == m_warmup_calls) {
      m_measuring = true;
      m_measured_from = m_now;
    }
    m_last_submit = m_now;
    const auto index =
        static_cast<std::uint32_t>(m_random.Below(m_entries.size()));
    Call call;
    call.id = CallId(call_number);
    call.method = m_method;
    call.body = m_body;
    call.deadline = m_now + m_method->deadline;
    call.fingerprint = Fingerprint(call_number);
    m_open_calls[call_number] = OpenCall{m_now, m_measuring};
    Effects effects;
    m_entries[index]->engine.Submit(std::move(call), m_now, effects);
    ApplyEffects(index, effects);
    if (m_calls_submitted < m_warmup_calls + m_case.queries) {
      const Deployment& deployment = m_case.deployment;
      const double mean_interarrival =
          static_cast<double>(kMeanServiceTime.count()) /
          (deployment.replicas * deployment.slots * m_case.fault.offered_load);
      m_events.Push(
          m_now + Duration(static_cast<Duration::rep>(
                      -mean_interarrival * std::log(1 - m_random.Unit()))),
          EventKind::kCall, 0);
    }
  }

  void OnTimer(std::uint32_t index, TimePoint at) {
    Entry& entry = *m_entries[index];
    if (entry.armed_at != at) {
      return;
    }
    entry.armed_at.reset();
    Effects effects;
    entry.engine.OnTimer(m_now, effects);
    ApplyEffects(index, effects);
  }

  void ApplyEffects(std::uint32_t index, const Effects& effects) {
    Entry& entry = *m_entries[index];
    for (const SendAttempt& send : effects.sends) {
      Send(index, send);
    }
    for (const CancelAttempt& cancel : effects.cancels) {
      Cancel(cancel.attempt.raw());
    }
    for (const DeliverAnswer& deliver : effects.answers) {
      Deliver(deliver);
    }
    const auto next = entry.engine.NextTimer();
    if (next && (!entry.armed_at || *next < *entry.armed_at)) {
      entry.armed_at = std::max(*next, m_now);
      m_events.Push(*entry.armed_at, EventKind::kTimer, index);
    }
  }

  void Send(std::uint32_t index, const SendAttempt& send) {
    Entry& entry = *m_entries[index];
    const std::uint32_t target = m_fleet.target_index.at(send.target);
    m_attempts[send.attempt.raw()] = Attempt{index, target, send.range};
    Duration delay = m_case.deployment.one_way_delay;
    if (entry.busy_connections[target] == entry.open_connections[target]) {
      ++entry.open_connections[target];
      delay += m_case.deployment.connection_open_time;
      m_most_connections =
          std::max(m_most_connections, ++m_connections[target]);
    }
    ++entry.busy_connections[target];
    m_events.Push(m_now + delay, EventKind::kArrive, send.attempt.raw());
  }

  void Cancel(std::uint64_t key) {
    const bool lost = IsLost(m_attempts.at(key).target);
    // A lost target does not react; the entry closes the connection
    // immediately.
    m_events.Push(lost ? m_now : m_now + m_case.deployment.one_way_delay,
                  EventKind::kCancel, key);
  }

  void Deliver(const DeliverAnswer& deliver) {
    const auto found = m_open_calls.find(deliver.call.raw());
    if (found == m_open_calls.end()) {
      return m_stats.CountWrongAnswers(1);
    }
    if (found->second.measured) {
      const Answer& answer = deliver.answer;
      const double extra_attempts =
          static_cast<double>(answer.attempts) -
          static_cast<double>(m_case.deployment.shards);
      m_stats.Add(m_now - found->second.submitted, answer.outcome,
                  std::max(0.0, extra_attempts));
      m_stats.CheckCoverage(answer);
    }
    m_open_calls.erase(found);
  }

  [[nodiscard]] bool IsLost(std::uint32_t target) const {
    const std::uint32_t replicas = m_case.deployment.replicas;
    const std::uint32_t shard = target / replicas;
    const std::uint32_t replica = target % replicas;
    return m_measuring &&
           ((m_case.fault.lost_replica && replica == shard % replicas) ||
            (m_case.fault.lost_domain && replica == 0));
  }

  void OnArrive(std::uint64_t key) {
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end() || found->second.ended) {
      return;
    }
    Attempt& attempt = found->second;
    attempt.arrived = true;
    if (IsLost(attempt.target)) {
      return;
    }
    if (attempt.cancelled) {
      return EndAttempt(key, AttemptStatus::kCancelled);
    }
    switch (m_targets[attempt.target].Arrive(key)) {
      case Arrival::kStarted:
        return StartService(key);
      case Arrival::kQueued:
        return;
      case Arrival::kShed:
        return EndAttempt(key, AttemptStatus::kShed);
    }
  }

  void StartService(std::uint64_t key) {
    const Attempt& attempt = m_attempts.at(key);
    double service_time = DrawServiceTime(m_case.distribution, m_random);
    if (m_random.Unit() < m_case.fault.straggler_share) {
      service_time *= kStragglerFactor;
    }
    if (m_measuring && m_case.fault.slow_server && attempt.target == 0) {
      service_time *= kStragglerFactor;
    }
    m_events.Push(m_now + Duration(static_cast<Duration::rep>(service_time)),
                  EventKind::kDone, key);
  }

  void OnDone(std::uint64_t key) {
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end() || found->second.ended ||
        IsLost(found->second.target)) {
      return;
    }
    RemoveFromTarget(key);
    EndAttempt(key, AttemptStatus::kAnswered);
  }

  void OnCancel(std::uint64_t key) {
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end() || found->second.ended) {
      return;
    }
    Attempt& attempt = found->second;
    attempt.cancelled = true;
    if (IsLost(attempt.target)) {
      return EndAttempt(key, AttemptStatus::kCancelled);
    }
    if (attempt.arrived) {
      RemoveFromTarget(key);
      EndAttempt(key, AttemptStatus::kCancelled);
    }
  }

  void RemoveFromTarget(std::uint64_t key) {
    TargetModel& target = m_targets[m_attempts.at(key).target];
    if (const auto next = target.Remove(key)) {
      StartService(*next);
    }
  }

  void EndAttempt(std::uint64_t key, AttemptStatus status) {
    Attempt& attempt = m_attempts.at(key);
    attempt.status = status;
    attempt.ended = true;
    m_events.Push(m_now + m_case.deployment.one_way_delay, EventKind::kReply,
                  key);
  }

  void OnReply(std::uint64_t key) {
    const Attempt attempt = m_attempts.at(key);
    m_attempts.erase(key);
    Entry& entry = *m_entries[attempt.entry];
    --entry.busy_connections[attempt.target];
    AttemptReply reply;
    reply.attempt = AttemptId(key);
    reply.status = attempt.status;
    reply.version = m_fleet.map.version;
    reply.range = attempt.range;
    if (attempt.status == AttemptStatus::kAnswered ||
        attempt.status == AttemptStatus::kShed) {
      reply.reported_load = m_targets[attempt.target].load();
    }
    Effects effects;
    entry.engine.OnReply(reply, m_now, effects);
    ApplyEffects(attempt.entry, effects);
  }

  TailCase m_case;
  Random m_random;
  std::shared_ptr<const Method> m_method;
  std::shared_ptr<const std::string> m_body =
      std::make_shared<const std::string>("{}");
  Fleet m_fleet;
  std::vector<TargetModel> m_targets;
  //! Connections of all entries, for each target.
  std::vector<std::uint32_t> m_connections;
  std::uint32_t m_most_connections = 0;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::unordered_map<std::uint64_t, Attempt> m_attempts;
  std::unordered_map<std::uint64_t, OpenCall> m_open_calls;
  EventQueue m_events;
  TimePoint m_now{};
  TimePoint m_measured_from{};
  TimePoint m_last_submit{};
  std::uint32_t m_calls_submitted = 0;
  std::uint32_t m_warmup_calls = 0;
  //! Whether the measured time has begun; servers are slow or lost from then
  //! on.
  bool m_measuring = false;
  TailStats m_stats;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_TAIL_MODEL_H_
