// Control messages of the stand-in store and their parser.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_
#define JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_

#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "store/store_faults.h"

namespace jacinthdeck::standins {

/*! \brief Key that a control message writes for an operator or a target. */
struct ControlPut {
  std::string key;
  std::string value;
  //! Lifetime of the key; 0 if it does not expire.
  Duration ttl{};
};

/*! \brief Parsed control message. */
struct StoreControl {
  StoreFaults faults;
  std::optional<double> reads_per_second;
  std::optional<double> writes_per_second;
  bool compact = false;
  //! Takes a snapshot before the puts and removes.
  bool take_snapshot = false;
  //! Restores the snapshot, before any other change of the content.
  bool restore = false;
  std::vector<ControlPut> puts;
  std::vector<std::string> removes;
};

/**
 * \brief Parses a control message.
 * \param text JSON; absent members leave faults, rates and content as they are.
 * \param current_faults Faults in force.
 */
[[nodiscard]] Result<StoreControl> ParseStoreControl(
    const std::string& text,
    const StoreFaults& current_faults);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_
