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
    entries.reserve(m_slots.size());
    for (const auto& [key, slot] : m_slots) {
      entries.push_back(slot.entry);
    }
    return entries;
  }

  [[nodiscard]] std::size_t size() const noexcept { return m_slots.size(); }

  /*! \brief Finds an entry; null if there is none. */
  [[nodiscard]] const Entry* Find(const std::string& key) const {
    const auto found = m_slots.find(key);
    return found == m_slots.end() ? nullptr : &found->second.entry;
  }

  /*! \brief Finds an entry as of a position; null if another one is known. */
  [[nodiscard]] const Entry* FindAt(const std::string& key,
                                    const StorePosition& position) const {
    const auto found = m_slots.find(key);
    const bool is_of_it =
        found != m_slots.end() && found->second.position == position;
    return is_of_it ? &found->second.entry : nullptr;
  }

  /*! \brief Finds an entry that an era before this one wrote; null if there is
   * none. */
  [[nodiscard]] const Entry* FindFromEarlierEra(const std::string& key,
                                                StoreEra era) const {
    const auto found = m_slots.find(key);
    const bool is_before =
        found != m_slots.end() && found->second.position.era < era;
    return is_before ? &found->second.entry : nullptr;
  }

  /*! \brief Earliest moment at which Expire() removes something. */
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const {
    std::optional<TimePoint> next;
    for (const auto& [key, slot] : m_slots) {
      if (slot.erase_at && (!next || *slot.erase_at < *next)) {
        next = slot.erase_at;
      }
    }
    return next;
  }

  /**
   * \brief Takes a written entry; it ends a removal that is held.
   * \return False if a later position is known.
   */
  bool Put(const std::string& key, StorePosition position, Entry entry) {
    const auto found = m_slots.find(key);
    if (found != m_slots.end() && found->second.position > position) {
      return false;
    }
    m_slots.insert_or_assign(key, Slot{std::move(entry), position, {}, false});
    return true;
  }

  /**
   * \brief Takes a removal.
   * \param effective_at When it counts; nothing while that is not known.
   */
  void Remove(const std::string& key,
              StorePosition position,
              std::optional<TimePoint> effective_at) {
    const auto found = m_slots.find(key);
    if (found == m_slots.end() || found->second.position > position) {
      return;
    }
    found->second.position = position;
    found->second.removed = true;
    found->second.erase_at = effective_at;
  }

  /*! \brief Removes an entry at once. */
  void Erase(const std::string& key) { m_slots.erase(key); }

  /**
   * \brief Takes a full reading: what it does not name is removed.
   * \param listed Keys of the reading.
   * \param position The store's position at its beginning; entries written
   * later stay.
   * \param effective_at As for Remove().
   */
  void RemoveUnlisted(const std::set<std::string>& listed,
                      StorePosition position,
                      std::optional<TimePoint> effective_at) {
    for (auto& [key, slot] : m_slots) {
      if (!listed.contains(key) && !slot.removed && slot.position <= position) {
        slot.removed = true;
        slot.erase_at = effective_at;
      }
    }
  }

  /*! \brief Keys whose removal does not count yet. */
  [[nodiscard]] std::vector<std::string> PendingRemovalKeys() const {
    std::vector<std::string> keys;
    for (const auto& [key, slot] : m_slots) {
      if (slot.removed) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  /*! \brief Sets the moment for removals that had none. */
  void SetExpiry(TimePoint effective_at) {
    for (auto& [key, slot] : m_slots) {
      if (slot.removed && !slot.erase_at) {
        slot.erase_at = effective_at;
      }
    }
  }

  /**
   * \brief Removes what is due.
   * \return Keys that were removed.
   */
  std::vector<std::string> Expire(TimePoint now) {
    std::vector<std::string> expired;
    for (auto at = m_slots.begin(); at != m_slots.end();) {
      if (at->second.erase_at && *at->second.erase_at <= now) {
        expired.push_back(at->first);
        at = m_slots.erase(at);
      } else {
        ++at;
      }
    }
    return expired;
  }

 private:
  struct Slot {
    Entry entry;
    //! Of its last write or removal.
    StorePosition position;
    //! When its removal counts.
    std::optional<TimePoint> erase_at;
    bool removed = false;
  };

  std::map<std::string, Slot> m_slots;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_
