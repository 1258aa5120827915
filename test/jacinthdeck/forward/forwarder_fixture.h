// Forwarder with a manual clock; the test acts as targets and callers.
#ifndef JACINTHDECK_TEST_FORWARD_FORWARDER_FIXTURE_H_
#define JACINTHDECK_TEST_FORWARD_FORWARDER_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/forward/forwarder.h"
#include "support/printers.h"

namespace jacinthdeck {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! \brief Records the decisions of a forwarder. */
struct RecordingPort final : ForwardPort {
  struct Delivered {
    CallId call;
    ForwardAnswer answer;
    CallTrace trace;
  };

  std::vector<OutgoingAttempt> sent;
  std::vector<AttemptId> cancelled;
  std::vector<Delivered> delivered;
  std::vector<LostAttempt> lost;
  std::vector<Fingerprint> suspects;
  std::vector<Fingerprint> quarantines;
  std::vector<ClearingAnswer> cleared;
  std::vector<IgnoredCrash> ignored;
  std::vector<TargetId> checked;
  std::vector<std::pair<TargetId, bool>> reachability;

  void Send(const OutgoingAttempt& attempt) override {
    sent.push_back(attempt);
  }
  void Cancel(AttemptId attempt) override { cancelled.push_back(attempt); }
  void Deliver(CallId call,
               ForwardAnswer answer,
               const CallTrace& trace) override {
    delivered.push_back({call, std::move(answer), trace});
  }
  void OnAttemptLost(const LostAttempt& attempt) override {
    lost.push_back(attempt);
  }
  void ShareSuspect(const CrashEvidence& evidence) override {
    suspects.push_back(evidence.fingerprint);
  }
  void ShareQuarantine(const CrashEvidence& evidence) override {
    quarantines.push_back(evidence.fingerprint);
  }
  void OnSuspectCleared(const ClearingAnswer& answer) override {
    cleared.push_back(answer);
  }
  void OnCrashIgnored(const IgnoredCrash& crash) override {
    ignored.push_back(crash);
  }
  void OnReachabilityChange(const TargetEntry& target,
                            bool reachable) override {
    reachability.emplace_back(target.id, reachable);
  }
  void CheckTarget(const TargetEntry& target, std::uint32_t, bool) override {
    checked.push_back(target.id);
  }
};

/*! \brief Forwarder with four shards and a plain service, three targets each.
 */
struct ForwarderFixture {
  static constexpr std::size_t kShards = 4;
  static constexpr std::size_t kReplicas = 3;
  static constexpr Duration kObjective = milliseconds(100);
  static constexpr Duration kTimeout = milliseconds(1000);

  ManualClock clock;
  RecordingPort port;
  ForwardOptions options;
  Forwarder forwarder{options, port, 1, clock.Now()};
  std::vector<TargetEntry> targets;
  std::uint64_t next_call = 1;

  explicit ForwarderFixture(const ForwardOptions& forward_options = Options())
      : options(forward_options) {
    // Past the window in which a new budget share grows.
    clock.Advance(seconds(20));
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      AddTargets("shard-" + std::to_string(shard));
    }
    AddTargets("plain");
    forwarder.SetTargets(targets, clock.Now());
    BOOST_REQUIRE(forwarder.SetConfig(Config(1)));
  }

  [[nodiscard]] static ForwardOptions Options() {
    ForwardOptions options;
    options.domain = FailureDomain("fd-0");
    options.budget = {0.2, 1000, seconds(10)};
    return options;
  }

  void AddTargets(const std::string& service) {
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      TargetEntry entry;
      entry.id = TargetId(service + "/" + std::to_string(replica));
      entry.service = ServiceId(service);
      entry.address = "127.0.0.1";
      entry.port = static_cast<std::uint16_t>(1000 + targets.size());
      entry.domain = FailureDomain("fd-" + std::to_string(replica));
      entry.slots = 3;
      targets.push_back(entry);
    }
  }

  [[nodiscard]] static Route MakeRoute(const std::string& name,
                                       RepeatRule repeat) {
    Route route;
    route.name = name;
    route.host = "desk.example";
    route.prefix = "/" + name + "/";
    route.repeat = repeat;
    route.timeout = kTimeout;
    route.objective = kObjective;
    route.max_attempts = 2;
    return route;
  }

  [[nodiscard]] static std::vector<Route> Routes() {
    Route fan = MakeRoute("fan", RepeatRule::kIdempotent);
    fan.top_records = 2;
    fan.min_share = 0.75;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      fan.shards.emplace_back("shard-" + std::to_string(shard));
    }
    Route read = MakeRoute("read", RepeatRule::kIdempotent);
    read.services = {{ServiceId("plain"), 1}};
    Route claim = MakeRoute("claim", RepeatRule::kAtMostOnce);
    claim.services = {{ServiceId("plain"), 1}};
    return {fan, read, claim};
  }

  [[nodiscard]] static std::shared_ptr<const RoutingConfig> Config(
      std::uint64_t version,
      const std::vector<Route>& routes = Routes()) {
    std::vector<ServiceConfig> services{{ServiceId("plain"), 30}};
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      services.push_back({ServiceId("shard-" + std::to_string(shard)), 30});
    }
    return std::make_shared<const RoutingConfig>(version, routes, services,
                                                 CallerLimits{});
  }

  CallId Submit(const std::string& path,
                Duration caller_timeout = milliseconds(1500)) {
    auto request = std::make_shared<OpaqueRequest>();
    request->method = "GET";
    request->host = "desk.example";
    request->target = path;
    request->request_id = "id-" + std::to_string(next_call);
    ForwardCall call;
    call.id = CallId(next_call++);
    call.request = request;
    call.arrived = clock.Now();
    call.deadline = clock.Now() + caller_timeout;
    const CallId id = call.id;
    forwarder.Submit(std::move(call), clock.Now());
    return id;
  }

  //! Advances the clock from timer to timer, and processes each timer that is
  //! due.
  void Advance(Duration step) {
    const TimePoint end = clock.Now() + step;
    while (clock.Now() < end) {
      const auto next = forwarder.NextTimer();
      const TimePoint at = std::min(end, next.value_or(end));
      clock.Advance(at - clock.Now());
      forwarder.OnTimer(clock.Now());
      if (next && *next <= clock.Now()) {
        clock.Advance(Duration(1));
      }
    }
  }

  void Answer(const OutgoingAttempt& attempt, const std::string& body = "") {
    AttemptEnd end;
    end.id = attempt.id;
    end.outcome = AttemptOutcome::kResponse;
    end.response.status = 200;
    end.response.stamp = "stamp-of-" + attempt.target.id.raw();
    end.response.body = body;
    forwarder.OnAttemptEnd(end, clock.Now());
  }

  void Fail(const OutgoingAttempt& attempt, int status) {
    AttemptEnd end;
    end.id = attempt.id;
    end.outcome = AttemptOutcome::kResponse;
    end.response.status = status;
    end.response.stamp = "stamp";
    forwarder.OnAttemptEnd(end, clock.Now());
  }

  void End(const OutgoingAttempt& attempt,
           AttemptOutcome outcome,
           bool connection_lost = false) {
    AttemptEnd end;
    end.id = attempt.id;
    end.outcome = outcome;
    end.connection_lost = connection_lost;
    forwarder.OnAttemptEnd(end, clock.Now());
  }

  //! Ends the target of an attempt: its connection is lost, and further ones
  //! are refused.
  void Crash(const OutgoingAttempt& attempt) {
    const OutgoingAttempt crashed = attempt;
    End(crashed, AttemptOutcome::kBroken, true);
    BOOST_REQUIRE(!port.checked.empty());
    BOOST_REQUIRE(port.checked.back() == crashed.target.id);
    forwarder.OnTargetChecked(crashed.target.id, TargetCheck::kUnreachable,
                              clock.Now());
  }

  //! Submits calls that are answered after a given time, so that latencies are
  //! measured.
  void WarmUp(const std::string& path, Duration latency, int calls = 64) {
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = port.sent.size();
      (void)Submit(path);
      Advance(latency);
      for (std::size_t at = before; at < port.sent.size(); ++at) {
        Answer(port.sent[at], std::string(16, 'a'));
      }
    }
    port.sent.clear();
    port.delivered.clear();
  }

  //! Makes all targets of the plain service but one drain.
  void OfferOnlyTarget(const TargetId& id) {
    std::vector<TargetEntry> entries = targets;
    for (TargetEntry& entry : entries) {
      entry.draining = entry.service == ServiceId("plain") && entry.id != id;
    }
    forwarder.SetTargets(entries, clock.Now());
  }

  //! Lets each target of the plain service answer some calls after a given
  //! time, and report its load with the last answer.
  void ReportLoadOfAllTargets(const LoadReport& load, Duration latency) {
    constexpr int kCalls = 16;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      OfferOnlyTarget(TargetId("plain/" + std::to_string(i)));
      WarmUp("/read/" + std::to_string(i), latency, kCalls);
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      OfferOnlyTarget(TargetId("plain/" + std::to_string(i)));
      (void)Submit("/read/" + std::to_string(i));
      if (port.sent.empty()) {
        // A call that waits for room has no attempt yet, and no other call may
        // lack one: its target would report no load.
        BOOST_REQUIRE(forwarder.waiting_calls() > 0);
        continue;
      }
      AttemptEnd end;
      end.id = port.sent.back().id;
      end.outcome = AttemptOutcome::kResponse;
      end.response.status = 200;
      end.response.stamp = "stamp";
      end.load = load;
      forwarder.OnAttemptEnd(end, clock.Now());
    }
    forwarder.SetTargets(targets, clock.Now());
    port.sent.clear();
    port.delivered.clear();
  }

  [[nodiscard]] const RecordingPort::Delivered& OnlyAnswer() const {
    BOOST_REQUIRE_EQUAL(port.delivered.size(), 1U);
    return port.delivered.front();
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_FORWARD_FORWARDER_FIXTURE_H_
