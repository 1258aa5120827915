// What the registry of targets says of one target.
#ifndef JACINTHDECK_FORWARD_TARGET_ENTRY_H_
#define JACINTHDECK_FORWARD_TARGET_ENTRY_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief One registered target. */
struct TargetEntry {
  //! Names one life of the target at its address.
  TargetId id;
  ServiceId service;
  //! IP number.
  std::string address;
  std::uint16_t port = 0;
  FailureDomain domain;
  //! Requests it works on at once.
  std::uint32_t slots = 1;
  //! It finishes what it has and gets nothing new.
  bool draining = false;
  //! Nothing may be sent to the targets of its failure domain.
  bool evacuated = false;
  //! Until then it is slow, and its service may bound its requests.
  TimePoint cold_until;
  //! Start of this life in Unix milliseconds; 0 where the entry does not say.
  //! A target may come back under its id: a later start is a new life, of which
  //! nothing learned before holds.
  std::uint64_t started_ms = 0;

  [[nodiscard]] bool TakesWork() const noexcept {
    return !draining && !evacuated;
  }
  [[nodiscard]] bool IsCold(TimePoint now) const noexcept {
    return now < cold_until;
  }

  [[nodiscard]] bool operator==(const TargetEntry&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TARGET_ENTRY_H_
