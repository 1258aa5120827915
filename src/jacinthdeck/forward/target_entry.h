// Entry of a target in the registry.
#ifndef JACINTHDECK_FORWARD_TARGET_ENTRY_H_
#define JACINTHDECK_FORWARD_TARGET_ENTRY_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Registered target. */
struct TargetEntry {
  //! Identifies one process of the target at its address.
  TargetId id;
  ServiceId service;
  //! IP address.
  std::string address;
  std::uint16_t port = 0;
  FailureDomain domain;
  //! Requests that the target executes at the same time.
  std::uint32_t slots = 1;
  //! The target finishes its current requests and gets no new ones.
  bool draining = false;
  //! The failure domain of the target is evacuated: nothing may be sent to it.
  bool evacuated = false;
  //! Until then the target is slow, and its service may limit the rate of
  //! requests to it.
  TimePoint cold_until;
  //! Start of the process in Unix milliseconds; 0 if the entry does not contain
  //! it. A target may restart under the same id: a later start is a new
  //! process, and nothing learned of the previous one applies to it.
  std::uint64_t started_ms = 0;

  [[nodiscard]] bool AcceptsRequests() const noexcept {
    return !draining && !evacuated;
  }
  [[nodiscard]] bool IsCold(TimePoint now) const noexcept {
    return now < cold_until;
  }

  [[nodiscard]] bool operator==(const TargetEntry&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TARGET_ENTRY_H_
