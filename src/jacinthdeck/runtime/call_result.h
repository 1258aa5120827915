// What a caller's waiting thread, or a peer that forwarded a request, gets in
// the end.
#ifndef JACINTHDECK_RUNTIME_CALL_RESULT_H_
#define JACINTHDECK_RUNTIME_CALL_RESULT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/*! \brief An answer that is encoded already: stored for a resend, or made by
 * another node. */
struct EncodedAnswer {
  //! HTTP status.
  std::uint16_t status = 0;
  //! JSON.
  std::string body;
};

/*! \brief The end of a call. */
using CallResult = std::variant<Answer, EncodedAnswer>;

/*! \brief Takes the end of a call, exactly once, on the decision thread; must
 * not block. */
using CallSink = std::function<void(CallResult)>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_CALL_RESULT_H_
