// The targets of a scenario: they run what reaches them, log it, and fail as
// they are told.
#ifndef JACINTHDECK_TEST_SCENARIO_FAKE_TARGETS_H_
#define JACINTHDECK_TEST_SCENARIO_FAKE_TARGETS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/routing/target_info.h"
#include "scenario/dataset.h"

namespace jacinthdeck::scenario {

/*! \brief How one target behaves; scripts change it at any time. */
struct TargetBehaviour {
  //! Refuses connections while false.
  bool up = true;
  //! Takes requests and never answers.
  bool silent = false;
  //! Refuses everything before running it.
  bool shedding = false;
  //! Answers for the version before the one it was asked for.
  bool confused = false;
  //! Answers every request a second time.
  bool repeating = false;
  //! Added to every run.
  Duration extra{};
  //! When it began to leave.
  std::optional<TimePoint> left;
  //! While leaving: refuses new work and says that it is draining.
  bool says_draining = false;
};

/*! \brief Requests that reached a target and when, for the checker. */
struct TargetRun {
  TargetId target;
  std::string body;
  TimePoint at;
};

/*! \brief All targets. */
class FakeTargets {
 public:
  using Schedule = std::function<void(Duration, std::function<void()>)>;
  using Reply = std::function<void(const AttemptReply&)>;

  //! A body with this text kills the target that runs it.
  static constexpr const char* kCrash = "crash";
  //! Requests may reach a leaving target this long after it began to leave.
  static constexpr Duration kLeaveGrace = std::chrono::seconds(5);

  FakeTargets(const Dataset& dataset,
              const Clock& clock,
              std::uint64_t seed,
              Schedule schedule);

  [[nodiscard]] TargetBehaviour& behaviour(const TargetId& target);
  [[nodiscard]] const std::vector<TargetRun>& runs() const noexcept {
    return m_runs;
  }
  [[nodiscard]] std::size_t RunsOf(const std::string& body) const;
  [[nodiscard]] std::uint64_t kills() const noexcept { return m_kills; }
  /*! \brief First request that came to a leaving target too late. */
  [[nodiscard]] const std::string& late_work() const noexcept {
    return m_late_work;
  }

  /*! \brief Host list as it stands now. */
  [[nodiscard]] std::vector<TargetInfo> Hosts() const;

  /*! \brief Takes an attempt of one node life; `reply` is called once, or
   * twice by a repeating target. */
  void Send(std::uint64_t node_life, const SendAttempt& attempt, Reply reply);
  void Cancel(std::uint64_t node_life, AttemptId attempt);
  /*! \brief Stops a target; what it runs is lost. */
  void Kill(const TargetId& target);

 private:
  using Key = std::pair<std::uint64_t, AttemptId>;

  struct Open {
    SendAttempt attempt;
    Reply reply;
    bool running = false;
  };
  struct State {
    TargetBehaviour behaviour;
    std::uint32_t running = 0;
  };

  static constexpr std::uint32_t kSlots = 3;
  static constexpr std::uint32_t kConnections = 30;

  void Arrive(const Key& key);
  [[nodiscard]] std::optional<AttemptStatus> Refuse(const SendAttempt& attempt,
                                                    State& state);
  void Run(const Key& key, State& state);
  void Finish(const Key& key);
  void End(const Key& key, AttemptReply reply);
  [[nodiscard]] AttemptReply Answer(const SendAttempt& attempt,
                                    const State& state) const;

  const Dataset& m_dataset;
  const Clock& m_clock;
  Random m_random;
  Schedule m_schedule;
  std::map<TargetId, State> m_states;
  std::map<Key, Open> m_open;
  std::vector<TargetRun> m_runs;
  std::uint64_t m_kills = 0;
  std::string m_late_work;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_FAKE_TARGETS_H_
