// Decides when a removal from the store takes effect.
#ifndef JACINTHDECK_DISCOVERY_REMOVAL_HOLD_H_
#define JACINTHDECK_DISCOVERY_REMOVAL_HOLD_H_

#include <algorithm>
#include <optional>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Delays removals that an outage of the store may have caused.
 *
 * While the store is unavailable, leases expire although their holders are
 * alive; the holders register again soon after the store is back. A host that
 * applied such removals at once would drop every target and refuse all
 * requests. Removals are therefore delayed until the holders had time to
 * register again. Removals that arrive while the store is available take effect
 * at once, also on a host that the store rejects while it serves others.
 */
class RemovalHold {
 public:
  //! Live holders register again within about two seconds after the store is
  //! back.
  static constexpr Duration kReregistrationTime =
      std::chrono::milliseconds(2300);

  /*! \brief Records a failed call to the store. */
  void OnCallFailed() noexcept { m_away = true; }

  /*! \brief Records a successful call to the store. */
  void OnCallSucceeded(TimePoint now) noexcept {
    if (m_away || !m_available_since) {
      m_available_since = now;
    }
    EndOutage();
  }

  /**
   * \brief Records since when the store has been available without a break, as
   * another host knows it: a store that rejects this host may serve others.
   * \return Whether removals may take effect earlier than before.
   */
  bool OnAvailable(TimePoint since) noexcept {
    const bool is_earlier =
        m_away || (m_had_outage && since < *m_available_since);
    m_available_since =
        m_away ? since : std::min(m_available_since.value_or(since), since);
    EndOutage();
    return is_earlier;
  }

  /*! \brief Records that the store was restored from a backup, which may lack
   * the entries of live holders. */
  void OnRestored(TimePoint now) noexcept {
    m_away = false;
    m_had_outage = true;
    m_available_since = now;
  }

  /*! \brief Returns when a removal that arrives now takes effect; nothing
   * while the store is unavailable. */
  [[nodiscard]] std::optional<TimePoint> EffectiveAt(
      TimePoint now) const noexcept {
    if (m_away) {
      return std::nullopt;
    }
    if (m_had_outage && now < *m_available_since + kReregistrationTime) {
      return *m_available_since + kReregistrationTime;
    }
    return now;
  }

  /*! \brief Tells whether the store is considered unavailable. */
  [[nodiscard]] bool away() const noexcept { return m_away; }

  /*! \brief Returns since when the store is known to be available without a
   * break; nothing before the first contact and while it is unavailable. */
  [[nodiscard]] std::optional<TimePoint> available_since() const noexcept {
    return m_away ? std::nullopt : m_available_since;
  }

 private:
  void EndOutage() noexcept {
    m_had_outage = m_had_outage || m_away;
    m_away = false;
  }

  bool m_away = false;
  //! Whether an outage or a restore preceded m_available_since, which then has
  //! a value; a first contact delays no removal.
  bool m_had_outage = false;
  std::optional<TimePoint> m_available_since;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_REMOVAL_HOLD_H_
