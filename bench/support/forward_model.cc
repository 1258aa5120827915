// Processes events in the order of simulated time and calls the forwarders as
// their transport would.
#include "support/forward_model.h"

#include <algorithm>
#include <cmath>
#include <future>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jacinthdeck::bench {

namespace {

//! Number of failure domains; hosts and replicas are assigned round-robin.
constexpr std::size_t kDomains = 3;
//! Limit on the targets of one shard that a request may run on, as configured
//! by users.
constexpr std::uint32_t kMaxAttempts = 2;

[[nodiscard]] std::string ShardName(std::size_t shard) {
  return "shard-" + std::to_string(shard);
}

[[nodiscard]] std::string RoutePrefix(std::size_t call_class) {
  return "/" + std::to_string(call_class) + "/";
}

[[nodiscard]] FailureDomain DomainOf(std::size_t index) {
  return FailureDomain("fd-" + std::to_string(index % kDomains));
}

[[nodiscard]] std::string FlowName(std::size_t flow) {
  return "account-" + std::to_string(flow);
}

[[nodiscard]] std::shared_ptr<const TenantTable> MakeTenants(
    const ForwardCase& load) {
  std::vector<Tenant> tenants;
  for (std::size_t flow = 0; flow < load.flows.size(); ++flow) {
    Tenant tenant;
    tenant.name = TenantId(FlowName(flow));
    // Keys are checked before the forwarder; they only have to be distinct.
    tenant.keys.emplace_back().bytes.front() = static_cast<std::uint8_t>(flow);
    tenant.rate = load.flows[flow].configured;
    tenant.burst = std::max(1.0, tenant.rate);
    tenants.push_back(std::move(tenant));
  }
  return std::make_shared<const TenantTable>(std::move(tenants));
}

[[nodiscard]] std::shared_ptr<const RoutingConfig> MakeConfig(
    const ForwardCase& load) {
  std::vector<ServiceConfig> services;
  for (std::size_t shard = 0; shard < load.shards; ++shard) {
    services.push_back({ServiceId(ShardName(shard)), load.connections});
  }
  std::vector<Route> routes;
  for (std::size_t index = 0; index < load.call_classes.size(); ++index) {
    const CallClass& call_class = load.call_classes[index];
    Route route;
    route.name = RoutePrefix(index);
    route.host = "model";
    route.prefix = RoutePrefix(index);
    route.repeat = RepeatRule::kIdempotent;
    route.timeout = call_class.timeout;
    route.objective = call_class.objective;
    route.priority = call_class.priority;
    route.max_attempts = kMaxAttempts;
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
  return std::make_shared<const RoutingConfig>(
      1, routes, services, CallerLimits{}, MakeTenants(load));
}

}  // namespace

/*! \brief A host: its forwarder, and the port that passes the effects to the
 * model. */
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
  void OnAttemptLost(const LostAttempt&) override {}
  void ShareSuspect(const CrashEvidence&) override {}
  void ShareQuarantine(const CrashEvidence&) override {}
  void OnSuspectCleared(const ClearingAnswer&) override {}
  void OnCrashIgnored(const IgnoredCrash&) override {}
  void OnReachabilityChange(const TargetEntry&, bool) override {}
  void CheckTarget(const TargetEntry&, std::uint32_t, bool) override {}

  ForwardModel& m_model;
  std::size_t m_index;
  Forwarder forwarder;
  //! When the processor becomes idle.
  TimePoint free_at;
  //! Time of the earliest queued timer event of this host.
  std::optional<TimePoint> armed_at;
};

/*! \brief An attempt that was sent and whose reply is not processed yet. */
struct ForwardModel::InFlightAttempt {
  std::size_t host = 0;
  std::size_t target = 0;
  AttemptId id;
  std::string request;
  Duration service_time{};
  AttemptEnd end;
};

/*! \brief A call that has no answer yet. */
struct ForwardModel::OpenCall {
  std::size_t call_class = 0;
  std::size_t flow = 0;
  //! When the call was first submitted.
  TimePoint submitted;
  //! Whether it was refused before.
  bool repeated = false;
  //! Whether the call arrived after the warm-up.
  bool measured = false;
};

ForwardModel::ForwardModel(const ForwardCase& load, std::uint64_t seed)
    : m_load(load),
      m_random(seed),
      m_start(std::chrono::hours(1)),
      m_now(m_start),
      m_request_times(load.shards),
      m_extra_arrivals(load.shards) {
  m_result.call_classes.resize(load.call_classes.size());
  m_result.flows.resize(load.flows.size());
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
  const auto config = MakeConfig(m_load);
  for (std::size_t index = 0; index < m_load.hosts; ++index) {
    ForwardOptions options;
    options.domain = DomainOf(index);
    options.budget = m_load.budget;
    options.wait_rule = m_load.wait_rule;
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
    ScheduleCall(call_class);
  }
  while (!m_events.empty()) {
    const Event event = m_events.Pop();
    m_now = event.at;
    switch (event.kind) {
      case EventKind::kCall:
        OnCall(event.subject);
        break;
      case EventKind::kRetry: {
        const auto retry = m_retries.extract(event.subject);
        Submit(retry.mapped());
        break;
      }
      case EventKind::kTimer: {
        Host& host = *m_hosts[event.subject];
        // Superseded by an earlier timer event. If superseded events were
        // handled, each would schedule another one.
        if (host.armed_at != event.at) {
          break;
        }
        host.armed_at.reset();
        host.forwarder.OnTimer(m_now);
        ArmTimer(event.subject);
        break;
      }
      case EventKind::kArrive:
        OnArrive(event.subject);
        break;
      case EventKind::kDone:
        OnDone(event.subject);
        break;
      case EventKind::kReplyArrive:
        OnReplyArrive(event.subject);
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

void ForwardModel::ScheduleCall(std::size_t call_class) {
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
  ScheduleCall(call_class);
  OpenCall open_call;
  open_call.call_class = call_class;
  open_call.flow = m_load.flows.empty() ? 0 : DrawFlow();
  open_call.submitted = m_now;
  open_call.measured = m_now >= m_start + m_load.warm_up;
  if (open_call.measured) {
    ++m_result.calls;
    ++m_result.call_classes[call_class].calls;
    if (!m_load.flows.empty()) {
      ++m_result.flows[open_call.flow].calls;
    }
  }
  Submit(open_call);
}

std::size_t ForwardModel::DrawFlow() {
  double sum = 0;
  for (const FlowRate& flow : m_load.flows) {
    sum += flow.sent;
  }
  double drawn = m_random.Unit() * sum;
  std::size_t flow = 0;
  while (flow + 1 < m_load.flows.size() && drawn >= m_load.flows[flow].sent) {
    drawn -= m_load.flows[flow].sent;
    ++flow;
  }
  return flow;
}

void ForwardModel::Submit(const OpenCall& open_call) {
  const std::size_t host = m_random.Below(m_load.hosts);
  const CallClass& call_class = m_load.call_classes[open_call.call_class];
  auto request = std::make_shared<OpaqueRequest>();
  request->host = "model";
  request->target =
      RoutePrefix(open_call.call_class) + std::to_string(m_next_id);
  ForwardCall call;
  call.id = CallId(m_next_id++);
  call.request = request;
  call.arrived = m_now;
  call.deadline = open_call.submitted + call_class.timeout;
  if (!m_load.flows.empty()) {
    call.tenant = TenantId(FlowName(open_call.flow));
    call.flow = FlowName(open_call.flow);
  }
  m_open_calls[call.id] = open_call;
  for (std::size_t shard = 0; shard < m_load.shards; ++shard) {
    if (call_class.only_shard.value_or(shard) == shard) {
      m_request_times[shard].push_back(m_now);
    }
  }
  m_hosts[host]->forwarder.Submit(std::move(call), m_now);
  ArmTimer(host);
}

bool ForwardModel::ScheduleRetry(OpenCall open_call, Duration retry_after) {
  constexpr int kHonouredDivisor = 3;
  const Duration time_left = open_call.submitted +
                             m_load.call_classes[open_call.call_class].timeout -
                             m_now;
  if (!m_load.callers_retry || open_call.repeated ||
      time_left <= Duration::zero()) {
    return false;
  }
  open_call.repeated = true;
  const std::uint64_t key = m_next_id++;
  m_retries.emplace(key, open_call);
  m_events.Push(m_now + std::min(retry_after, time_left / kHonouredDivisor),
                EventKind::kRetry, key);
  return true;
}

void ForwardModel::Send(std::size_t host, const OutgoingAttempt& attempt) {
  const auto call_class =
      static_cast<std::size_t>(std::stoul(attempt.request->target.substr(1)));
  const std::uint64_t key = m_next_id++;
  InFlightAttempt in_flight;
  in_flight.host = host;
  in_flight.target =
      static_cast<std::size_t>(std::stoul(attempt.target.id.raw()));
  in_flight.id = attempt.id;
  in_flight.request = attempt.request->target;
  in_flight.service_time = m_load.call_classes[call_class].service_time;
  m_in_flight[key] = in_flight;
  m_events.Push(UseHostProcessor(host) + m_load.one_way_delay,
                EventKind::kArrive, key);
}

void ForwardModel::Cancel(std::size_t host, AttemptId attempt) {
  const auto found = std::ranges::find_if(m_in_flight, [&](const auto& item) {
    return item.second.host == host && item.second.id == attempt;
  });
  if (found == m_in_flight.end()) {
    return;
  }
  const std::size_t target = found->second.target;
  m_targets[target].Drop(found->first);
  m_in_flight.erase(found);
  m_events.Push(m_now + m_load.one_way_delay, EventKind::kCancel, target);
}

void ForwardModel::OnArrive(std::uint64_t attempt) {
  const auto found = m_in_flight.find(attempt);
  if (found == m_in_flight.end()) {
    return;
  }
  const std::size_t target = found->second.target;
  const ArrivalOutcome outcome =
      m_targets[target].Arrive(attempt, found->second.service_time, m_now);
  if (outcome != ArrivalOutcome::kNotConnected) {
    CountArrival(found->second);
  }
  switch (outcome) {
    case ArrivalOutcome::kAccepted:
      StartWork(target);
      break;
    case ArrivalOutcome::kRefused:
      Reply(attempt, AttemptOutcome::kNotExecuted);
      break;
    case ArrivalOutcome::kNotConnected:
      Reply(attempt, AttemptOutcome::kNotSent);
      break;
    case ArrivalOutcome::kIgnored:
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
  const auto found = m_in_flight.find(attempt);
  if (found == m_in_flight.end()) {
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
  InFlightAttempt& in_flight = m_in_flight.at(attempt);
  in_flight.end.id = in_flight.id;
  in_flight.end.outcome = outcome;
  if (outcome != AttemptOutcome::kNotSent) {
    in_flight.end.load = m_targets[in_flight.target].Load();
  }
  constexpr int kOk = 200;
  in_flight.end.response.status = kOk;
  in_flight.end.response.stamp = "stamp";
  m_events.Push(m_now + m_load.one_way_delay, EventKind::kReplyArrive, attempt);
}

TimePoint ForwardModel::UseHostProcessor(std::size_t host) {
  TimePoint& free_at = m_hosts[host]->free_at;
  free_at = std::max(free_at, m_now) + m_load.host_cpu_time;
  return free_at;
}

void ForwardModel::OnReplyArrive(std::uint64_t attempt) {
  const auto found = m_in_flight.find(attempt);
  if (found != m_in_flight.end()) {
    m_events.Push(UseHostProcessor(found->second.host), EventKind::kReply,
                  attempt);
  }
}

void ForwardModel::OnReply(std::uint64_t attempt) {
  const auto found = m_in_flight.find(attempt);
  if (found == m_in_flight.end()) {
    return;
  }
  InFlightAttempt in_flight = std::move(found->second);
  m_in_flight.erase(found);
  m_hosts[in_flight.host]->forwarder.OnAttemptEnd(in_flight.end, m_now);
  ArmTimer(in_flight.host);
}

void ForwardModel::ArmTimer(std::size_t host) {
  Host& host_state = *m_hosts[host];
  const auto next = host_state.forwarder.NextTimer();
  if (!next || (host_state.armed_at && *host_state.armed_at <= *next)) {
    return;
  }
  host_state.armed_at = std::max(*next, m_now);
  m_events.Push(*host_state.armed_at, EventKind::kTimer, host);
}

void ForwardModel::Deliver(CallId call, const ForwardAnswer& answer) {
  const auto found = m_open_calls.find(call);
  if (found == m_open_calls.end()) {
    return;
  }
  const OpenCall open_call = found->second;
  m_open_calls.erase(found);
  if (answer.kind == AnswerKind::kNotRun &&
      ScheduleRetry(open_call, answer.retry_after.value_or(Duration::zero()))) {
    return;
  }
  if (!open_call.measured) {
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
  ++m_result.call_classes[open_call.call_class].served;
  if (!m_load.flows.empty()) {
    ++m_result.flows[open_call.flow].served;
  }
  const Duration latency = m_now - open_call.submitted;
  m_latencies.push_back(latency);
  if (latency > m_load.call_classes[open_call.call_class].objective) {
    ++m_result.late;
    return;
  }
  ++m_result.in_time;
  const double share = 1 - static_cast<double>(answer.missing_parts) /
                               static_cast<double>(m_load.shards);
  m_result.coverage += share * share;
}

void ForwardModel::CountArrival(const InFlightAttempt& in_flight) {
  const std::size_t shard = in_flight.target / m_load.replicas;
  ++m_result.attempts;
  if (m_first_arrivals.insert(in_flight.request + "#" + std::to_string(shard))
          .second) {
    return;
  }
  ++m_result.extra_attempts;
  m_extra_arrivals[shard].push_back(m_now);
}

double ForwardModel::BudgetUsed(std::size_t shard) const {
  const auto count_within = [](const std::vector<TimePoint>& times,
                               TimePoint from, TimePoint to) {
    return static_cast<double>(std::ranges::upper_bound(times, to) -
                               std::ranges::upper_bound(times, from));
  };
  const Duration window = m_load.budget.window;
  double max_used = 0;
  for (const TimePoint end : m_extra_arrivals[shard]) {
    const double bound =
        m_load.budget.ratio *
            count_within(m_request_times[shard], end - window, end) +
        m_load.budget.constant;
    max_used = std::max(
        max_used,
        count_within(m_extra_arrivals[shard], end - window, end) / bound);
  }
  return max_used;
}

ForwardResult ForwardModel::Result() {
  // No event is left, so the remaining calls will never be answered.
  m_result.failed += static_cast<std::uint64_t>(std::ranges::count_if(
      m_open_calls, [](const auto& item) { return item.second.measured; }));
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
  // The runs are independent; they are summed in the order of their seeds.
  std::vector<std::future<ForwardResult>> runs;
  runs.reserve(seeds);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    runs.push_back(std::async(std::launch::async, [&load, seed] {
      return ForwardModel(load, seed).Run();
    }));
  }
  ForwardResult sum;
  for (std::future<ForwardResult>& pending : runs) {
    const ForwardResult run = pending.get();
    sum.calls += run.calls;
    sum.in_time += run.in_time;
    sum.late += run.late;
    sum.refused += run.refused;
    sum.failed += run.failed;
    sum.coverage += run.coverage;
    sum.extra_attempts += run.extra_attempts;
    sum.attempts += run.attempts;
    sum.first_attempts += run.first_attempts;
    sum.first_attempts_other_domains += run.first_attempts_other_domains;
    sum.call_classes.resize(run.call_classes.size());
    for (std::size_t call_class = 0; call_class < run.call_classes.size();
         ++call_class) {
      sum.call_classes[call_class].calls += run.call_classes[call_class].calls;
      sum.call_classes[call_class].served +=
          run.call_classes[call_class].served;
    }
    sum.flows.resize(run.flows.size());
    for (std::size_t flow = 0; flow < run.flows.size(); ++flow) {
      sum.flows[flow].calls += run.flows[flow].calls;
      sum.flows[flow].served += run.flows[flow].served;
    }
    sum.budget_used = std::max(sum.budget_used, run.budget_used);
    sum.p50_ms += run.p50_ms / static_cast<double>(seeds);
  }
  return sum;
}

}  // namespace jacinthdeck::bench
