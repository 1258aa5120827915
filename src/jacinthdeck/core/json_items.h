// Parsing of a JSON reply that lists items, each of them by itself.
#ifndef JACINTHDECK_CORE_JSON_ITEMS_H_
#define JACINTHDECK_CORE_JSON_ITEMS_H_

#include <string_view>
#include <vector>

#include "jacinthdeck/core/error.h"
#include "jacinthdeck/core/json_ptr.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/*! \brief A parsed reply and its items. */
struct JsonItems {
  //! The reply, with an empty array in place of its items.
  JsonPtr envelope;
  //! Items that are valid JSON, in order.
  std::vector<JsonPtr> items;
  //! Errors of the items that are not.
  std::vector<Error> unreadable;
};

/**
 * \brief Parses an object that lists items in a member.
 *
 * The items come from several writers. One that jansson rejects, such as a key
 * with an unpaired surrogate or a number beyond its range, must not make the
 * others unreadable. Strings in the items may hold NUL.
 * \param text JSON text.
 * \param name Name of the member, an array.
 * \param subject Origin of the text, used as the subject of errors.
 * \return The items; fails with kTooLarge above kMaxJsonBytes, and with
 * kCorrupt if the text without its items is invalid.
 */
[[nodiscard]] Result<JsonItems> ParseJsonItems(std::string_view text,
                                               std::string_view name,
                                               std::string_view subject);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_JSON_ITEMS_H_
