// Draws from a generator of its own, so that the faults of a seed stay the
// same.
#include "soak/account_settings.h"

#include "jacinthdeck/core/random.h"

namespace jacinthdeck::soak {

namespace {

//! Below one request per entry for a small account: each of its requests waits
//! for an allocator.
constexpr double kSmallSlack = 3;
//! Slack of the users' largest installation.
constexpr double kLargeSlack = 20;

[[nodiscard]] std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

AccountSettings DrawAccountSettings(std::uint64_t seed) {
  constexpr std::uint64_t kSeedMask = 0xa0761d6478bd642fU;
  Random random(seed ^ kSeedMask);
  AccountSettings settings;
  settings.slack = random.Below(2) == 0 ? kSmallSlack : kLargeSlack;
  settings.strict_revoke = random.Below(2) == 0;
  return settings;
}

std::string SettingsText(const AccountSettings& settings) {
  return "[rate_limits]\nlisten = \"127.0.0.1:0\"\nwindow_ms = " +
         MillisecondsText(settings.window) +
         "\novershoot = " + std::to_string(settings.overshoot) +
         "\nslack = " + std::to_string(settings.slack) +
         "\n[keys]\nstrict_revoke = " +
         (settings.strict_revoke ? "true" : "false") +
         "\nrevoke_ms = " + MillisecondsText(settings.revoke) + "\n";
}

}  // namespace jacinthdeck::soak
