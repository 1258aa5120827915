// In-memory content of the stand-in store: values, revisions, leases and the
// history of changes.
#ifndef JACINTHDECK_STANDINS_STORE_KV_STORE_H_
#define JACINTHDECK_STANDINS_STORE_KV_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck::standins {

/*! \brief State of a key, or a change that wrote or removed it. */
struct KeyValue {
  std::string key;
  //! Absent if the key was removed.
  std::optional<std::string> value;
  //! Revision of the last change of the key.
  std::uint64_t revision = 0;
  //! Revision at which the key was created.
  std::uint64_t created_revision = 0;
  //! Id of the lease of the key; 0 for none.
  std::uint64_t lease = 0;
};

/*! \brief One page of a range read. */
struct KeyPage {
  std::vector<KeyValue> items;
  bool has_more = false;
  //! Revision of the store at the time of the read.
  std::uint64_t revision = 0;
};

/*! \brief Result of a watch. */
struct WatchResult {
  //! True if the history since the given revision is not available: it was
  //! compacted, or a restore has set the store back to before that revision.
  bool compacted = false;
  std::vector<KeyValue> events;
  //! Revision of the store at the end of the watch.
  std::uint64_t revision = 0;
};

/*! \brief Condition of a transaction: the revision that a key must have; 0 if
 * the key must not exist. */
struct Condition {
  std::string key;
  std::uint64_t revision = 0;
};

/*! \brief Write of one key. */
struct PutItem {
  std::string key;
  std::string value;
  //! Id of the lease to attach; 0 for none.
  std::uint64_t lease = 0;
};

/*! \brief Writes and removals that are applied atomically if all conditions
 * hold. */
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<PutItem> puts;
  std::vector<std::string> removes;
};

/*! \brief Result of a transaction. */
enum class TransactionOutcome { kApplied, kConflict, kNoLease };

/**
 * \brief Key-value store in memory, safe to use from many threads.
 *
 * All changes take their revisions from one counter, so that a key that is
 * removed and created again never has a revision that it had before; only
 * Restore() sets the counter back.
 */
class KvStore {
 public:
  /*! \brief Creates an empty store whose leases expire by the given clock. */
  explicit KvStore(const Clock& clock) : m_clock(clock) {}

  [[nodiscard]] std::optional<KeyValue> Get(const std::string& key);
  [[nodiscard]] std::uint64_t revision();

  /**
   * \brief Reads the keys with a prefix in order, one page at a time.
   * \param prefix Prefix of the keys.
   * \param after Last key of the previous page; empty for the first page.
   */
  [[nodiscard]] KeyPage Range(const std::string& prefix,
                              const std::string& after);

  /*! \brief Applies a transaction, whole or not at all.
   * \param transaction Conditions, writes and removals.
   * \param revision Set to the revision of the change if it is applied. */
  [[nodiscard]] TransactionOutcome Apply(const Transaction& transaction,
                                         std::uint64_t& revision);

  /*! \brief Creates a lease that expires after `ttl` unless it is renewed, and
   * returns its id. */
  [[nodiscard]] std::uint64_t Grant(Duration ttl);

  /*! \brief Renews a lease for its ttl and returns the ttl; nothing if it has
   * expired or does not exist. */
  [[nodiscard]] std::optional<Duration> Renew(std::uint64_t lease);

  /*! \brief Renews the lease of a key if the key has the given value;
   * otherwise, or if it has no lease, does nothing and returns false. */
  [[nodiscard]] bool RenewLeaseIfUnchanged(const std::string& key,
                                           const std::string& value);

  /*! \brief Ends a lease and removes its keys; false if there is no such lease.
   */
  [[nodiscard]] bool Revoke(std::uint64_t lease);

  /**
   * \brief Waits until keys with a prefix change after a revision.
   * \param prefix Prefix of the keys.
   * \param after Changes up to this revision are skipped.
   * \param wait Longest wait, by the system's steady clock.
   * \return The changes, none if the wait ended first.
   */
  [[nodiscard]] WatchResult Watch(const std::string& prefix,
                                  std::uint64_t after,
                                  Duration wait);

  /*! \brief Takes a snapshot of the content, which replaces the previous one.
   */
  void TakeSnapshot();

  /**
   * \brief Restores the snapshot. All changes and leases since are lost, and
   * their revisions and lease ids are assigned again; the restored leases start
   * their ttl anew. Begins a new era and ends the watches that wait now.
   * \return False if there is no snapshot.
   */
  bool Restore();

  /*! \brief Returns the era: 1 at first, one more after each restore. */
  [[nodiscard]] std::uint64_t era();

  /*! \brief Discards the whole history and ends the watches that wait now. */
  void Compact();

  /*! \brief Ends the watches that wait now. */
  void InterruptWatches();

 private:
  struct Lease {
    Duration ttl{};
    TimePoint expires;
  };

  //! State that Restore() returns to.
  struct Snapshot {
    std::map<std::string, KeyValue> entries;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 0;
    std::uint64_t last_lease_id = 0;
  };

  void ExpireLeases();
  //! Removes the keys whose lease has ended.
  void RemoveKeysWithoutLease();
  void Record(const KeyValue& change);
  [[nodiscard]] bool ConditionsHold(const Transaction& transaction) const;
  [[nodiscard]] Duration TimeToNextExpiry() const;

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, KeyValue> m_entries;
  std::map<std::uint64_t, Lease> m_leases;
  //! Changes by ascending revision.
  std::deque<KeyValue> m_history;
  //! The history up to this revision is discarded.
  std::uint64_t m_compacted_revision = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_last_lease_id = 0;
  std::uint64_t m_era = 1;
  std::optional<Snapshot> m_snapshot;
  //! Incremented to end the watches that wait now.
  std::uint64_t m_interrupt_count = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_KV_STORE_H_
