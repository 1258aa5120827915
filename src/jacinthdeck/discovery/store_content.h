// The store's keys as this host knows them, for handing on.
#ifndef JACINTHDECK_DISCOVERY_STORE_CONTENT_H_
#define JACINTHDECK_DISCOVERY_STORE_CONTENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/**
 * \brief Keys and values by position, all of one era.
 *
 * Content reaches a host from the store and from other hosts, in any order. A
 * word that is older than what is known of its key is dropped here, also where
 * the key was removed meanwhile: an entry that left would come back otherwise.
 * A whole content of a newer era takes the place of all that there is; words of
 * an older one are dropped.
 */
class StoreContent {
 public:
  //! Removals that are remembered; others than the newest cannot come late.
  static constexpr std::size_t kMaxRemovals = 4096;

  /*! \brief All keys that are there. */
  [[nodiscard]] std::vector<StoreChange> Items() const;

  /**
   * \brief Gives what was changed after a position.
   * \return Changes in the order of their positions; nothing if some of the
   * removals since then are not known here, or it is of another era.
   */
  [[nodiscard]] std::optional<std::vector<StoreChange>> ChangesSince(
      const StorePosition& position) const;

  /*! \brief Position of a key's last write; revision 0 if it is not there. */
  [[nodiscard]] StorePosition PositionOf(const std::string& key) const;

  /*! \brief Counts what was ever changed; equal counts mean equal content. */
  [[nodiscard]] std::uint64_t changes() const noexcept {
    return m_change_count;
  }

  /**
   * \brief Takes changes.
   * \return Those that were news, in order.
   */
  std::vector<StoreChange> Apply(std::span<const StoreChange> changes);

  /**
   * \brief Takes the whole content at a position.
   * \return Its items without those that are known to be out of date.
   */
  std::vector<StoreChange> Replace(std::span<const StoreChange> items,
                                   const StorePosition& position);

 private:
  [[nodiscard]] bool IsNewer(const StoreChange& change) const;
  void RecordRemoval(const std::string& key, const StorePosition& position);
  void Clear();

  std::map<std::string, StoreChange> m_items;
  //! Removed keys and when; disjoint from m_items.
  std::map<std::string, StorePosition> m_removed;
  std::uint64_t m_change_count = 0;
  //! Of the last whole content.
  StoreEra m_era{};
  //! Position from which on all removals are in m_removed; nothing before the
  //! first whole content.
  std::optional<StorePosition> m_removals_complete_from;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_CONTENT_H_
