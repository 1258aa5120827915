// Events in the order of model time; forwarders see them as their transport
// would tell them.
#include "support/forward_model.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

namespace jacinthdeck::bench {

namespace {

//! Failure domains, over which hosts and replicas are spread in turn.
constexpr std::size_t kDomains = 3;
//! Most targets of one shard that a request may run on, as users configure it.
constexpr std::uint32_t kMostAttempts = 2;

[[nodiscard]] std::string ShardName(std::size_t shard) {
  return "shard-" + std::to_string(shard);
}

[[nodiscard]] std::string PathOf(std::size_t call_class) {
  return "/" + std::to_string(call_class) + "/";
}

[[nodiscard]] FailureDomain DomainOf(std::size_t index) {
  return FailureDomain("fd-" + std::to_string(index % kDomains));
}

[[nodiscard]] std::shared_ptr<const RoutingConfig> ConfigOf(
    const ForwardCase& load) {
  std::vector<ServiceConfig> services;
  for (std::size_t shard = 0; shard < load.shards; ++shard) {
    services.push_back({ServiceId(ShardName(shard)), load.connections});
  }
  std::vector<Route> routes;
  for (std::size_t index = 0; index < load.call_classes.size(); ++index) {
    const CallClass& call_class = load.call_classes[index];
    Route route;
    route.name = PathOf(index);
    route.host = "model";
    route.prefix = PathOf(index);
    route.repeat = RepeatRule::kIdempotent;
    route.timeout = call_class.timeout;
    route.objective = call_class.objective;
    route.priority = call_class.priority;
    route.max_attempts = kMostAttempts;
    route.min_share = call_class.min_share;
    route.top_records = 1;
    if (call_class.only_shard) {
      route.services = {{services[*call_class.only_shard].id, 1}};
    } else {
      for (const ServiceConfig& service : services) {
        route.shards.push_back(service.id);
      }
    }
    routes.push_back(route);
  }
  return std::make_shared<const RoutingConfig>(1, routes, services,
                                               CallerLimits{});
}

}  // namespace

/*! \brief A host: its forwarder, and the port that leads to the model. */
struct ForwardModel::Host final : ForwardPort {
  Host(ForwardModel& model,
       std::size_t index,
       const ForwardOptions& options,
       std::uint64_t seed)
      : m_model(model),
        m_index(index),
        forwarder(options, *this, seed, model.m_start) {}

  void Send(const OutgoingAttempt& attempt) override {
    m_model.Send(m_index, attempt);
  }
  void Cancel(AttemptId attempt) override { m_model.Cancel(m_index, attempt); }
  void Deliver(CallId call, ForwardAnswer answer, const CallTrace&) override {
    m_model.Deliver(call, answer);
  }
  void ShareQuarantine(Fingerprint) override {}

  ForwardModel& m_model;
  std::size_t m_index;
  Forwarder forwarder;
  //! When its processor is free.
  TimePoint free_at;
  //! Earliest timer event that is queued for it.
  std::optional<TimePoint> armed;
};

/*! \brief An attempt on its way, at a target, or on its way back. */
struct ForwardModel::Flight {
  std::size_t host = 0;
  std::size_t target = 0;
  AttemptId id;
  std::string request;
  Duration service_time{};
  AttemptEnd end;
};

/*! \brief A call that waits for its answer. */
struct ForwardModel::Asked {
  std::size_t call_class = 0;
  TimePoint at;
  bool counted = false;
};

ForwardModel::ForwardModel(const ForwardCase& load, std::uint64_t seed)
    : m_load(load),
      m_random(seed),
      m_start(std::chrono::hours(1)),
      m_now(m_start),
      m_requests(load.shards),
      m_extras(load.shards) {
  m_result.call_classes.resize(load.call_classes.size());
  SetUp();
}

ForwardModel::~ForwardModel() = default;

void ForwardModel::SetUp() {
  for (std::size_t shard = 0; shard < m_load.shards; ++shard) {
    for (std::size_t replica = 0; replica < m_load.replicas; ++replica) {
      std::vector<TargetFaultPeriod> faults;
      std::ranges::copy_if(m_load.faults, std::back_inserter(faults),
                           [&](const TargetFaultPeriod& period) {
                             return period.shard == shard &&
                                    period.replica == replica;
                           });
      m_targets.emplace_back(m_load, std::move(faults), m_start,
                             m_random.DrawSeed());
      if (shard < m_load.single_target_shards && replica > 0) {
        continue;
      }
      TargetEntry entry;
      entry.id = TargetId(std::to_string(m_targets.size() - 1));
      entry.service = ServiceId(ShardName(shard));
      entry.domain = DomainOf(replica);
      entry.slots = m_load.slots;
      m_entries.push_back(entry);
    }
  }
  const auto config = ConfigOf(m_load);
  for (std::size_t index = 0; index < m_load.hosts; ++index) {
    ForwardOptions options;
    options.domain = DomainOf(index);
    options.budget = m_load.budget;
    m_hosts.push_back(
        std::make_unique<Host>(*this, index, options, m_random.DrawSeed()));
    Forwarder& forwarder = m_hosts.back()->forwarder;
    forwarder.SetTargets(m_entries, m_start);
    forwarder.SetHosts(m_load.hosts, true, m_start);
    (void)forwarder.SetConfig(config);
  }
}

ForwardResult ForwardModel::Run() {
  for (std::size_t call_class = 0; call_class < m_load.call_classes.size();
       ++call_class) {
    ArmCall(call_class);
  }
  while (!m_events.empty()) {
    const Event event = m_events.Pop();
    m_now = event.at;
    switch (event.kind) {
      case EventKind::kCall:
        OnCall(event.subject);
        break;
      case EventKind::kTimer: {
        Host& host = *m_hosts[event.subject];
        // An earlier timer was set since; each left over would set another.
        if (host.armed != event.at) {
          break;
        }
        host.armed.reset();
        host.forwarder.OnTimer(m_now);
        Rearm(event.subject);
        break;
      }
      case EventKind::kArrive:
        OnArrive(event.subject);
        break;
      case EventKind::kDone:
        OnDone(event.subject);
        break;
      case EventKind::kAtHost:
        OnAtHost(event.subject);
        break;
      case EventKind::kReply:
        OnReply(event.subject);
        break;
      case EventKind::kCancel:
        StartWork(event.subject);
        break;
    }
  }
  return Result();
}

void ForwardModel::ArmCall(std::size_t call_class) {
  constexpr double kMicroseconds = 1e6;
  const double gap = -std::log(1 - m_random.Unit()) /
                     m_load.call_classes[call_class].calls_per_second *
                     kMicroseconds;
  const TimePoint at = m_now + Duration(static_cast<Duration::rep>(gap));
  if (at < m_start + m_load.warm_up + m_load.length) {
    m_events.Push(at, EventKind::kCall, call_class);
  }
}

void ForwardModel::OnCall(std::size_t call_class) {
  ArmCall(call_class);
  const std::size_t host = m_random.Below(m_load.hosts);
  auto request = std::make_shared<OpaqueRequest>();
  request->host = "model";
  request->target = PathOf(call_class) + std::to_string(m_next_id);
  ForwardCall call;
  call.id = CallId(m_next_id++);
  call.request = request;
  call.arrived = m_now;
  call.deadline = m_now + m_load.call_classes[call_class].timeout;
  const bool counted = m_now >= m_start + m_load.warm_up;
  m_result.calls += counted ? 1 : 0;
  m_result.call_classes[call_class].calls += counted ? 1 : 0;
  m_asked[call.id] = {call_class, m_now, counted};
  for (std::size_t shard = 0; shard < m_load.shards; ++shard) {
    if (m_load.call_classes[call_class].only_shard.value_or(shard) == shard) {
      m_requests[shard].push_back(m_now);
    }
  }
  m_hosts[host]->forwarder.Submit(std::move(call), m_now);
  Rearm(host);
}

void ForwardModel::Send(std::size_t host, const OutgoingAttempt& attempt) {
  const auto call_class =
      static_cast<std::size_t>(std::stoul(attempt.request->target.substr(1)));
  const std::uint64_t key = m_next_id++;
  Flight flight;
  flight.host = host;
  flight.target = static_cast<std::size_t>(std::stoul(attempt.target.id.raw()));
  flight.id = attempt.id;
  flight.request = attempt.request->target;
  flight.service_time = m_load.call_classes[call_class].service_time;
  m_flights[key] = flight;
  m_events.Push(HostDone(host) + m_load.one_way_delay, EventKind::kArrive, key);
}

void ForwardModel::Cancel(std::size_t host, AttemptId attempt) {
  const auto found = std::ranges::find_if(m_flights, [&](const auto& item) {
    return item.second.host == host && item.second.id == attempt;
  });
  if (found == m_flights.end()) {
    return;
  }
  const std::size_t target = found->second.target;
  m_targets[target].Drop(found->first);
  m_flights.erase(found);
  m_events.Push(m_now + m_load.one_way_delay, EventKind::kCancel, target);
}

void ForwardModel::OnArrive(std::uint64_t attempt) {
  const auto found = m_flights.find(attempt);
  if (found == m_flights.end()) {
    return;
  }
  const std::size_t target = found->second.target;
  const Arrival arrival =
      m_targets[target].Take(attempt, found->second.service_time, m_now);
  if (arrival != Arrival::kNotConnected) {
    CountArrival(found->second);
  }
  switch (arrival) {
    case Arrival::kTaken:
      StartWork(target);
      break;
    case Arrival::kRefused:
      Reply(attempt, AttemptOutcome::kNotExecuted);
      break;
    case Arrival::kNotConnected:
      Reply(attempt, AttemptOutcome::kNotSent);
      break;
    case Arrival::kIgnored:
      break;
  }
}

void ForwardModel::StartWork(std::size_t target) {
  if (const auto until = m_targets[target].PausedUntil(m_now)) {
    m_events.Push(*until, EventKind::kCancel, target);
    return;
  }
  for (const auto& started : m_targets[target].StartWork(m_now)) {
    m_events.Push(started.done, EventKind::kDone, started.attempt);
  }
}

void ForwardModel::OnDone(std::uint64_t attempt) {
  const auto found = m_flights.find(attempt);
  if (found == m_flights.end()) {
    return;
  }
  const std::size_t target = found->second.target;
  if (const auto until = m_targets[target].PausedUntil(m_now)) {
    m_events.Push(*until, EventKind::kDone, attempt);
    return;
  }
  m_targets[target].Drop(attempt);
  if (m_targets[target].IsAlive(m_now)) {
    Reply(attempt, AttemptOutcome::kResponse);
  }
  StartWork(target);
}

void ForwardModel::Reply(std::uint64_t attempt, AttemptOutcome outcome) {
  Flight& flight = m_flights.at(attempt);
  flight.end.id = flight.id;
  flight.end.outcome = outcome;
  if (outcome != AttemptOutcome::kNotSent) {
    flight.end.load = m_targets[flight.target].Load();
  }
  constexpr int kOk = 200;
  flight.end.response.status = kOk;
  flight.end.response.stamp = "stamp";
  m_events.Push(m_now + m_load.one_way_delay, EventKind::kAtHost, attempt);
}

TimePoint ForwardModel::HostDone(std::size_t host) {
  TimePoint& free_at = m_hosts[host]->free_at;
  free_at = std::max(free_at, m_now) + m_load.host_cpu_time;
  return free_at;
}

void ForwardModel::OnAtHost(std::uint64_t attempt) {
  const auto found = m_flights.find(attempt);
  if (found != m_flights.end()) {
    m_events.Push(HostDone(found->second.host), EventKind::kReply, attempt);
  }
}

void ForwardModel::OnReply(std::uint64_t attempt) {
  const auto found = m_flights.find(attempt);
  if (found == m_flights.end()) {
    return;
  }
  Flight flight = std::move(found->second);
  m_flights.erase(found);
  m_hosts[flight.host]->forwarder.OnAttemptEnd(flight.end, m_now);
  Rearm(flight.host);
}

void ForwardModel::Rearm(std::size_t host) {
  Host& subject = *m_hosts[host];
  const auto next = subject.forwarder.NextTimer();
  if (!next || (subject.armed && *subject.armed <= *next)) {
    return;
  }
  subject.armed = std::max(*next, m_now);
  m_events.Push(*subject.armed, EventKind::kTimer, host);
}

void ForwardModel::Deliver(CallId call, const ForwardAnswer& answer) {
  const auto found = m_asked.find(call);
  if (found == m_asked.end()) {
    return;
  }
  const Asked asked = found->second;
  m_asked.erase(found);
  if (!asked.counted) {
    return;
  }
  if (answer.kind == AnswerKind::kNotRun) {
    ++m_result.refused;
    return;
  }
  if (answer.kind != AnswerKind::kMerged &&
      answer.kind != AnswerKind::kResponse) {
    ++m_result.failed;
    return;
  }
  ++m_result.call_classes[asked.call_class].served;
  const Duration took = m_now - asked.at;
  m_latencies.push_back(took);
  if (took > m_load.call_classes[asked.call_class].objective) {
    ++m_result.late;
    return;
  }
  ++m_result.in_time;
  const double share = 1 - static_cast<double>(answer.missing_parts) /
                               static_cast<double>(m_load.shards);
  m_result.coverage += share * share;
}

void ForwardModel::CountArrival(const Flight& flight) {
  const std::size_t shard = flight.target / m_load.replicas;
  ++m_result.attempts;
  if (m_arrived.insert(flight.request + "#" + std::to_string(shard)).second) {
    return;
  }
  ++m_result.extra_attempts;
  m_extras[shard].push_back(m_now);
}

double ForwardModel::BudgetUsed(std::size_t shard) const {
  const auto within = [](const std::vector<TimePoint>& times, TimePoint from,
                         TimePoint to) {
    return static_cast<double>(std::ranges::upper_bound(times, to) -
                               std::ranges::upper_bound(times, from));
  };
  const Duration window = m_load.budget.window;
  double most = 0;
  for (const TimePoint end : m_extras[shard]) {
    const double bound =
        m_load.budget.ratio * within(m_requests[shard], end - window, end) +
        m_load.budget.constant;
    most = std::max(most, within(m_extras[shard], end - window, end) / bound);
  }
  return most;
}

ForwardResult ForwardModel::Result() {
  // Calls that nobody has answered by now never get an answer.
  m_result.failed += static_cast<std::uint64_t>(std::ranges::count_if(
      m_asked, [](const auto& item) { return item.second.counted; }));
  for (std::size_t shard = 0; shard < m_load.shards; ++shard) {
    m_result.budget_used = std::max(m_result.budget_used, BudgetUsed(shard));
  }
  constexpr auto kFirst = static_cast<std::size_t>(AttemptReason::kFirst);
  for (const auto& host : m_hosts) {
    const ForwardCounters& counters = host->forwarder.counters();
    m_result.first_attempts += counters.attempts[kFirst];
    m_result.first_attempts_other_domains +=
        counters.attempts_other_domains[kFirst];
  }
  std::ranges::sort(m_latencies);
  if (!m_latencies.empty()) {
    m_result.p50_ms = ToMilliseconds(m_latencies[m_latencies.size() / 2]);
  }
  return m_result;
}

ForwardResult RunSeeds(const ForwardCase& load, std::uint64_t seeds) {
  ForwardResult sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const ForwardResult one = ForwardModel(load, seed).Run();
    sum.calls += one.calls;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.coverage += one.coverage;
    sum.extra_attempts += one.extra_attempts;
    sum.attempts += one.attempts;
    sum.first_attempts += one.first_attempts;
    sum.first_attempts_other_domains += one.first_attempts_other_domains;
    sum.call_classes.resize(one.call_classes.size());
    for (std::size_t call_class = 0; call_class < one.call_classes.size();
         ++call_class) {
      sum.call_classes[call_class].calls += one.call_classes[call_class].calls;
      sum.call_classes[call_class].served +=
          one.call_classes[call_class].served;
    }
    sum.budget_used = std::max(sum.budget_used, one.budget_used);
    sum.p50_ms += one.p50_ms / static_cast<double>(seeds);
  }
  return sum;
}

}  // namespace jacinthdeck::bench
