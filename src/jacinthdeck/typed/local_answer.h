// The answers that are made without a target: not run, and unknown.
#ifndef JACINTHDECK_TYPED_LOCAL_ANSWER_H_
#define JACINTHDECK_TYPED_LOCAL_ANSWER_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/**
 * \brief Makes the answer to a call that no target can have run.
 * \param reason Why it was refused.
 * \param retry_after When asking again makes sense.
 */
[[nodiscard]] inline Answer MakeNotRunAnswer(AnswerReason reason,
                                             Duration retry_after) {
  Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = retry_after;
  return answer;
}

/*! \brief Makes the answer to a call that may or may not have run. */
[[nodiscard]] inline Answer MakeUnknownAnswer(AnswerReason reason) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.reason = reason;
  return answer;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_LOCAL_ANSWER_H_
