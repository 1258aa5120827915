// Answers that this host makes itself, without a reply of a target.
#ifndef JACINTHDECK_TYPED_REFUSAL_H_
#define JACINTHDECK_TYPED_REFUSAL_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/**
 * \brief Makes the answer to a call that no target can have run.
 * \param reason Why the call was refused.
 * \param retry_after Time after which the caller may try again.
 */
[[nodiscard]] inline Answer MakeNotRunAnswer(AnswerReason reason,
                                             Duration retry_after) {
  Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = retry_after;
  return answer;
}

/*! \brief Makes the answer to a call that a target may or may not have run. */
[[nodiscard]] inline Answer MakeUnknownAnswer(AnswerReason reason) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.reason = reason;
  return answer;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_REFUSAL_H_
