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
 * \brief Keys and values by revision.
 *
 * Content reaches a host from the store and from other hosts, in any order. A
 * word that is older than what is known of its key is dropped here, also where
 * the key was removed meanwhile: an entry that left would come back otherwise.
 */
class StoreContent {
 public:
  //! Removals that are remembered; others than the newest cannot come late.
  static constexpr std::size_t kMostRemovals = 4096;

  /*! \brief All keys that are there. */
  [[nodiscard]] std::vector<StoreChange> Items() const;

  /**
   * \brief Gives what was changed after a revision.
   * \return Changes in the order of their revisions; nothing if some of the
   * removals since then are not known here.
   */
  [[nodiscard]] std::optional<std::vector<StoreChange>> Since(
      std::uint64_t revision) const;

  /*! \brief Revision of a key's last write; 0 if the key is not there. */
  [[nodiscard]] std::uint64_t RevisionOf(const std::string& key) const;

  /*! \brief Counts what was ever changed; equal counts mean equal content. */
  [[nodiscard]] std::uint64_t changes() const noexcept { return m_changes; }

  /**
   * \brief Takes changes.
   * \return Those that were news, in order.
   */
  std::vector<StoreChange> Apply(std::span<const StoreChange> changes);

  /**
   * \brief Takes the whole content at a revision.
   * \return Its items without those that are known to be out of date.
   */
  std::vector<StoreChange> Replace(std::span<const StoreChange> items,
                                   std::uint64_t revision);

 private:
  [[nodiscard]] bool IsNews(const StoreChange& change) const;
  void Remember(const std::string& key, std::uint64_t revision);

  std::map<std::string, StoreChange> m_items;
  //! Removed keys and when; disjoint from m_items.
  std::map<std::string, std::uint64_t> m_removed;
  std::uint64_t m_changes = 0;
  //! Revision from which on all removals are in m_removed; nothing before the
  //! first whole content.
  std::optional<std::uint64_t> m_removals_from;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_CONTENT_H_
