// Control messages of the stand-in store.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_
#define JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_

#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "store/store_faults.h"

namespace jacinthdeck::standins {

/*! \brief A key written by the operator or a target. */
struct ControlPut {
  std::string key;
  std::string value;
  //! Zero: it stays.
  Duration ttl{};
};

/*! \brief What a control message asks for. */
struct StoreControl {
  StoreFaults faults;
  std::optional<double> reads_per_second;
  std::optional<double> writes_per_second;
  bool compact = false;
  //! Keep a copy of what is there before the puts and removes.
  bool take_snapshot = false;
  //! Come back from the copy, before all else.
  bool restore = false;
  std::vector<ControlPut> puts;
  std::vector<std::string> removes;
};

/**
 * \brief Reads a control message.
 * \param text JSON; absent members keep what is.
 * \param current_faults Faults in force.
 */
[[nodiscard]] Result<StoreControl> ParseStoreControl(
    const std::string& text,
    const StoreFaults& current_faults);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_
