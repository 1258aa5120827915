// The platform's key-value store, as the system sees it.
#ifndef JACINTHDECK_PLATFORM_STORE_CLIENT_H_
#define JACINTHDECK_PLATFORM_STORE_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/platform/store_types.h"

namespace jacinthdeck {

/**
 * \brief Calls of the store. Each blocks until its end, at most for its
 * timeout, so they are made on a thread that does nothing else.
 *
 * Errors of every call: kRateLimited and kUnavailable with a reply of the store
 * mean that nothing was done. kCorrupt: the reply breaks the protocol.
 *
 * Errors of a call that writes (Put, Delete, GrantLease, RenewLease): when no
 * usable reply arrives the error is always kOutcomeUnknown and never another,
 * because the store may have applied the write and lost only the reply. A
 * caller that took this for a failure would write again or report a change as
 * refused while it is in force. It reads the key back instead.
 */
class StoreClient {
 public:
  virtual ~StoreClient() = default;

  /**
   * \brief Reads a key.
   * \return The item; nothing when the key does not exist.
   */
  [[nodiscard]] virtual Result<std::optional<StoreItem>> Get(
      const std::string& key) = 0;

  /*! \brief Reads all keys that begin with a prefix, ordered by key. */
  [[nodiscard]] virtual Result<std::vector<StoreItem>> List(
      const std::string& prefix) = 0;

  /**
   * \brief Writes a key if it still has the revision that the caller has seen.
   * \return Whether it was applied. kOutcomeUnknown when no usable reply
   * arrived; kTooLarge above kMaxStoreValueBytes; kNotFound when the lease has
   * lapsed.
   */
  [[nodiscard]] virtual Result<StoreWrite> Put(const StorePut& put) = 0;

  /**
   * \brief Removes a key if it still has the revision that the caller has seen.
   * \return Whether it was applied. kOutcomeUnknown when no usable reply
   * arrived.
   */
  [[nodiscard]] virtual Result<StoreWrite> Delete(const std::string& key,
                                                  StoreRevision previous) = 0;

  /**
   * \brief Waits until a key is above a revision; costs the store a call while
   * it waits.
   * \param key Key.
   * \param after Revision that the caller has seen; kNoRevision waits for the
   * key to be created.
   * \param timeout Longest wait at the store.
   * \return The item; nothing when the wait ended without a change. kNotFound
   * when the key had a revision and is gone.
   *
   * A wait that ends without a change is no proof that there was none: only Get
   * is.
   */
  [[nodiscard]] virtual Result<std::optional<StoreItem>>
  Watch(const std::string& key, StoreRevision after, Duration timeout) = 0;

  /**
   * \brief Makes a lease.
   * \return The lease. kOutcomeUnknown when no usable reply arrived: a lease
   * that nobody knows then lapses by itself.
   */
  [[nodiscard]] virtual Result<LeaseId> GrantLease(Duration ttl) = 0;

  /**
   * \brief Prolongs a lease by its time to live.
   * \return The lease. kNotFound once it has lapsed; kOutcomeUnknown when no
   * usable reply arrived: then it counts as not renewed.
   */
  [[nodiscard]] virtual Result<LeaseId> RenewLease(LeaseId lease) = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PLATFORM_STORE_CLIENT_H_
