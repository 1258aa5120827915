// The settings by which the entries of a run treat accounts.
#ifndef SOAK_ACCOUNT_SETTINGS_H_
#define SOAK_ACCOUNT_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief Settings of the entries that bound what accounts may do. */
struct AccountSettings {
  //! Span over which limits hold.
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;
  //! Whether an entry refuses requests with keys while it has had no news of
  //! the store for `revoke`.
  bool strict_revoke = false;
  Duration revoke = std::chrono::milliseconds(2000);
};

/*! \brief Draws the settings of a run. They vary in strictness, and in whether
 * the slack gives each of four entries a reserve for a small account. */
[[nodiscard]] AccountSettings DrawAccountSettings(std::uint64_t seed);

/*! \brief Returns the sections of an entry's settings file. */
[[nodiscard]] std::string SettingsText(const AccountSettings& settings);

}  // namespace jacinthdeck::soak

#endif  // SOAK_ACCOUNT_SETTINGS_H_
