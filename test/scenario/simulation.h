// Simulates one host with a store, targets and callers that a script controls,
// on a manual clock.
#ifndef JACINTHDECK_TEST_SCENARIO_SIMULATION_H_
#define JACINTHDECK_TEST_SCENARIO_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/discovery/knowledge.h"
#include "jacinthdeck/forward/forwarder.h"
#include "platform/store_codec.h"

namespace jacinthdeck::scenario {

/*! \brief How a target treats its requests. */
struct Behaviour {
  Duration latency = std::chrono::milliseconds(5);
  //! HTTP status of its answers.
  int status = 200;
  //! Runs requests but never answers.
  bool mute = false;
  //! Refuses requests without running them.
  bool sheds = false;
  //! Runs requests but closes the connection before it answers.
  bool drops_connection = false;
};

/*! \brief Answer that a caller received. */
struct CallEnd {
  AnswerKind kind = AnswerKind::kNotRun;
  ForwardReason reason = ForwardReason::kNone;
  std::uint32_t missing = 0;
  std::uint32_t answered = 0;
  TimePoint at;
};

/**
 * \brief Runs the discovery and forwarding code of one host and checks the
 * promises at each event.
 *
 * The promises: a call gets at most one answer; a request that may not be
 * repeated runs at most once; a request that was refused as not run never runs,
 * and its refusal has a retry time; the parts of an answer belong to the shards
 * of one configuration version; that version never decreases.
 */
class Simulation final : private ForwardPort {
 public:
  explicit Simulation(std::uint64_t seed);

  //! Descriptions of failed expectations and broken promises.
  [[nodiscard]] const std::vector<std::string>& failures() const noexcept {
    return m_failures;
  }
  void AddFailure(const std::string& failure) { m_failures.push_back(failure); }

  // Writes of operators and targets to the store, its availability, and the
  // behaviour of targets.
  void PutConfig(const std::string& json);
  void PutTarget(const std::string& id, const std::string& json);
  void RemoveTarget(const std::string& id);
  void SetStoreUnavailable() { m_discovery_state.OnStoreAway(); }
  void SetStoreAvailable();
  void SetBehaviour(const std::string& id, const Behaviour& behaviour);
  [[nodiscard]] Behaviour BehaviourOf(const std::string& id) const;

  // Callers.
  std::uint64_t Submit(const std::string& path,
                       bool at_most_once,
                       Duration timeout);
  void Abandon(std::uint64_t call);

  /*! \brief Advances the clock, running all timers and attempt ends that become
   * due. */
  void Advance(Duration time);

  [[nodiscard]] std::optional<CallEnd> EndOf(std::uint64_t call) const;
  [[nodiscard]] std::uint32_t RunsAt(const std::string& target) const;
  [[nodiscard]] std::uint32_t RunsOf(std::uint64_t call) const;
  [[nodiscard]] Duration Elapsed() const { return m_clock.Now() - m_start; }

 private:
  struct ScheduledEnd {
    AttemptEnd end;
    std::string target;
  };
  struct CallRecord {
    bool at_most_once = false;
    std::uint32_t runs = 0;
    std::optional<CallEnd> end;
  };

  void Send(const OutgoingAttempt& attempt) override;
  void Cancel(AttemptId attempt) override;
  void Deliver(CallId call,
               ForwardAnswer answer,
               const CallTrace& trace) override;
  void OnAttemptLost(const LostAttempt& /*lost*/) override {}
  void ShareSuspect(const CrashEvidence& /*evidence*/) override {}
  void ShareQuarantine(const CrashEvidence& /*evidence*/) override {}
  void OnSuspectCleared(const ClearingAnswer& /*answer*/) override {}
  void OnCrashIgnored(const IgnoredCrash& /*crash*/) override {}
  void OnReachabilityChange(const TargetEntry& /*target*/,
                            bool /*reachable*/) override {}
  void CheckTarget(const TargetEntry& /*target*/,
                   std::uint32_t /*connection_limit*/,
                   bool /*keep*/) override {}

  void ApplyStoreChange(const StoreChange& change);
  void ApplyDiscoveryChange(const DiscoveryChange& change);
  void RecordRun(const OutgoingAttempt& attempt);
  void CheckParts(const ForwardAnswer& answer, const CallTrace& trace);

  ManualClock m_clock;
  const TimePoint m_start = m_clock.Now();
  platform::StoreCodec m_codec;
  DiscoveryState m_discovery_state{m_codec};
  Random m_random;
  Forwarder m_forwarder;
  std::uint64_t m_revision = 0;
  std::uint64_t m_next_call = 1;
  std::uint64_t m_config_version = 0;
  std::map<std::string, Behaviour> m_behaviours;
  std::map<std::string, std::uint32_t> m_runs;
  std::map<std::uint64_t, CallRecord> m_calls;
  std::multimap<TimePoint, ScheduledEnd> m_scheduled_ends;
  std::set<std::uint64_t> m_cancelled;
  std::vector<std::string> m_failures;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_SIMULATION_H_
