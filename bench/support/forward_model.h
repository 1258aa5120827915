// Several forwarders over shared targets in model time: what a policy is tried
// on in seconds, before real processes.
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
 * \brief Plays one case with one seed.
 *
 * Each host has a forwarder of its own and no word from the others, as in
 * service. Callers ask once: what a refused caller does next is not played.
 * Processor time, handshakes and callers' links are left out.
 */
class ForwardModel {
 public:
  ForwardModel(const ForwardCase& load, std::uint64_t seed);
  ~ForwardModel();
  ForwardModel(const ForwardModel&) = delete;
  ForwardModel& operator=(const ForwardModel&) = delete;

  /*! \brief Runs to the end; call it once. */
  [[nodiscard]] ForwardResult Run();

 private:
  struct Host;
  struct Flight;
  struct Asked;

  void SetUp();
  void ArmCall(std::size_t call_class);
  void OnCall(std::size_t call_class);
  void OnArrive(std::uint64_t attempt);
  void OnDone(std::uint64_t attempt);
  void OnAtHost(std::uint64_t attempt);
  void OnReply(std::uint64_t attempt);
  //! Has the host's processor work on a message; gives the end of that.
  TimePoint HostDone(std::size_t host);
  void StartWork(std::size_t target);
  void Reply(std::uint64_t attempt, AttemptOutcome outcome);
  void Rearm(std::size_t host);
  void Send(std::size_t host, const OutgoingAttempt& attempt);
  void Cancel(std::size_t host, AttemptId attempt);
  void Deliver(CallId call, const ForwardAnswer& answer);
  void CountArrival(const Flight& flight);
  [[nodiscard]] double BudgetUsed(std::size_t shard) const;
  [[nodiscard]] ForwardResult Result();

  const ForwardCase m_load;
  Random m_random;
  const TimePoint m_start;
  TimePoint m_now;
  EventQueue m_events;
  std::vector<std::unique_ptr<Host>> m_hosts;
  //! Shard after shard, each with its replicas.
  std::vector<ModelTarget> m_targets;
  std::vector<TargetEntry> m_entries;
  std::unordered_map<std::uint64_t, Flight> m_flights;
  std::unordered_map<CallId, Asked> m_asked;
  std::uint64_t m_next_id = 1;
  //! By shard: calls that ask it.
  std::vector<std::vector<TimePoint>> m_requests;
  //! By shard: arrivals beyond the first of a call.
  std::vector<std::vector<TimePoint>> m_extras;
  //! Call and shard of each first arrival.
  std::unordered_set<std::string> m_arrived;
  std::vector<Duration> m_latencies;
  ForwardResult m_result;
};

/*! \brief Plays a case with seeds 1 to a count; figures are summed. */
[[nodiscard]] ForwardResult RunSeeds(const ForwardCase& load,
                                     std::uint64_t seeds);

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FORWARD_MODEL_H_
