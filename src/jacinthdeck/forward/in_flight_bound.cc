// Each host gets an equal share of a few requests per slot of the target.
#include "jacinthdeck/forward/in_flight_bound.h"

#include <algorithm>

namespace jacinthdeck {

namespace {

//! Requests per slot at a target that is full by the shares of all hosts: one
//! that is executed and three that wait.
constexpr std::uint64_t kRequestsPerSlot = 4;
//! A smaller limit leaves targets idle where calls overlap at one host.
constexpr std::uint64_t kMinInFlight = 2;

}  // namespace

std::uint32_t MaxInFlight(const TargetShare& share,
                          std::uint32_t slots) noexcept {
  const std::uint64_t hosts = std::max(share.hosts, 1U);
  const std::uint64_t capacity = kRequestsPerSlot * std::max(slots, 1U);
  const std::uint64_t equal_share = (capacity + hosts - 1) / hosts;
  return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
      std::max(equal_share, kMinInFlight), 1, std::max(share.connections, 1U)));
}

}  // namespace jacinthdeck
