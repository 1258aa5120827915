// Entries, changes and replies of the platform's store.
#ifndef JACINTHDECK_DISCOVERY_STORE_TYPES_H_
#define JACINTHDECK_DISCOVERY_STORE_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief How the store took a call. */
enum class StoreStatus {
  kOk,
  //! The call did nothing: the store is busy, or calls beyond its rate.
  kBusy,
  //! The history that a watch asked for is no longer there.
  kCompacted,
  //! The lease has ended.
  kNoLease,
  //! A condition does not hold.
  kConflict,
  //! No reply: the call may have been done, or may be done later.
  kNoReply,
  //! A reply that cannot be read.
  kCorrupt,
  //! A reply of an era that has ended.
  kOutdated,
};

//! Names of the statuses, for logs and metrics.
inline constexpr NameTable<StoreStatus, 8> kStoreStatusNames{
    {"ok", "busy", "compacted", "no_lease", "conflict", "no_reply", "corrupt",
     "outdated"}};

/**
 * \brief One uninterrupted history of the store; higher is newer.
 *
 * A store that comes back from a copy begins a new one, in which it gives out
 * revisions of the one before again. 0: it names none.
 */
enum class StoreEra : std::uint64_t {};

/*! \brief An era's number, for logs, metrics and messages. */
[[nodiscard]] constexpr std::uint64_t EraNumber(StoreEra era) noexcept {
  return static_cast<std::uint64_t>(era);
}

/**
 * \brief A point in the store's history, in order over all eras.
 *
 * A bare revision orders nothing: a store that comes back from a copy gives the
 * same one to two changes.
 */
struct StorePosition {
  StoreEra era{};
  //! 0: before the first change.
  std::uint64_t revision = 0;

  [[nodiscard]] auto operator<=>(const StorePosition&) const = default;
};

/*! \brief A key with its value, or its removal. */
struct StoreChange {
  std::string key;
  StorePosition position;
  //! Nothing where the key was removed.
  std::optional<std::string> value;
};

/*! \brief One page of a range of keys. */
struct StorePage {
  StoreStatus status = StoreStatus::kNoReply;
  //! Why, where the status is not kOk.
  std::string problem;
  std::vector<StoreChange> items;
  bool has_more = false;
  //! The store's at the reading; of a failed call the era alone.
  StorePosition position;
};

/*! \brief Content that one host hands on to another. */
struct ContentUpdate {
  StorePosition position;
  //! What is not named is gone.
  bool whole = false;
  //! Those of an era before are no content; they are carried over.
  std::vector<StoreChange> changes;
};

/*! \brief A whole reading, as the store gave it. */
struct FullRead {
  //! The store's when the reading began.
  StorePosition position;
  //! Up to which this host knew the content before.
  StorePosition known;
  std::size_t items = 0;
  //! Items that are older than what this host knows of their keys.
  std::size_t outdated = 0;
};

/*! \brief What a watch returned. */
struct WatchBatch {
  StoreStatus status = StoreStatus::kNoReply;
  std::string problem;
  std::vector<StoreChange> changes;
  //! Where the next watch goes on; of a failed call the era alone.
  StorePosition position;
};

/*! \brief What a call on a lease, or a write, returned. */
struct StoreAck {
  StoreStatus status = StoreStatus::kNoReply;
  std::string problem;
  //! Of a new lease.
  std::uint64_t lease = 0;
  //! The store's after a write; of other calls the era alone.
  StorePosition position;
};

/*! \brief A condition of a write: the key's last change is this one. */
struct StoreCondition {
  std::string key;
  //! 0: the key is not there.
  std::uint64_t revision = 0;
};

/*! \brief A key to be written. */
struct StorePut {
  std::string key;
  std::string value;
  //! Lease that it ends with; 0: none.
  std::uint64_t lease = 0;
};

/*! \brief A write that is done whole or not at all. */
struct StoreWrite {
  //! Conditions, puts and removals that one write may hold together.
  static constexpr std::size_t kMaxEntries = 32;

  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_TYPES_H_
