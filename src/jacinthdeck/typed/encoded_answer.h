// An answer encoded for the HTTP response to a caller.
#ifndef JACINTHDECK_TYPED_ENCODED_ANSWER_H_
#define JACINTHDECK_TYPED_ENCODED_ANSWER_H_

#include <cstdint>
#include <string>

namespace jacinthdeck {

/*! \brief HTTP status and JSON body of an answer. */
struct EncodedAnswer {
  std::uint16_t status = 0;
  std::string body;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TYPED_ENCODED_ANSWER_H_
