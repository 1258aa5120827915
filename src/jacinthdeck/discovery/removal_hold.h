// When a removal from the store is to be believed.
#ifndef JACINTHDECK_DISCOVERY_REMOVAL_HOLD_H_
#define JACINTHDECK_DISCOVERY_REMOVAL_HOLD_H_

#include <optional>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Delays removals that an outage of the store explains.
 *
 * While the store is away, leases run out although their holders live; their
 * entries are back soon after it is. A host that believed such removals would
 * drop every target at once and refuse all requests. Removals are held until
 * the holders had time to return; removals seen while the store is well count
 * at once.
 */
class RemovalHold {
 public:
  //! Holders that live are back within about two seconds of the store.
  static constexpr Duration kReregistrationTime =
      std::chrono::milliseconds(2300);

  /*! \brief Takes a failed call. */
  void OnCallFailed() noexcept { m_away = true; }

  /*! \brief Takes a call that went well. */
  void OnCallSucceeded(TimePoint now) noexcept {
    if (m_away) {
      m_away = false;
      m_available_since = now;
    }
  }

  /*! \brief Takes that the store came back from a copy, which may lack holders
   * that live. */
  void OnRestored(TimePoint now) noexcept {
    m_away = false;
    m_available_since = now;
  }

  /*! \brief Tells when a removal seen now counts; nothing while the store is
   * away. */
  [[nodiscard]] std::optional<TimePoint> EffectiveAt(
      TimePoint now) const noexcept {
    if (m_away) {
      return std::nullopt;
    }
    if (m_available_since && now < *m_available_since + kReregistrationTime) {
      return *m_available_since + kReregistrationTime;
    }
    return now;
  }

  [[nodiscard]] bool away() const noexcept { return m_away; }

 private:
  bool m_away = false;
  //! End of the last outage, or moment of the last restore.
  std::optional<TimePoint> m_available_since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_REMOVAL_HOLD_H_
