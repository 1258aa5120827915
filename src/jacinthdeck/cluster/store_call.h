// Calls to the platform's store as the core asks for them, and their ends.
#ifndef JACINTHDECK_CLUSTER_STORE_CALL_H_
#define JACINTHDECK_CLUSTER_STORE_CALL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/strong_id.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief One call to the store inside one process. */
using StoreCallId = StrongId<struct StoreCallTag, std::uint64_t>;
/*! \brief The store's own revision of one key; 0 where the key does not exist.
 */
using StoreRevision = StrongId<struct StoreRevisionTag, std::uint64_t>;

/*! \brief What a store call does. */
enum class StoreOperation {
  //! Reads one key.
  kRead,
  //! Writes one key if its store revision is the expected one.
  kCompareAndSwap,
  //! Reads every key that starts with the key given.
  kList,
};

//! Names of the store operations, for logs and metrics.
inline constexpr NameTable<StoreOperation, 3> kStoreOperationNames{
    {"read", "compare_and_swap", "list"}};

/*! \brief Asks the runtime for one call; it sends it once, never again. */
struct StoreRequest {
  StoreCallId id;
  StoreOperation operation = StoreOperation::kRead;
  std::string key;
  //! For kCompareAndSwap.
  std::string value;
  //! For kCompareAndSwap; 0: the key must not exist.
  StoreRevision expected;
  //! The runtime reports kNoReply once this has passed.
  Duration timeout{};
};

/*! \brief How a store call ended. */
enum class StoreStatus {
  kOk,
  //! The key does not exist.
  kNotFound,
  //! The key has another revision; nothing was written.
  kConflict,
  //! The store refused (429, 413, 503); nothing was written.
  kRefused,
  //! No reply was read; a write may have taken effect.
  kNoReply,
};

//! Names of the store call ends, for logs and metrics.
inline constexpr NameTable<StoreStatus, 5> kStoreStatusNames{
    {"ok", "not_found", "conflict", "refused", "no_reply"}};

/*! \brief One key of a store reply. */
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision;

  [[nodiscard]] bool operator==(const StoreItem&) const = default;
};

/*! \brief End of a store call. */
struct StoreReply {
  StoreCallId id;
  StoreStatus status = StoreStatus::kNoReply;
  //! The key read, or every key listed.
  std::vector<StoreItem> items;
  //! Revision of the key after a write; of the other writer on a conflict.
  StoreRevision revision;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_STORE_CALL_H_
