// Events of the simulated fleet: requests, crashes, restarts, shared state.
#include "jacinthdeck/forward/crashing_fleet.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kMinWork = milliseconds(4);
constexpr Duration kMaxWork = milliseconds(12);
constexpr Duration kOtherInterval = milliseconds(5);
constexpr Duration kWarmUp = seconds(3);
//! Time after which a connection to a host without power fails.
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr Duration kRouteTimeout = milliseconds(1500);
constexpr Duration kObjective = milliseconds(100);
//! How long a target that is restarted in turn drains, and is then away.
constexpr Duration kDrainTime = milliseconds(100);
constexpr std::uint32_t kMaxAttempts = 2;
constexpr std::string_view kCrashingPath = "/search/crashing";

[[nodiscard]] ServiceId ShardName(std::size_t shard) {
  return ServiceId("shard-" + std::to_string(shard));
}

[[nodiscard]] std::shared_ptr<const RoutingConfig> MakeConfig(
    std::size_t shards) {
  Route route;
  route.name = "search";
  route.host = "desk.example";
  route.prefix = "/search/";
  route.repeat = RepeatRule::kIdempotent;
  route.timeout = kRouteTimeout;
  route.objective = kObjective;
  route.max_attempts = kMaxAttempts;
  route.top_records = 2;
  route.min_share = 0.89;
  std::vector<ServiceConfig> services;
  for (std::size_t shard = 0; shard < shards; ++shard) {
    route.shards.push_back(ShardName(shard));
    services.push_back({ShardName(shard), 100});
  }
  return std::make_shared<const RoutingConfig>(1, std::vector<Route>{route},
                                               services, CallerLimits{});
}

}  // namespace

struct CrashingFleet::Host final : ForwardPort {
  Host(CrashingFleet& fleet, std::size_t index, const ForwardOptions& options)
      : m_fleet(fleet),
        m_index(index),
        forwarder(options, *this, fleet.m_random.DrawSeed(), fleet.m_now) {}

  void Send(const OutgoingAttempt& attempt) override {
    m_fleet.Send(m_index, attempt);
  }
  void Cancel(AttemptId attempt) override { m_fleet.Cancel(m_index, attempt); }
  void Deliver(CallId call, ForwardAnswer answer, const CallTrace&) override {
    const bool refused = answer.reason == ForwardReason::kCrashesTargets;
    CrashingFleetResult& result = m_fleet.m_result;
    if (m_fleet.m_crashing_calls.contains(call.raw())) {
      result.refused += refused ? 1 : 0;
      result.answered += answer.kind == AnswerKind::kMerged ? 1 : 0;
    } else {
      result.others_refused += refused ? 1 : 0;
      m_fleet.OnOtherAnswer(call, answer);
    }
  }
  void OnAttemptLost(const LostAttempt&) override {}
  void ShareSuspect(const CrashEvidence& evidence) override {
    ToOthers([evidence](Forwarder& other, TimePoint now) {
      other.AddSuspect(evidence.fingerprint, evidence.service, now);
    });
  }
  void ShareQuarantine(const CrashEvidence& evidence) override {
    ToOthers([evidence](Forwarder& other, TimePoint now) {
      other.QuarantineRequest(evidence.fingerprint, evidence.service, now);
    });
  }
  void OnSuspectCleared(const ClearingAnswer&) override {}
  void OnCrashIgnored(const IgnoredCrash&) override {}
  void OnReachabilityChange(const TargetEntry&, bool) override {}
  void CheckTarget(const TargetEntry& target, std::uint32_t, bool) override {
    m_fleet.Check(m_index, target);
  }

  template <typename Action>
  void ToOthers(Action action) {
    if (!m_fleet.m_options.store_available) {
      return;
    }
    m_fleet.At(m_fleet.m_now + m_fleet.m_options.store_delay, [this, action] {
      for (const auto& other : m_fleet.m_hosts) {
        if (other.get() != this) {
          action(other->Use(), m_fleet.m_now);
        }
      }
    });
  }

  //! Returns the forwarder to pass an event to it.
  Forwarder& Use() {
    m_next_timer.reset();
    return forwarder;
  }

  //! The forwarder is asked for its timer only after an event: with many hosts
  //! the run would otherwise spend its time on that.
  [[nodiscard]] TimePoint NextTimer() {
    if (!m_next_timer) {
      m_next_timer = forwarder.NextTimer().value_or(TimePoint::max());
    }
    return *m_next_timer;
  }

  CrashingFleet& m_fleet;
  const std::size_t m_index;
  std::optional<TimePoint> m_next_timer;
  Forwarder forwarder;
};

struct CrashingFleet::Process {
  std::size_t shard = 0;
  std::size_t replica = 0;
  TargetEntry entry;
  bool running = true;
  //! When its entry is no longer listed.
  std::optional<TimePoint> unlisted_at;
};

struct CrashingFleet::Flight {
  std::size_t host = 0;
  OutgoingAttempt attempt;
  bool running = false;
  //! Status of a complete response.
  int status = 200;
};

CrashingFleet::CrashingFleet(const CrashingFleetOptions& options)
    : m_options(options), m_random(options.seed) {
  for (std::size_t shard = 0; shard < options.shards; ++shard) {
    for (std::size_t replica = 0; replica < options.replicas; ++replica) {
      StartProcess(shard, replica);
    }
  }
  for (std::size_t index = 0; index < options.hosts; ++index) {
    ForwardOptions host;
    host.host = HostId("host-" + std::to_string(index));
    host.domain = FailureDomain("fd-" + std::to_string(index % 3));
    host.budget = {0.2, 1000, seconds(10)};
    m_hosts.push_back(std::make_unique<Host>(*this, index, host));
    Forwarder& forwarder = m_hosts.back()->Use();
    forwarder.SetHosts(static_cast<std::uint32_t>(options.hosts), true, m_now);
    (void)forwarder.SetConfig(MakeConfig(options.shards));
  }
  ShareTargets();
}

CrashingFleet::~CrashingFleet() = default;

Duration CrashingFleet::Between(Duration least, Duration most) {
  return least +
         Duration(static_cast<Duration::rep>(
             m_random.Unit() * static_cast<double>((most - least).count())));
}

void CrashingFleet::At(TimePoint at, std::function<void()> action) {
  m_events.push({at, m_sequence++, std::move(action)});
}

void CrashingFleet::AdvanceTo(TimePoint end) {
  while (true) {
    TimePoint next = m_events.empty() ? end : m_events.top().at;
    for (const auto& host : m_hosts) {
      next = std::min(next, host->NextTimer());
    }
    if (next >= end) {
      m_now = end;
      return;
    }
    m_now = std::max(next, m_now);
    if (!m_events.empty() && m_events.top().at <= m_now) {
      const auto action = m_events.top().action;
      m_events.pop();
      action();
      continue;
    }
    for (const auto& host : m_hosts) {
      if (host->NextTimer() <= m_now) {
        host->Use().OnTimer(m_now);
      }
    }
    m_now += Duration(1);
  }
}

CrashingFleetResult CrashingFleet::Run(Duration duration) {
  SubmitOther();
  if (m_options.answered_before) {
    SubmitCrashing();
  }
  if (m_options.crashes_per_second > 0) {
    CrashAnyTarget();
  }
  AdvanceTo(m_now + kWarmUp);
  m_measuring = true;
  if (m_options.lost_replica) {
    LoseReplica(*m_options.lost_replica);
  }
  if (m_options.restart_interval > Duration::zero()) {
    Restart(0);
  }
  if (!m_options.answered_before) {
    SubmitCrashing();
  }
  AdvanceTo(m_now + duration);
  return m_result;
}

void CrashingFleet::SubmitOther() {
  At(m_now + kOtherInterval, [this] { SubmitOther(); });
  m_result.other_calls += m_measuring ? 1 : 0;
  const bool popular =
      m_options.popular_share > 0 && m_random.Unit() < m_options.popular_share;
  const std::string path =
      popular ? "/search/popular" : "/search/" + std::to_string(m_next_call);
  (void)Submit(m_random.Below(m_hosts.size()), path, false);
}

void CrashingFleet::SubmitCrashing() {
  At(m_now + kRequestInterval, [this] { SubmitCrashing(); });
  m_result.calls += m_measuring ? 1 : 0;
  const std::size_t host = m_random.Below(m_hosts.size());
  const CallId call = Submit(host, std::string(kCrashingPath), true);
  if (m_options.caller_patience) {
    At(m_now + *m_options.caller_patience,
       [this, host, call] { m_hosts[host]->Use().Abandon(call, m_now); });
  }
}

CallId CrashingFleet::Submit(std::size_t host,
                             const std::string& path,
                             bool crashing) {
  auto request = std::make_shared<OpaqueRequest>();
  request->method = "GET";
  request->host = "desk.example";
  request->target = path;
  request->request_id = "id-" + std::to_string(m_next_call);
  ForwardCall call;
  call.id = CallId(m_next_call++);
  call.request = std::move(request);
  call.arrived = m_now;
  call.deadline = m_now + kRouteTimeout;
  const CallId id = call.id;
  if (crashing) {
    m_crashing_calls.insert(id.raw());
  } else {
    const bool later = m_first_end && m_now >= *m_first_end + kSettlingTime;
    m_result.later_calls += later ? 1 : 0;
    m_other_calls[id.raw()] = {m_now, m_measuring, later};
  }
  m_hosts[host]->Use().Submit(std::move(call), m_now);
  return id;
}

void CrashingFleet::Send(std::size_t host, const OutgoingAttempt& attempt) {
  const std::uint64_t id = m_next_flight++;
  m_flights[id] = {host, attempt, false};
  At(m_now + kNetworkDelay, [this, id] { Arrive(id); });
}

// A target goes on with a request whose caller has gone.
void CrashingFleet::Cancel(std::size_t host, AttemptId attempt) {
  for (auto& [id, flight] : m_flights) {
    if (flight.host == host && flight.attempt.id == attempt) {
      flight.attempt.id = AttemptId(0);
    }
  }
}

const CrashingFleet::Process* CrashingFleet::ProcessAt(
    const TargetEntry& target) const {
  for (const auto& [id, process] : m_processes) {
    if (process.running && process.entry.port == target.port) {
      return &process;
    }
  }
  return nullptr;
}

Duration CrashingFleet::RefusalTime() const {
  return m_options.crash == CrashKind::kSilent ? kConnectTimeout
                                               : kNetworkDelay;
}

void CrashingFleet::Check(std::size_t host, const TargetEntry& target) {
  const bool reachable = ProcessAt(target) != nullptr;
  At(m_now + (reachable ? 2 * kNetworkDelay : RefusalTime()),
     [this, host, id = target.id, reachable] {
       const TargetCheck failure = m_options.crash == CrashKind::kSilent
                                       ? TargetCheck::kTimedOut
                                       : TargetCheck::kUnreachable;
       m_hosts[host]->Use().OnTargetChecked(
           id, reachable ? TargetCheck::kReachable : failure, m_now);
     });
}

void CrashingFleet::Arrive(std::uint64_t id) {
  const auto found = m_flights.find(id);
  const TargetEntry& target = found->second.attempt.target;
  const Process* process = ProcessAt(target);
  if (m_options.crash != CrashKind::kSilent) {
    CountRefusal(found->second.host, target.id, process == nullptr);
  }
  if (process == nullptr) {
    At(m_now + RefusalTime(),
       [this, id] { End(id, AttemptOutcome::kNotSent, false); });
    return;
  }
  if (process->entry.id != target.id) {
    At(m_now + kNetworkDelay,
       [this, id] { End(id, AttemptOutcome::kWrongTarget, false); });
    return;
  }
  if (process->shard < m_options.shedding_shards) {
    At(m_now + kNetworkDelay,
       [this, id] { End(id, AttemptOutcome::kNotExecuted, false); });
    return;
  }
  if (m_options.failed_answers > 0 &&
      m_random.Unit() < m_options.failed_answers) {
    constexpr int kServerError = 500;
    found->second.status = kServerError;
    At(m_now + kNetworkDelay,
       [this, id] { End(id, AttemptOutcome::kResponse, false); });
    return;
  }
  found->second.running = true;
  const std::string& request_id = found->second.attempt.request->request_id;
  const bool crashing = m_measuring && m_options.crash != CrashKind::kNone &&
                        found->second.attempt.request->target == kCrashingPath;
  if (crashing && m_third_end && m_now > *m_third_end + kContactTime) {
    m_result.late_calls.insert(request_id);
  }
  Run(id, crashing);
}

void CrashingFleet::Run(std::uint64_t id, bool crashing) {
  const std::string process = m_flights.at(id).attempt.target.id.raw();
  const bool survives = m_processes.at(process).shard >=
                        m_options.shards - m_options.surviving_shards;
  if (crashing && !survives) {
    At(m_now + Between(m_options.min_crash_delay, m_options.max_crash_delay),
       [this, process] { Crash(process, true); });
    return;
  }
  At(m_now + Between(kMinWork, kMaxWork), [this, id, process] {
    if (!m_processes.at(process).running) {
      return;
    }
    const Process& target = m_processes.at(process);
    const std::size_t index =
        (target.shard * m_options.replicas) + target.replica;
    const bool lossy = !m_options.half_lossy || index % 2 == 0;
    const bool lost = m_random.Unit() < m_options.lost_answers && lossy;
    At(m_now + kNetworkDelay, [this, id, lost] {
      End(id, lost ? AttemptOutcome::kBroken : AttemptOutcome::kResponse, lost);
    });
  });
}

void CrashingFleet::End(std::uint64_t id, AttemptOutcome outcome, bool lost) {
  const auto found = m_flights.find(id);
  if (found == m_flights.end()) {
    return;
  }
  const Flight flight = found->second;
  m_flights.erase(found);
  if (flight.attempt.id == AttemptId(0)) {
    return;
  }
  AttemptEnd end;
  end.id = flight.attempt.id;
  end.outcome = outcome;
  end.connection_lost = lost;
  end.unreachable = outcome == AttemptOutcome::kNotSent &&
                    m_options.crash != CrashKind::kSilent;
  if (outcome == AttemptOutcome::kResponse) {
    end.response.status = flight.status;
    end.response.stamp = "stamp-of-" + flight.attempt.target.id.raw();
    end.response.body = std::string(16, 'a');
  }
  m_hosts[flight.host]->Use().OnAttemptEnd(end, m_now);
}

void CrashingFleet::Crash(const std::string& id, bool by_request) {
  Process& process = m_processes.at(id);
  if (!process.running) {
    return;
  }
  process.running = false;
  process.unlisted_at = m_now + kEntryLifetime;
  if (by_request && ++m_result.ended == 3) {
    m_third_end = m_now;
  }
  if (by_request && ++m_ends_by_shard[process.shard] == 2) {
    ++m_result.shards_hit_twice;
  }
  m_first_end = m_first_end.value_or(m_now);
  for (const auto& [flight, sent] : m_flights) {
    const bool here = sent.running && sent.attempt.target.id.raw() == id;
    if (here && m_options.crash != CrashKind::kSilent) {
      At(m_now + kNetworkDelay, [this, flight = flight] {
        End(flight, AttemptOutcome::kBroken, true);
      });
    }
  }
  At(*process.unlisted_at, [this] { ShareTargets(); });
  At(m_now + kRestartTime,
     [this, shard = process.shard, replica = process.replica] {
       StartProcess(shard, replica);
       ShareTargets();
     });
}

void CrashingFleet::CrashAnyTarget() {
  At(m_now + Duration(static_cast<Duration::rep>(1e6 /
                                                 m_options.crashes_per_second)),
     [this] { CrashAnyTarget(); });
  std::vector<std::string> running;
  for (const auto& [id, process] : m_processes) {
    if (process.running) {
      running.push_back(id);
    }
  }
  Crash(running[m_random.Below(running.size())], false);
}

void CrashingFleet::LoseReplica(std::size_t replica) {
  std::vector<std::string> lost;
  for (const auto& [id, process] : m_processes) {
    if (process.running && process.replica == replica) {
      lost.push_back(id);
    }
  }
  for (const std::string& id : lost) {
    Crash(id, false);
  }
}

void CrashingFleet::Restart(std::size_t index) {
  const std::size_t targets = m_options.shards * m_options.replicas;
  for (auto& [id, process] : m_processes) {
    const bool next =
        process.running &&
        (process.replica * m_options.shards) + process.shard == index;
    if (next && !process.entry.draining) {
      process.entry.draining = true;
      At(m_now + kDrainTime, [this, id = id] { Crash(id, false); });
    }
  }
  ShareTargets();
  At(m_now + m_options.restart_interval,
     [this, next = (index + 1) % targets] { Restart(next); });
}

void CrashingFleet::OnOtherAnswer(CallId call, const ForwardAnswer& answer) {
  const auto found = m_other_calls.find(call.raw());
  const OtherCall other = found->second;
  m_other_calls.erase(found);
  const bool answered = answer.kind == AnswerKind::kMerged;
  const bool whole = answered && answer.missing_parts == 0 &&
                     m_now - other.submitted <= kObjective;
  m_result.others_whole += other.measured && whole ? 1 : 0;
  m_result.later_answered += other.later && answered ? 1 : 0;
}

void CrashingFleet::CountRefusal(std::size_t host,
                                 const TargetId& target,
                                 bool refused) {
  if (!refused) {
    m_refused_at.erase({host, target.raw()});
    return;
  }
  const auto [found, first] =
      m_refused_at.try_emplace({host, target.raw()}, m_now + kNetworkDelay);
  const TimePoint sent = m_now - kNetworkDelay;
  m_result.repeated_refusals += !first && sent > found->second ? 1 : 0;
}

void CrashingFleet::StartProcess(std::size_t shard, std::size_t replica) {
  Process process;
  process.shard = shard;
  process.replica = replica;
  process.entry.id = TargetId("process-" + std::to_string(m_processes.size()));
  process.entry.service = ShardName(shard);
  process.entry.address = "127.0.0.1";
  process.entry.port =
      static_cast<std::uint16_t>(1000 + (shard * m_options.replicas) + replica);
  process.entry.domain = FailureDomain("fd-" + std::to_string(replica));
  process.entry.slots = 3;
  m_processes.emplace(process.entry.id.raw(), process);
}

void CrashingFleet::ShareTargets() {
  std::vector<TargetEntry> entries;
  for (const auto& [id, process] : m_processes) {
    if (!process.unlisted_at || m_now < *process.unlisted_at) {
      entries.push_back(process.entry);
    }
  }
  for (const auto& host : m_hosts) {
    host->Use().SetTargets(entries, m_now);
  }
}

}  // namespace jacinthdeck
