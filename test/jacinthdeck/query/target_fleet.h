// Simulated targets for engine tests: slots, queues, service times and faults
// on a manual clock.
#ifndef JACINTHDECK_TEST_QUERY_TARGET_FLEET_H_
#define JACINTHDECK_TEST_QUERY_TARGET_FLEET_H_

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/query/engine.h"

namespace jacinthdeck {

/*! \brief Behaviour of the simulated targets. */
struct FleetOptions {
  std::uint32_t slots = 3;
  //! Maximum number of requests that wait at a target; it sheds further ones.
  std::size_t max_waiting = 8;
  //! Mean of the exponentially distributed service time.
  Duration mean_service_time = std::chrono::milliseconds(10);
  //! Time that a message takes in one direction.
  Duration network_latency = std::chrono::microseconds(500);
};

/*! \brief Discrete-event simulation of the targets that the engine sends to. */
class TargetFleet {
 public:
  TargetFleet(std::uint64_t seed, const FleetOptions& options)
      : m_random(seed), m_options(options) {}

  //! Fingerprints of the requests that crash the target that runs them.
  std::set<Fingerprint> crashing;
  //! Number of crashes so far, by fingerprint.
  std::map<Fingerprint, std::size_t> crashes;
  //! Share of requests that end at once with a status drawn at random.
  double fault_rate = 0;
  //! Targets that accept requests and never answer them.
  std::set<TargetId> unresponsive;
  //! Number of requests that started to run on a target, by call.
  std::map<CallId, std::size_t> runs;

  [[nodiscard]] std::optional<TimePoint> NextEventAt() const {
    return m_events.empty() ? std::nullopt
                            : std::optional(m_events.begin()->first);
  }

  void Apply(const Effects& effects, TimePoint now) {
    for (const SendAttempt& send : effects.sends) {
      m_events.emplace(now + m_options.network_latency,
                       Event{send, Step::kArrive});
    }
    for (const CancelAttempt& cancel : effects.cancels) {
      SendAttempt ended;
      ended.attempt = cancel.attempt;
      ended.target = cancel.target;
      m_events.emplace(now + m_options.network_latency,
                       Event{ended, Step::kCancel});
    }
  }

  //! Runs the earliest event and returns the replies that it caused.
  [[nodiscard]] std::vector<AttemptReply> RunNextEvent() {
    const TimePoint now = m_events.begin()->first;
    const Event event = m_events.begin()->second;
    m_events.erase(m_events.begin());
    switch (event.step) {
      case Step::kArrive:
        return Arrive(event.send, now);
      case Step::kEnd:
        return End(event.send, now);
      case Step::kCancel:
        return Cancel(event.send, now);
    }
    return {};
  }

 private:
  enum class Step { kArrive, kEnd, kCancel };
  struct Event {
    SendAttempt send;
    Step step = Step::kArrive;
  };
  struct Target {
    std::map<AttemptId, SendAttempt> running;
    std::deque<SendAttempt> waiting;
  };

  [[nodiscard]] static AttemptReply Ended(const SendAttempt& send,
                                          AttemptStatus status) {
    AttemptReply reply;
    reply.attempt = send.attempt;
    reply.status = status;
    reply.version = send.version;
    reply.range = send.range;
    if (status == AttemptStatus::kAnswered) {
      reply.hits = {Hit{"h" + std::to_string(send.range.begin), 1,
                        std::to_string(send.version.raw())}};
      reply.count = 1;
    }
    return reply;
  }

  std::vector<AttemptReply> Arrive(const SendAttempt& send, TimePoint now) {
    if (m_random.Unit() < fault_rate) {
      return Fault(send);
    }
    Target& target = m_targets[send.target];
    if (unresponsive.contains(send.target)) {
      target.waiting.push_back(send);
      return {};
    }
    if (target.running.size() < m_options.slots) {
      return Begin(target, send, now);
    }
    if (target.waiting.size() >= m_options.max_waiting) {
      return {Ended(send, AttemptStatus::kShed)};
    }
    target.waiting.push_back(send);
    return {};
  }

  std::vector<AttemptReply> Fault(const SendAttempt& send) {
    constexpr AttemptStatus kFaults[] = {
        AttemptStatus::kShed,       AttemptStatus::kNotSent,
        AttemptStatus::kWrongRange, AttemptStatus::kVersionGone,
        AttemptStatus::kLost,       AttemptStatus::kFailed,
        AttemptStatus::kTimedOut,   AttemptStatus::kAnswered};
    AttemptReply reply = Ended(send, kFaults[m_random.Below(8)]);
    if (!ProvesNotRun(reply.status)) {
      ++runs[send.call];
    }
    if (reply.status == AttemptStatus::kAnswered) {
      reply.version = IndexVersion(send.version.raw() + 1);
    }
    return {reply};
  }

  std::vector<AttemptReply> Begin(Target& target,
                                  const SendAttempt& send,
                                  TimePoint now) {
    ++runs[send.call];
    if (crashing.contains(Fingerprint(std::stoull(*send.body)))) {
      return Crash(target, send);
    }
    target.running.emplace(send.attempt, send);
    const double time =
        -std::log(1 - m_random.Unit()) *
        static_cast<double>(m_options.mean_service_time.count());
    m_events.emplace(now + m_options.network_latency +
                         Duration(static_cast<Duration::rep>(time)),
                     Event{send, Step::kEnd});
    return {};
  }

  std::vector<AttemptReply> Crash(Target& target, const SendAttempt& send) {
    ++crashes[Fingerprint(std::stoull(*send.body))];
    std::vector<AttemptReply> replies{Ended(send, AttemptStatus::kLost)};
    for (const auto& [attempt, running] : target.running) {
      replies.push_back(Ended(running, AttemptStatus::kLost));
    }
    for (const SendAttempt& waiting : target.waiting) {
      replies.push_back(Ended(waiting, AttemptStatus::kLost));
    }
    target = Target();
    return replies;
  }

  std::vector<AttemptReply> End(const SendAttempt& send, TimePoint now) {
    Target& target = m_targets[send.target];
    if (target.running.erase(send.attempt) == 0) {
      return {};
    }
    std::vector<AttemptReply> replies{Ended(send, AttemptStatus::kAnswered)};
    FillSlots(target, now, replies);
    return replies;
  }

  void FillSlots(Target& target,
                 TimePoint now,
                 std::vector<AttemptReply>& replies) {
    while (!target.waiting.empty() && target.running.size() < m_options.slots) {
      const SendAttempt next = target.waiting.front();
      target.waiting.pop_front();
      if (next.deadline <= now) {
        replies.push_back(Ended(next, AttemptStatus::kShed));
        continue;
      }
      const auto more = Begin(target, next, now);
      replies.insert(replies.end(), more.begin(), more.end());
    }
  }

  std::vector<AttemptReply> Cancel(const SendAttempt& send, TimePoint now) {
    Target& target = m_targets[send.target];
    std::vector<AttemptReply> replies;
    const bool waited = std::erase_if(target.waiting, [&](const auto& one) {
                          return one.attempt == send.attempt;
                        }) > 0;
    if (waited || target.running.erase(send.attempt) > 0) {
      replies.push_back(Ended(send, AttemptStatus::kCancelled));
      if (!unresponsive.contains(send.target)) {
        FillSlots(target, now, replies);
      }
    }
    return replies;
  }

  Random m_random;
  FleetOptions m_options;
  std::multimap<TimePoint, Event> m_events;
  std::map<TargetId, Target> m_targets;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_QUERY_TARGET_FLEET_H_
