// What the result of opening a connection says of its target.
#ifndef JACINTHDECK_HTTP_CHECK_OPENING_H_
#define JACINTHDECK_HTTP_CHECK_OPENING_H_

#include "jacinthdeck/forward/unresolved_attempts.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/*! \brief Returns what the result of opening a connection says of the target;
 * no error means that it was opened. */
[[nodiscard]] TargetCheck CheckOpening(const SystemError& error);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_CHECK_OPENING_H_
