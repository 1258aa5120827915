// One item of a shard's reply.
#ifndef JACINTHDECK_QUERY_HIT_H_
#define JACINTHDECK_QUERY_HIT_H_

#include <string>

namespace jacinthdeck {

/*! \brief One result item. */
struct Hit {
  //! Identifies the item; two hits of one id are the same item.
  std::string id;
  double score = 0;
  //! JSON object as the target sent it.
  std::string data;

  [[nodiscard]] bool operator==(const Hit&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_HIT_H_
