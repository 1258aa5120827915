// Entries of the store whose removal may be held back.
#ifndef JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_
#define JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/**
 * \brief Entries by key; a removed one stays until its removal counts.
 * \tparam Entry Decoded value.
 */
template <typename Entry>
class HeldEntries {
 public:
  /*! \brief Gives all entries, held ones included. */
  [[nodiscard]] std::vector<Entry> Entries() const {
    std::vector<Entry> entries;
    entries.reserve(m_held.size());
    for (const auto& [key, held] : m_held) {
      entries.push_back(held.entry);
    }
    return entries;
  }

  [[nodiscard]] std::size_t size() const noexcept { return m_held.size(); }

  /*! \brief Finds an entry; null if there is none. */
  [[nodiscard]] const Entry* Find(const std::string& key) const {
    const auto found = m_held.find(key);
    return found == m_held.end() ? nullptr : &found->second.entry;
  }

  /*! \brief Finds an entry as of a position; null if another one is known. */
  [[nodiscard]] const Entry* FindAt(const std::string& key,
                                    const StorePosition& position) const {
    const auto found = m_held.find(key);
    const bool is_of_it =
        found != m_held.end() && found->second.position == position;
    return is_of_it ? &found->second.entry : nullptr;
  }

  /*! \brief Finds an entry that an era before this one wrote; null if there is
   * none. */
  [[nodiscard]] const Entry* FindBefore(const std::string& key,
                                        StoreEra era) const {
    const auto found = m_held.find(key);
    const bool is_before =
        found != m_held.end() && found->second.position.era < era;
    return is_before ? &found->second.entry : nullptr;
  }

  /*! \brief Earliest moment at which Expire() removes something. */
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const {
    std::optional<TimePoint> next;
    for (const auto& [key, held] : m_held) {
      if (held.gone_at && (!next || *held.gone_at < *next)) {
        next = held.gone_at;
      }
    }
    return next;
  }

  /**
   * \brief Takes a written entry; it ends a removal that is held.
   * \return False if a later position is known.
   */
  bool Put(const std::string& key, StorePosition position, Entry entry) {
    const auto found = m_held.find(key);
    if (found != m_held.end() && found->second.position > position) {
      return false;
    }
    m_held.insert_or_assign(key, Held{std::move(entry), position, {}, false});
    return true;
  }

  /**
   * \brief Takes a removal.
   * \param counts_at When it counts; nothing while that is not known.
   */
  void Remove(const std::string& key,
              StorePosition position,
              std::optional<TimePoint> counts_at) {
    const auto found = m_held.find(key);
    if (found == m_held.end() || found->second.position > position) {
      return;
    }
    found->second.position = position;
    found->second.removed = true;
    found->second.gone_at = counts_at;
  }

  /*! \brief Removes an entry at once. */
  void Drop(const std::string& key) { m_held.erase(key); }

  /**
   * \brief Takes a full reading: what it does not name is removed.
   * \param named Keys of the reading.
   * \param position The store's position at its beginning; entries written
   * later stay.
   * \param counts_at As for Remove().
   */
  void RemoveOthers(const std::set<std::string>& named,
                    StorePosition position,
                    std::optional<TimePoint> counts_at) {
    for (auto& [key, held] : m_held) {
      if (!named.contains(key) && !held.removed && held.position <= position) {
        held.removed = true;
        held.gone_at = counts_at;
      }
    }
  }

  /*! \brief Keys whose removal does not count yet. */
  [[nodiscard]] std::vector<std::string> RemovedKeys() const {
    std::vector<std::string> keys;
    for (const auto& [key, held] : m_held) {
      if (held.removed) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  /*! \brief Sets the moment for removals that had none. */
  void SetExpiry(TimePoint counts_at) {
    for (auto& [key, held] : m_held) {
      if (held.removed && !held.gone_at) {
        held.gone_at = counts_at;
      }
    }
  }

  /**
   * \brief Removes what is due.
   * \return Keys that were removed.
   */
  std::vector<std::string> Expire(TimePoint now) {
    std::vector<std::string> expired;
    for (auto at = m_held.begin(); at != m_held.end();) {
      if (at->second.gone_at && *at->second.gone_at <= now) {
        expired.push_back(at->first);
        at = m_held.erase(at);
      } else {
        ++at;
      }
    }
    return expired;
  }

 private:
  struct Held {
    Entry entry;
    //! Of its last write or removal.
    StorePosition position;
    //! When its removal counts.
    std::optional<TimePoint> gone_at;
    bool removed = false;
  };

  std::map<std::string, Held> m_held;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_
