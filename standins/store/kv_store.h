// The content of the stand-in store: values, revisions, leases and watches.
#ifndef JACINTHDECK_STANDINS_STORE_KV_STORE_H_
#define JACINTHDECK_STANDINS_STORE_KV_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/clock.h"

namespace jacinthdeck::standins {

/*! \brief A key with its value. */
struct KeyValue {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

/*! \brief End of a compare-and-swap. */
struct SwapResult {
  bool swapped = false;
  //! Revision of the key after the call; 0 where there is none.
  std::uint64_t revision = 0;
  //! False when the write named a lease that has lapsed.
  bool lease_known = true;
};

/*! \brief Why a watch has ended. */
enum class WatchEnd { kChanged, kAbsent, kTimeout, kInterrupted };

/**
 * \brief Keys and values in memory, safe to use from many threads.
 *
 * One counter gives every write its revision, so that a key that is deleted and
 * created again never shows an old revision.
 */
class KvStore {
 public:
  /*! \brief Makes an empty store; leases lapse by the clock. */
  explicit KvStore(const Clock& clock) : m_clock(clock) {}

  [[nodiscard]] std::optional<KeyValue> Get(const std::string& key);
  [[nodiscard]] std::vector<KeyValue> List(const std::string& prefix);

  /*! \brief Watches that wait now. */
  [[nodiscard]] std::size_t waiting() const;

  /**
   * \brief Writes a value if the key is at a revision.
   * \param key Key.
   * \param value Value.
   * \param previous Revision that the key must have; 0: it must not exist;
   * nothing: whatever it has.
   * \param lease Lease that the key goes away with.
   */
  SwapResult Put(const std::string& key,
                 const std::string& value,
                 std::optional<std::uint64_t> previous,
                 std::optional<std::uint64_t> lease);

  /*! \brief Removes a key if it is at a revision. */
  SwapResult Delete(const std::string& key,
                    std::optional<std::uint64_t> previous);

  /*! \brief Makes a lease that lapses unless it is renewed. */
  [[nodiscard]] std::uint64_t Grant(Duration ttl);

  /*! \brief Prolongs a lease; false once it has lapsed. */
  [[nodiscard]] bool Renew(std::uint64_t lease);

  /**
   * \brief Waits until a key is above a revision.
   * \param key Key.
   * \param after Revision; a key that is missing ends the watch at once when
   * this is not 0.
   * \param timeout Longest wait, by the machine's clock.
   * \param changed Receives the value for kChanged.
   */
  [[nodiscard]] WatchEnd Watch(const std::string& key,
                               std::uint64_t after,
                               Duration timeout,
                               KeyValue& changed);

  /*! \brief Ends all watches that wait now. */
  void InterruptWatches();

 private:
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration ttl{};
    TimePoint expires;
  };

  void DropLapsed();
  void Changed();
  [[nodiscard]] static bool Matches(const Entry* entry,
                                    std::optional<std::uint64_t> previous);
  [[nodiscard]] Entry* Find(const std::string& key);
  [[nodiscard]] Duration UntilNextLapse() const;

  const Clock& m_clock;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_revision = 0;
  std::uint64_t m_last_lease = 0;
  std::uint64_t m_interrupts = 0;
  std::size_t m_waiting = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_KV_STORE_H_
