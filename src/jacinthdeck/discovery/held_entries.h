// Entries of the store whose removals may take effect later.
#ifndef JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_
#define JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_

#include <algorithm>
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
 * \brief Entries by key; a removed entry stays until its removal takes effect.
 * \tparam Entry Decoded value.
 */
template <typename Entry>
class HeldEntries {
 public:
  /*! \brief Returns all entries, including those with a pending removal. */
  [[nodiscard]] std::vector<Entry> Entries() const {
    std::vector<Entry> entries;
    entries.reserve(m_slots.size());
    for (const auto& [key, slot] : m_slots) {
      entries.push_back(slot.entry);
    }
    return entries;
  }

  [[nodiscard]] std::size_t size() const noexcept { return m_slots.size(); }

  /*! \brief Returns an entry; null if there is none. */
  [[nodiscard]] const Entry* Find(const std::string& key) const {
    const auto found = m_slots.find(key);
    return found == m_slots.end() ? nullptr : &found->second.entry;
  }

  /*! \brief Returns the entry that was last changed at a position; null if
   * there is none. */
  [[nodiscard]] const Entry* FindAt(const std::string& key,
                                    const StorePosition& position) const {
    const auto found = m_slots.find(key);
    const bool is_at_position =
        found != m_slots.end() && found->second.position == position;
    return is_at_position ? &found->second.entry : nullptr;
  }

  /*! \brief Returns an entry that was last changed before an era; null if
   * there is none. */
  [[nodiscard]] const Entry* FindFromEarlierEra(const std::string& key,
                                                StoreEra era) const {
    const auto found = m_slots.find(key);
    const bool is_earlier =
        found != m_slots.end() && found->second.position.era < era;
    return is_earlier ? &found->second.entry : nullptr;
  }

  /*! \brief Returns the earliest moment at which Expire() removes an entry. */
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
   * \brief Inserts or replaces an entry and cancels its pending removal.
   * \return False if a later change of the key is known; the entry is ignored.
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
   * \brief Marks an entry as removed, unless a later change is known.
   * \param effective_at When the removal takes effect; nothing while that is
   * unknown.
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

  /*! \brief Removes an entry at once, without a delay. */
  void Erase(const std::string& key) { m_slots.erase(key); }

  /**
   * \brief Marks the entries that a full read does not list as removed.
   * \param listed Keys of the full read.
   * \param position Position of the store when the read began; entries that
   * were written later stay.
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

  /*! \brief Returns the keys whose removals have not taken effect yet. */
  [[nodiscard]] std::vector<std::string> PendingRemovalKeys() const {
    std::vector<std::string> keys;
    for (const auto& [key, slot] : m_slots) {
      if (slot.removed) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  /*! \brief Lets the pending removals take effect at a moment, unless they do
   * so earlier. */
  void AdvanceExpiry(TimePoint effective_at) {
    for (auto& [key, slot] : m_slots) {
      if (slot.removed) {
        slot.erase_at =
            std::min(slot.erase_at.value_or(effective_at), effective_at);
      }
    }
  }

  /**
   * \brief Removes the entries whose removals are due.
   * \return Keys of the removed entries.
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
    //! Position of the last write or removal.
    StorePosition position;
    //! When the removal takes effect; nothing while that is unknown.
    std::optional<TimePoint> erase_at;
    bool removed = false;
  };

  std::map<std::string, Slot> m_slots;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_HELD_ENTRIES_H_
