// The answers that are made without a target: not run, and unknown.
#ifndef JACINTHDECK_TYPED_REFUSAL_H_
#define JACINTHDECK_TYPED_REFUSAL_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/**
 * \brief Makes the answer to a call that no target can have run.
 * \param reason Why it was refused.
 * \param come_back When asking again makes sense.
 */
[[nodiscard]] inline Answer MakeNotRun(AnswerReason reason,
                                       Duration come_back) {
  Answer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = come_back;
  return answer;
}

/*! \brief Makes the answer to a call that may or may not have run. */
[[nodiscard]] inline Answer MakeUnknown(AnswerReason reason) {
  Answer answer;
  answer.outcome = Outcome::kUnknown;
  answer.reason = reason;
  return answer;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_REFUSAL_H_
