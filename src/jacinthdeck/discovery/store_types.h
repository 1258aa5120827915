// Entries, changes and replies of the platform's store.
#ifndef JACINTHDECK_DISCOVERY_STORE_TYPES_H_
#define JACINTHDECK_DISCOVERY_STORE_TYPES_H_

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
};

//! Names of the statuses, for logs and metrics.
inline constexpr NameTable<StoreStatus, 7> kStoreStatusNames{
    {"ok", "busy", "compacted", "no_lease", "conflict", "no_reply", "corrupt"}};

/**
 * \brief One uninterrupted history of the store; higher is newer.
 *
 * A store that comes back from a copy begins a new one, in which it gives out
 * revisions of the one before again. 0: it names none.
 */
enum class StoreEra : std::uint64_t {};

/*! \brief A key with its value, or its removal. */
struct StoreChange {
  std::string key;
  std::uint64_t revision = 0;
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
  //! The store's revision at the reading.
  std::uint64_t revision = 0;
  StoreEra era{};
};

/*! \brief A whole reading, as the store gave it. */
struct StoreReading {
  StoreEra era{};
  //! The store's revision when the reading began.
  std::uint64_t revision = 0;
  //! Up to which this host knew the content before.
  std::uint64_t known_revision = 0;
  std::size_t items = 0;
  //! Items that are older than what this host knows of their keys.
  std::size_t outdated = 0;
};

/*! \brief What a watch returned. */
struct WatchBatch {
  StoreStatus status = StoreStatus::kNoReply;
  std::string problem;
  std::vector<StoreChange> changes;
  //! Where the next watch goes on.
  std::uint64_t revision = 0;
};

/*! \brief What a call on a lease, or a write, returned. */
struct StoreAck {
  StoreStatus status = StoreStatus::kNoReply;
  std::string problem;
  //! Of a new lease.
  std::uint64_t lease = 0;
  //! The store's revision after a write.
  std::uint64_t revision = 0;
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
  static constexpr std::size_t kMostEntries = 32;

  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> removals;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_TYPES_H_
