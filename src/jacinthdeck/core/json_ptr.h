// Owning pointer to a JSON value of the jansson library.
#ifndef JACINTHDECK_CORE_JSON_PTR_H_
#define JACINTHDECK_CORE_JSON_PTR_H_

#include <memory>

struct json_t;

namespace jacinthdeck {

/*! \brief Releases a reference to a JSON value. */
struct JsonDeleter {
  void operator()(json_t* value) const noexcept;
};

/*! \brief Owns one reference to a JSON value. */
using JsonPtr = std::unique_ptr<json_t, JsonDeleter>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_JSON_PTR_H_
