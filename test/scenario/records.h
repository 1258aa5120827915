// What the callers and operators of a scenario asked for and were told.
#ifndef JACINTHDECK_TEST_SCENARIO_RECORDS_H_
#define JACINTHDECK_TEST_SCENARIO_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

#include "jacinthdeck/cluster/operator_reply.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck::scenario {

/*! \brief An invariant or an expectation of a script does not hold. */
class ScenarioFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/*! \brief One call of a caller to one entry. */
struct CallRecord {
  std::size_t node = 0;
  std::uint64_t life = 0;
  //! Canonical JSON; the same for a resend.
  std::string body;
  //! Bound to a request id.
  bool once = false;
  //! Hash of the key, for keyed calls.
  std::optional<std::uint64_t> key;
  TimePoint submitted;
  TimePoint deadline;
  //! The entry died or was paused meanwhile.
  bool lost = false;
  bool paused = false;
  //! Accepted before its entry began to drain, and open at that moment.
  bool in_flight_at_drain = false;

  std::size_t answers = 0;
  TimePoint answered;
  std::string outcome;
  std::string reason;
  //! Empty where the answer was stored, or came from another entry.
  std::optional<Answer> answer;
};

/*! \brief One change of an operator. */
struct ChangeRecord {
  std::size_t node = 0;
  std::uint64_t life = 0;
  std::string operation;
  std::optional<OperatorReply> reply;
  TimePoint answered;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_RECORDS_H_
