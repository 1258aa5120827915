// Reads the store's replies.
#ifndef JACINTHDECK_PLATFORM_STORE_REPLY_H_
#define JACINTHDECK_PLATFORM_STORE_REPLY_H_

#include <string>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/platform/store_types.h"

namespace jacinthdeck::internal {

/*! \brief Reads one item; kCorrupt unless it has a value and a revision above
 * 0. */
[[nodiscard]] Result<StoreItem> ReadStoreItem(const std::string& body);

/*! \brief Reads the reply of a list. */
[[nodiscard]] Result<std::vector<StoreItem>> ReadStoreItems(
    const std::string& body);

/*! \brief Reads `{"revision":N}`. */
[[nodiscard]] Result<StoreRevision> ReadStoreRevision(const std::string& body);

/*! \brief Reads `{"lease":N}`. */
[[nodiscard]] Result<LeaseId> ReadLease(const std::string& body);

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_PLATFORM_STORE_REPLY_H_
