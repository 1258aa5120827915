// Looks after every step at what callers, operators and targets saw.
#ifndef JACINTHDECK_TEST_SCENARIO_CHECKER_H_
#define JACINTHDECK_TEST_SCENARIO_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/core/ids.h"
#include "scenario/records.h"

namespace jacinthdeck::scenario {

class World;

/*! \brief The promises of the system as invariants; a broken one throws
 * ScenarioFailure. */
class Checker {
 public:
  explicit Checker(const World& world) noexcept : m_world(world) {}

  /*! \brief Checks what is new since the last step. */
  void Check();

  /*! \brief Checks that nothing was left without an answer. */
  void CheckEnd() const;

 private:
  void CheckRuns();
  void CheckAnswers();
  void CheckAnswer(const CallRecord& call);
  void CheckCoverage(const CallRecord& call, const Answer& answer) const;
  void CheckHits(const Answer& answer) const;
  void CheckRefusal(const CallRecord& call);
  void CheckTime(const CallRecord& call) const;
  void CheckStoredConfig();
  void CheckChanges();
  void CheckNodes();

  const World& m_world;
  //! Runs looked at so far.
  std::size_t m_runs = 0;
  //! Calls whose answer was looked at.
  std::set<std::size_t> m_answered;
  //! Calls looked at so far, answered or not.
  std::size_t m_calls = 0;
  std::map<std::string, std::size_t> m_times_submitted;
  std::map<std::string, std::size_t> m_times_run;
  //! Bodies whose last word was "not run".
  std::set<std::string> m_told_not_run;
  //! Changes whose reply was looked at.
  std::set<std::size_t> m_replied;
  std::set<std::string> m_told_not_applied;
  std::string m_stored;
  Revision m_stored_revision;
  std::map<std::string, Revision> m_operations;
  std::map<Revision, std::string> m_winners;
  Revision m_accepted;
  //! Highest revision of each life.
  std::map<std::uint64_t, Revision> m_revisions;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_CHECKER_H_
