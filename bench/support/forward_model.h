// Discrete-event simulation of several forwarders over shared targets, to
// evaluate a policy within seconds before tests with real processes.
#ifndef JACINTHDECK_BENCH_SUPPORT_FORWARD_MODEL_H_
#define JACINTHDECK_BENCH_SUPPORT_FORWARD_MODEL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/forward/forwarder.h"
#include "support/event_queue.h"
#include "support/forward_case.h"
#include "support/model_target.h"

namespace jacinthdeck::bench {

/**
 * \brief Simulates one case with one seed.
 *
 * Each host has its own forwarder, which decides without messages from the
 * other hosts, as in production. Callers send each call once, or once more if
 * it is refused and the case has callers that retry. Not simulated are
 * connection handshakes, the connections of callers, and processor time other
 * than ForwardCase::host_cpu_time.
 */
class ForwardModel {
 public:
  ForwardModel(const ForwardCase& load, std::uint64_t seed);
  ~ForwardModel();
  ForwardModel(const ForwardModel&) = delete;
  ForwardModel& operator=(const ForwardModel&) = delete;

  /*! \brief Runs until no event is left; may be called only once. */
  [[nodiscard]] ForwardResult Run();

 private:
  struct Host;
  struct InFlightAttempt;
  struct OpenCall;

  void SetUp();
  void ScheduleCall(std::size_t call_class);
  void OnCall(std::size_t call_class);
  //! Submits a call to a random host.
  void Submit(const OpenCall& open_call);
  //! Lets a refused caller call again; returns false if it does not.
  [[nodiscard]] bool ScheduleRetry(OpenCall open_call, Duration retry_after);
  [[nodiscard]] std::size_t DrawFlow();
  void OnArrive(std::uint64_t attempt);
  void OnDone(std::uint64_t attempt);
  void OnReplyArrive(std::uint64_t attempt);
  void OnReply(std::uint64_t attempt);
  //! Queues a message for the host's processor; returns when it is processed.
  TimePoint UseHostProcessor(std::size_t host);
  //! Starts queued requests of a target, or schedules that for the end of its
  //! pause.
  void StartWork(std::size_t target);
  void Reply(std::uint64_t attempt, AttemptOutcome outcome);
  void ArmTimer(std::size_t host);
  void Send(std::size_t host, const OutgoingAttempt& attempt);
  void Cancel(std::size_t host, AttemptId attempt);
  void Deliver(CallId call, const ForwardAnswer& answer);
  void CountArrival(const InFlightAttempt& in_flight);
  //! Returns ForwardResult::budget_used for one shard.
  [[nodiscard]] double BudgetUsed(std::size_t shard) const;
  [[nodiscard]] ForwardResult Result();

  const ForwardCase m_load;
  Random m_random;
  const TimePoint m_start;
  TimePoint m_now;
  EventQueue m_events;
  std::vector<std::unique_ptr<Host>> m_hosts;
  //! Replica r of shard s has the index s * replicas + r.
  std::vector<ModelTarget> m_targets;
  std::vector<TargetEntry> m_entries;
  std::unordered_map<std::uint64_t, InFlightAttempt> m_in_flight;
  std::unordered_map<CallId, OpenCall> m_open_calls;
  //! Calls that are submitted again, by the subject of their event.
  std::unordered_map<std::uint64_t, OpenCall> m_retries;
  std::uint64_t m_next_id = 1;
  //! For each shard, when the calls that query it arrived.
  std::vector<std::vector<TimePoint>> m_request_times;
  //! For each shard, when attempts arrived after the first one of their call.
  std::vector<std::vector<TimePoint>> m_extra_arrivals;
  //! Call and shard of the attempts that arrived first.
  std::unordered_set<std::string> m_first_arrivals;
  std::vector<Duration> m_latencies;
  ForwardResult m_result;
};

/**
 * \brief Simulates a case once for each seed from 1 to `seeds`.
 * \return Sums over the runs; for budget_used the maximum, for p50_ms the mean.
 */
[[nodiscard]] ForwardResult RunSeeds(const ForwardCase& load,
                                     std::uint64_t seeds);

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FORWARD_MODEL_H_
