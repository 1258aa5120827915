// Queue of timers, at most one per key, ordered by due time.
#ifndef JACINTHDECK_CORE_TIMER_QUEUE_H_
#define JACINTHDECK_CORE_TIMER_QUEUE_H_

#include <map>
#include <optional>
#include <set>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Queue of timers identified by keys; each operation takes logarithmic
 * time in the number of timers.
 * \tparam Key Ordered type; each key has at most one timer.
 */
template <typename Key>
class TimerQueue {
 public:
  /*! \brief Returns the earliest due time, or std::nullopt without timers. */
  [[nodiscard]] std::optional<TimePoint> Next() const {
    return m_by_time.empty() ? std::nullopt
                             : std::optional(m_by_time.begin()->due);
  }

  /*! \brief Sets the timer of a key, replacing an earlier one. */
  void Set(const Key& key, TimePoint due) {
    Remove(key);
    m_by_time.insert(Entry{due, key});
    m_due.emplace(key, due);
  }

  /*! \brief Removes the timer of a key, if it has one. */
  void Remove(const Key& key) {
    const auto found = m_due.find(key);
    if (found != m_due.end()) {
      m_by_time.erase(Entry{found->second, key});
      m_due.erase(found);
    }
  }

  /**
   * \brief Removes the earliest timer that is due.
   * \param now Current time.
   * \return Key of the timer, or std::nullopt if none is due.
   */
  [[nodiscard]] std::optional<Key> TakeDue(TimePoint now) {
    if (m_by_time.empty() || m_by_time.begin()->due > now) {
      return std::nullopt;
    }
    const Key key = m_by_time.begin()->key;
    Remove(key);
    return key;
  }

 private:
  struct Entry {
    TimePoint due;
    Key key;

    [[nodiscard]] auto operator<=>(const Entry&) const = default;
  };

  //! Contains exactly one entry for each entry of m_due.
  std::set<Entry> m_by_time;
  std::map<Key, TimePoint> m_due;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_TIMER_QUEUE_H_
