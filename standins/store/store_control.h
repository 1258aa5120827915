// Control messages of the stand-in store.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_
#define JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_

#include <optional>
#include <string>

#include "jacinthdeck/core/result.h"
#include "store/store_faults.h"

namespace jacinthdeck::standins {

/*! \brief A control message after its checks. */
struct StoreControl {
  StoreFaults faults;
  std::optional<double> reads;
  std::optional<double> writes;
};

/**
 * \brief Reads a control message.
 * \param text JSON object; members: outage, delay_ms, lose_replies,
 * lose_reply_share, reads_per_second, writes_per_second.
 * \param now Faults in force; what the message does not name stays.
 * \return The message; kCorrupt with the member that is wrong.
 */
[[nodiscard]] Result<StoreControl> ParseStoreControl(const std::string& text,
                                                     const StoreFaults& now);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_CONTROL_H_
