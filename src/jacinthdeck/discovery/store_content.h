// A host's copy of the store's keys, which it sends to other hosts.
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
 * \brief Keys with their values and positions, all of one era.
 *
 * Content reaches a host from the store and from other hosts, in any order. A
 * change that is older than the last known change of its key is ignored, also
 * if that was a removal: a removed entry would reappear otherwise. Full content
 * of a newer era replaces everything; changes of an older era are ignored.
 */
class StoreContent {
 public:
  //! Removals that are remembered. Older changes of their keys can arrive late
  //! only for the newest removals, so the oldest are forgotten first.
  static constexpr std::size_t kMaxRemovals = 4096;

  /*! \brief Returns all present keys, in order. */
  [[nodiscard]] std::vector<StoreChange> Items() const;

  /**
   * \brief Returns the changes after a position.
   * \return Changes in the order of their positions; nothing if some of the
   * removals since then are unknown here, or if the position is of another era.
   */
  [[nodiscard]] std::optional<std::vector<StoreChange>> ChangesSince(
      const StorePosition& position) const;

  /*! \brief Returns the position of a key's last write; revision 0 if the key
   * is absent. */
  [[nodiscard]] StorePosition PositionOf(const std::string& key) const;

  /*! \brief Number of changes since the start; equal counts mean equal
   * content. */
  [[nodiscard]] std::uint64_t changes() const noexcept {
    return m_change_count;
  }

  /**
   * \brief Applies changes that are newer than what is known of their keys.
   * \return The applied changes, in order.
   */
  std::vector<StoreChange> Apply(std::span<const StoreChange> changes);

  /**
   * \brief Replaces the content by the full content at a position; keys that
   * changed after it stay.
   * \return The items without those whose keys are known to be removed later.
   */
  std::vector<StoreChange> Replace(std::span<const StoreChange> items,
                                   const StorePosition& position);

 private:
  [[nodiscard]] bool IsNewer(const StoreChange& change) const;
  void RecordRemoval(const std::string& key, const StorePosition& position);
  void Clear();

  std::map<std::string, StoreChange> m_items;
  //! Removed keys and the positions of their removals; disjoint from m_items.
  std::map<std::string, StorePosition> m_removed;
  std::uint64_t m_change_count = 0;
  //! Newest era of which full content was applied.
  StoreEra m_era{};
  //! Position after which m_removed holds every removal; nothing before the
  //! first full content.
  std::optional<StorePosition> m_removals_complete_from;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_CONTENT_H_
