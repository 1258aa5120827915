// A host's decisions with targets and a store that a script plays, on a paused
// clock.
#ifndef JACINTHDECK_TEST_SCENARIO_WORLD_H_
#define JACINTHDECK_TEST_SCENARIO_WORLD_H_

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

/*! \brief How a target takes its requests. */
struct Behaviour {
  Duration latency = std::chrono::milliseconds(5);
  //! Status of its answers.
  int status = 200;
  //! It runs requests and never answers.
  bool mute = false;
  //! It refuses requests and does not run them.
  bool sheds = false;
  //! It runs requests and its connection ends.
  bool loses = false;
};

/*! \brief What a caller got. */
struct CallEnd {
  AnswerKind kind = AnswerKind::kNotRun;
  ForwardReason reason = ForwardReason::kNone;
  std::uint32_t missing = 0;
  std::uint32_t answered = 0;
  TimePoint at;
};

/**
 * \brief Runs a script's events and checks the promises at each of them.
 *
 * Every call gets one answer; a request that may not be repeated runs once at
 * most; one that was refused as not run never runs; parts of an answer belong
 * to the shards of one configuration version; that version never falls.
 */
class World final : private ForwardPort {
 public:
  explicit World(std::uint64_t seed);

  //! Promises that were broken, in words.
  [[nodiscard]] const std::vector<std::string>& faults() const noexcept {
    return m_faults;
  }
  void AddFault(const std::string& fault) { m_faults.push_back(fault); }

  // The operator and the targets, through the store.
  void PutConfig(const std::string& json);
  void PutTarget(const std::string& id, const std::string& json);
  void RemoveTarget(const std::string& id);
  void StoreAway() { m_discovery_state.OnStoreAway(); }
  void StoreBack();
  void Behave(const std::string& id, const Behaviour& behaviour);
  [[nodiscard]] Behaviour BehaviourOf(const std::string& id) const;

  // Callers.
  std::uint64_t Submit(const std::string& path, bool once, Duration patience);
  void Leave(std::uint64_t call);

  /*! \brief Moves time on, acting on whatever is due. */
  void Advance(Duration time);

  [[nodiscard]] std::optional<CallEnd> EndOf(std::uint64_t call) const;
  [[nodiscard]] std::uint32_t RunsAt(const std::string& target) const;
  [[nodiscard]] std::uint32_t RunsOf(std::uint64_t call) const;
  [[nodiscard]] Duration Elapsed() const { return m_clock.Now() - m_start; }

 private:
  struct Due {
    AttemptEnd end;
    std::string target;
  };
  struct CallRecord {
    bool once = false;
    std::uint32_t runs = 0;
    std::optional<CallEnd> end;
  };

  void Send(const OutgoingAttempt& attempt) override;
  void Cancel(AttemptId attempt) override;
  void Deliver(CallId call,
               ForwardAnswer answer,
               const CallTrace& trace) override;
  void ShareQuarantine(Fingerprint /*fingerprint*/) override {}

  void Take(const StoreChange& change);
  void Act(const DiscoveryChange& change);
  void Run(const OutgoingAttempt& attempt);
  void CheckParts(const ForwardAnswer& answer, const CallTrace& trace);

  ManualClock m_clock;
  const TimePoint m_start = m_clock.Now();
  platform::StoreCodec m_codec;
  DiscoveryState m_discovery_state{m_codec};
  Random m_random;
  Forwarder m_forwarder;
  std::uint64_t m_revision = 0;
  std::uint64_t m_next_call = 1;
  std::uint64_t m_version = 0;
  std::map<std::string, Behaviour> m_behaviours;
  std::map<std::string, std::uint32_t> m_runs;
  std::map<std::uint64_t, CallRecord> m_calls;
  std::multimap<TimePoint, Due> m_due;
  std::set<std::uint64_t> m_cancelled;
  std::vector<std::string> m_faults;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_WORLD_H_
