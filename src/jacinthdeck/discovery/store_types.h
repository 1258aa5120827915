// Entries, changes and replies of the platform's key-value store.
#ifndef JACINTHDECK_DISCOVERY_STORE_TYPES_H_
#define JACINTHDECK_DISCOVERY_STORE_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/error.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Outcome of a call to the store. */
enum class StoreStatus {
  kOk,
  //! The call had no effect: the store is busy or its rate limit is exceeded.
  kBusy,
  //! The history that a watch asked for has been compacted.
  kCompacted,
  //! The lease has expired or was revoked.
  kNoLease,
  //! A condition of the write is not met.
  kConflict,
  //! No reply: the call may have taken effect, or may do so later.
  kNoReply,
  //! The reply cannot be parsed.
  kCorrupt,
  //! The reply is from an earlier era of the store.
  kOutdated,
  //! The reply is larger than is read, or did not arrive as a whole; the same
  //! call would meet the same reply again.
  kTooLarge,
};

//! Names of the statuses, for logs and metrics.
inline constexpr NameTable<StoreStatus, 9> kStoreStatusNames{
    {"ok", "busy", "compacted", "no_lease", "conflict", "no_reply", "corrupt",
     "outdated", "too_large"}};

/**
 * \brief Number of an uninterrupted history of the store; higher is newer.
 *
 * A store that is restored from a backup begins a new era, in which it reuses
 * revisions of the previous one. 0: the store names no era.
 */
enum class StoreEra : std::uint64_t {};

/*! \brief Returns an era's number, for logs, metrics and messages. */
[[nodiscard]] constexpr std::uint64_t EraNumber(StoreEra era) noexcept {
  return static_cast<std::uint64_t>(era);
}

/**
 * \brief A point in the store's history, ordered across eras.
 *
 * A revision alone does not order changes: a store that is restored from a
 * backup uses the same revision for two changes.
 */
struct StorePosition {
  StoreEra era{};
  //! Revision within the era; 0: before the first change.
  std::uint64_t revision = 0;

  [[nodiscard]] auto operator<=>(const StorePosition&) const = default;
};

/*! \brief A key that was written or removed. */
struct StoreChange {
  std::string key;
  StorePosition position;
  //! New value; nothing if the key was removed.
  std::optional<std::string> value;
};

/*! \brief One page of a range of keys. */
struct StorePage {
  StoreStatus status = StoreStatus::kNoReply;
  //! Reason for a status other than kOk.
  std::string problem;
  std::vector<StoreChange> items;
  //! Errors of the items that could not be read; `items` is without them.
  std::vector<Error> unreadable;
  bool has_more = false;
  //! Position of the store when the page was read; of a failed call only the
  //! era.
  StorePosition position;
};

/*! \brief Store content that one host sends to another. */
struct ContentUpdate {
  StorePosition position;
  //! The changes list every key of the store: other keys are removed.
  bool whole = false;
  //! Changes of an earlier era are not part of the store's content; they are
  //! carried over from before a restore.
  std::vector<StoreChange> changes;
};

/*! \brief Facts about a read of all keys of the store. */
struct FullRead {
  //! Position of the store when the read began.
  StorePosition position;
  //! Position up to which this host knew the content before.
  StorePosition known;
  std::size_t items = 0;
  //! Items that are older than what this host knows about their keys.
  std::size_t outdated = 0;
};

/*! \brief Result of a watch call. */
struct WatchBatch {
  StoreStatus status = StoreStatus::kNoReply;
  std::string problem;
  std::vector<StoreChange> changes;
  //! Errors of the changes that could not be read.
  std::vector<Error> unreadable;
  //! Position after which the next watch continues; of a failed call only the
  //! era.
  StorePosition position;
};

/*! \brief Result of a write or of a call that concerns a lease. */
struct StoreAck {
  StoreStatus status = StoreStatus::kNoReply;
  std::string problem;
  //! Id of a granted lease.
  std::uint64_t lease = 0;
  //! Position of the store after a write; of other calls only the era.
  StorePosition position;
};

/*! \brief A condition of a write: the key was last changed at a revision. */
struct StoreCondition {
  std::string key;
  //! 0: the key does not exist.
  std::uint64_t revision = 0;
};

/*! \brief A key and the value to write. */
struct StorePut {
  std::string key;
  std::string value;
  //! Lease with which the key is removed; 0: none.
  std::uint64_t lease = 0;
};

/*! \brief An atomic write of several keys. */
struct StoreWrite {
  //! Limit of the sum of conditions, puts and removals.
  static constexpr std::size_t kMaxEntries = 32;

  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_TYPES_H_
