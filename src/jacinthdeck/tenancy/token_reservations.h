// Tokens that are reserved for requests that were refused.
#ifndef JACINTHDECK_TENANCY_TOKEN_RESERVATIONS_H_
#define JACINTHDECK_TENANCY_TOKEN_RESERVATIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Reservations of one account, by request hash and due time.
 *
 * A reservation is claimable from its due time on, for a short time; then its
 * token goes to others.
 */
class TokenReservations {
 public:
  /*! \brief Number of reservations of one account. */
  static constexpr std::size_t kMost = 4096;

  /*! \brief Sets how long a token is kept after it was due. */
  void SetClaimTime(Duration claim_time) noexcept { m_claim_time = claim_time; }

  /*! \brief Drops reservations that were not claimed in time. */
  void Advance(TimePoint now);

  /*! \brief Returns when the token of a request is due. */
  [[nodiscard]] std::optional<TimePoint> DueOf(std::uint64_t hash) const;

  /*! \brief Reserves a token; false if the table is full. */
  bool Reserve(std::uint64_t hash, TimePoint due);

  void Erase(std::uint64_t hash);
  void Clear();

  [[nodiscard]] std::size_t size() const noexcept { return m_due.size(); }
  //! Number of reservations that are due now.
  [[nodiscard]] std::size_t held() const noexcept { return m_held.size(); }
  [[nodiscard]] std::optional<TimePoint> NextDue() const;
  [[nodiscard]] std::optional<TimePoint> LastDue() const;

 private:
  using Entry = std::pair<TimePoint, std::uint64_t>;

  Duration m_claim_time{};
  //! Contains exactly the entries of m_later and m_held.
  std::unordered_map<std::uint64_t, TimePoint> m_due;
  std::set<Entry> m_later;
  std::set<Entry> m_held;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TOKEN_RESERVATIONS_H_
