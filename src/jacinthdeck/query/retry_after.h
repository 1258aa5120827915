// Default delay after which a caller may send a failed call again.
#ifndef JACINTHDECK_QUERY_RETRY_AFTER_H_
#define JACINTHDECK_QUERY_RETRY_AFTER_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/**
 * \brief Returns the default delay before a resend of an incomplete call.
 * \param reason Why the answer is not whole.
 * \return Delay after which a resend is likely to succeed: about as long as the
 * cause usually lasts.
 */
[[nodiscard]] Duration RetryAfter(AnswerReason reason) noexcept;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_RETRY_AFTER_H_
