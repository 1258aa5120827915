// Description of a target from the host list and the settings.
#ifndef JACINTHDECK_ROUTING_TARGET_INFO_H_
#define JACINTHDECK_ROUTING_TARGET_INFO_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Whether new work may go to a target. */
enum class TargetState {
  kLive,
  //! Finishes its running requests and gets no new ones.
  kLeaving,
  kGone,
};

//! Names of the target states in the host list.
inline constexpr NameTable<TargetState, 3> kTargetStateNames{
    {"live", "leaving", "gone"}};

/*! \brief Address, state and limits of a target. */
struct TargetInfo {
  TargetId id;
  ServiceId service;
  FailureDomain domain;
  //! IP address.
  std::string address;
  std::uint16_t port = 0;
  TargetState state = TargetState::kLive;
  //! Number of requests that it executes concurrently.
  std::uint32_t slots = 1;
  //! Connections that it accepts from all hosts together.
  std::uint32_t connections = 1;
  //! Time that the target needs to accept one connection.
  Duration connection_open_time{};

  [[nodiscard]] bool operator==(const TargetInfo&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_INFO_H_
