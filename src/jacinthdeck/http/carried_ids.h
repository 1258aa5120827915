// Ids of the requests that a connection has carried.
#ifndef JACINTHDECK_HTTP_CARRIED_IDS_H_
#define JACINTHDECK_HTTP_CARRIED_IDS_H_

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Remembers which request ids may not be sent on a connection again,
 * since a late copy of a response passes for that of an attempt with the same
 * id. Requests without an id are not kept. */
class CarriedIds {
 public:
  //! Number of ids that are kept after their requests have ended.
  static constexpr std::size_t kMinKept = 8;
  //! Number of ids from which the connection must not be used again. Callers
  //! choose until when their ids are kept.
  static constexpr std::size_t kMaxKept = 1024;

  /**
   * \brief Adds the id of a request that is sent.
   * \param id Id as the caller sent it; may be empty.
   * \param repeatable_until When the call ends that may send it again.
   */
  void Add(std::string_view id, TimePoint repeatable_until, TimePoint now) {
    if (id.empty()) {
      return;
    }
    if (m_ids.size() >= m_prune_at) {
      Prune(now);
    }
    m_ids.push_back({HashOf(id), repeatable_until});
  }

  /*! \brief Records that no call sends an id again; only that of the last
   * request may be given. */
  void EndLast(std::string_view id) {
    if (!m_ids.empty() && m_ids.back().hash == HashOf(id)) {
      m_ids.back().repeatable_until = TimePoint{};
    }
  }

  /*! \brief Tells whether an id was sent; rarely also of one that was not. */
  [[nodiscard]] bool Contains(std::string_view id) const {
    return !id.empty() && std::ranges::find(m_ids, HashOf(id),
                                            &CarriedId::hash) != m_ids.end();
  }

  /*! \brief Whether no further id may be added. */
  [[nodiscard]] bool full() const noexcept { return m_ids.size() >= kMaxKept; }
  [[nodiscard]] std::size_t size() const noexcept { return m_ids.size(); }

 private:
  struct CarriedId {
    std::uint64_t hash = 0;
    TimePoint repeatable_until;
  };

  [[nodiscard]] static std::uint64_t HashOf(std::string_view id) {
    return XXH3_64bits(id.data(), id.size());
  }

  void Prune(TimePoint now) {
    const auto last_kept = m_ids.end() - static_cast<std::ptrdiff_t>(kMinKept);
    m_ids.erase(std::remove_if(m_ids.begin(), last_kept,
                               [&](const CarriedId& carried) {
                                 return carried.repeatable_until <= now;
                               }),
                last_kept);
    m_prune_at = std::max(2 * m_ids.size(), 2 * kMinKept);
  }

  //! In the order in which they were sent.
  std::vector<CarriedId> m_ids;
  //! Number of ids at which those that have ended are removed.
  std::size_t m_prune_at = 2 * kMinKept;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_CARRIED_IDS_H_
