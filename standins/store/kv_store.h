// The content of the stand-in store: values, revisions, leases, history.
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

/*! \brief A key with its value, or its removal. */
struct KeyValue {
  std::string key;
  //! Nothing where the key was removed.
  std::optional<std::string> value;
  //! Of the last change.
  std::uint64_t revision = 0;
  std::uint64_t created_revision = 0;
  //! 0 for none.
  std::uint64_t lease = 0;
};

/*! \brief One page of keys. */
struct KeyPage {
  std::vector<KeyValue> items;
  bool has_more = false;
  std::uint64_t revision = 0;
};

/*! \brief What a watch found. */
struct WatchResult {
  //! The history that was asked for is gone.
  bool compacted = false;
  std::vector<KeyValue> events;
  std::uint64_t revision = 0;
};

/*! \brief A condition: the revision that a key must have; 0: none. */
struct Condition {
  std::string key;
  std::uint64_t revision = 0;
};

/*! \brief A key to write. */
struct PutItem {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

/*! \brief A change that is made whole or not at all. */
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<PutItem> puts;
  std::vector<std::string> removes;
};

/*! \brief How a change ended. */
enum class TransactionOutcome { kApplied, kConflict, kNoLease };

/**
 * \brief Keys and values in memory, safe to use from many threads.
 *
 * One counter gives every change its revision, so that a key that is removed
 * and created again never shows an old one.
 */
class KvStore {
 public:
  /*! \brief Makes an empty store; leases lapse by the clock. */
  explicit KvStore(const Clock& clock) : m_clock(clock) {}

  [[nodiscard]] std::optional<KeyValue> Get(const std::string& key);
  [[nodiscard]] std::uint64_t revision();

  /**
   * \brief Reads keys in order.
   * \param after Key before the page; empty for the first page.
   */
  [[nodiscard]] KeyPage Range(const std::string& prefix,
                              const std::string& after);

  /*! \brief Makes a change. */
  [[nodiscard]] TransactionOutcome Apply(const Transaction& transaction,
                                         std::uint64_t& revision);

  /*! \brief Makes a lease that lapses unless it is renewed. */
  [[nodiscard]] std::uint64_t Grant(Duration ttl);

  /*! \brief Prolongs a lease; nothing once it has lapsed. */
  [[nodiscard]] std::optional<Duration> Renew(std::uint64_t lease);

  /*! \brief Prolongs the lease of a key that has this value; false, with
   * nothing done, if it has another one or no lease. */
  [[nodiscard]] bool RenewLeaseIfUnchanged(const std::string& key,
                                           const std::string& value);

  /*! \brief Ends a lease with its keys; false if there is none. */
  [[nodiscard]] bool Revoke(std::uint64_t lease);

  /**
   * \brief Waits for changes after a revision.
   * \param wait Longest wait, by the machine's clock.
   */
  [[nodiscard]] WatchResult Watch(const std::string& prefix,
                                  std::uint64_t after,
                                  Duration wait);

  /*! \brief Keeps a copy of what is there now, in place of the one before. */
  void TakeSnapshot();

  /**
   * \brief Comes back from the copy: all changes since are gone, leases too,
   * and their revisions are given out again. Begins a new era and ends the
   * watches that wait now.
   * \return False if no copy was kept.
   */
  bool Restore();

  /*! \brief Counts the histories, from 1 on. */
  [[nodiscard]] std::uint64_t era();

  /*! \brief Forgets all history, and ends the watches that wait now. */
  void Compact();

  /*! \brief Ends the watches that wait now. */
  void InterruptWatches();

 private:
  struct Lease {
    Duration ttl{};
    TimePoint expires;
  };

  //! What Restore() goes back to.
  struct Snapshot {
    std::map<std::string, KeyValue> entries;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 0;
    std::uint64_t last_lease_id = 0;
  };

  void ExpireLeases();
  void RemoveKeysWithoutLease();
  void Record(const KeyValue& change);
  [[nodiscard]] bool ConditionsHold(const Transaction& transaction) const;
  [[nodiscard]] Duration TimeToNextExpiry() const;

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, KeyValue> m_entries;
  std::map<std::uint64_t, Lease> m_leases;
  //! Changes in order.
  std::deque<KeyValue> m_history;
  //! History up to here is gone.
  std::uint64_t m_compacted_revision = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_last_lease_id = 0;
  std::uint64_t m_era = 1;
  std::optional<Snapshot> m_snapshot;
  std::uint64_t m_interrupt_count = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_KV_STORE_H_
