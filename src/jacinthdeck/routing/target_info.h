// What the host list and the settings say of a target.
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
  //! Finishes what it has and gets nothing new.
  kLeaving,
  kGone,
};

//! Names of the target states as they stand in the host list.
inline constexpr NameTable<TargetState, 3> kTargetStateNames{
    {"live", "leaving", "gone"}};

/*! \brief One target as the host list names it. */
struct TargetInfo {
  TargetId id;
  ServiceId service;
  FailureDomain domain;
  //! IP number.
  std::string address;
  std::uint16_t port = 0;
  TargetState state = TargetState::kLive;
  //! Requests it works on at once.
  std::uint32_t slots = 1;
  //! Connections it accepts from all entries together.
  std::uint32_t connections = 1;
  //! Time it takes to open a connection.
  Duration connection_open_time{};

  [[nodiscard]] bool operator==(const TargetInfo&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_INFO_H_
