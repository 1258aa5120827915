// Owning pointer to a JSON value of the jansson library.
#include "jacinthdeck/core/json_ptr.h"

#include <jansson.h>

namespace jacinthdeck {

void JsonDeleter::operator()(json_t* value) const noexcept {
  json_decref(value);
}

}  // namespace jacinthdeck
