// When a caller whose call is not answered whole may come back.
#ifndef JACINTHDECK_QUERY_RETRY_AFTER_H_
#define JACINTHDECK_QUERY_RETRY_AFTER_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/**
 * \brief Default time to come back after a call that was given up.
 * \param reason Why.
 * \return Time until a resend has a fair chance; about as long as the cause
 * commonly lasts.
 */
[[nodiscard]] Duration RetryAfter(AnswerReason reason) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_RETRY_AFTER_H_
