// Callers send each key their account ever has, also before it is added and
// after it is removed.
#include "soak/credentials.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "soak/account.h"

namespace jacinthdeck::soak {

namespace {

constexpr std::size_t kSmallCallers = 2;
//! One in this many calls carries a forged account header.
constexpr std::uint64_t kForgedOneIn = 6;
//! Two callers at this pause send less than one request per second together.
constexpr std::uint64_t kShortestSmallPauseMs = 2300;
constexpr std::uint64_t kLongestSmallPauseMs = 2700;
constexpr const char* kUnknownKey = "key-nobody";

[[nodiscard]] std::string DrawKey(CallerRole role, Random& random) {
  if (role == CallerRole::kStranger) {
    return random.Below(2) == 0 ? "" : kUnknownKey;
  }
  if (role == CallerRole::kSmall) {
    // The third key is not in use at first. Its callers would be answered 401
    // and the small account would have too few calls to check.
    return AllKeysOf(kSmallAccount)[random.Below(2)];
  }
  const std::vector<std::string> keys =
      AllKeysOf(role == CallerRole::kBusy ? kBusyAccount : kUnlimitedAccount);
  return keys[random.Below(keys.size())];
}

}  // namespace

CallerRole RoleOf(std::size_t caller) {
  constexpr std::array kRoles{CallerRole::kBusy, CallerRole::kUnlimited,
                              CallerRole::kBusy, CallerRole::kUnlimited,
                              CallerRole::kStranger};
  return caller < kSmallCallers
             ? CallerRole::kSmall
             : kRoles[(caller - kSmallCallers) % kRoles.size()];
}

Credentials DrawCredentials(CallerRole role, Random& random) {
  constexpr std::array kForged{kSmallAccount, kUnlimitedAccount};
  Credentials drawn{DrawKey(role, random), ""};
  if (random.Below(kForgedOneIn) == 0) {
    drawn.forged_account = kForged[random.Below(kForged.size())];
  }
  return drawn;
}

Duration DrawSmallPause(Random& random) {
  return std::chrono::milliseconds(
      kShortestSmallPauseMs +
      random.Below(kLongestSmallPauseMs - kShortestSmallPauseMs));
}

}  // namespace jacinthdeck::soak
