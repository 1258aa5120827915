// Result item of a shard's reply.
#ifndef JACINTHDECK_QUERY_HIT_H_
#define JACINTHDECK_QUERY_HIT_H_

#include <string>

namespace jacinthdeck {

/*! \brief Result item with its score and payload. */
struct Hit {
  //! Hits with equal ids are the same item.
  std::string id;
  double score = 0;
  //! JSON object, unchanged from the target's reply.
  std::string data;

  [[nodiscard]] bool operator==(const Hit&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_HIT_H_
