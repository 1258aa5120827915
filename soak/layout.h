// A layout is the set of services that a configuration routes to. Each reshard
// introduces a new layout with the next number.
#ifndef SOAK_LAYOUT_H_
#define SOAK_LAYOUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "soak/account.h"

namespace jacinthdeck::soak {

//! Number of shards in each layout.
inline constexpr std::uint32_t kShards = 3;

/*! \brief Returns the name of the service of one shard. */
[[nodiscard]] std::string ServiceName(std::uint32_t layout,
                                      std::uint32_t shard);

/*! \brief Returns the name of the service for requests that need one target. */
[[nodiscard]] std::string SingleServiceName(std::uint32_t layout);

/*! \brief Returns the JSON configuration that routes to one layout only. With
 * accounts it also has a public route; the slow route has a longer timeout.
 * Entries take it if its version is higher than that of the one they have. */
[[nodiscard]] std::string ConfigText(std::uint32_t version,
                                     std::uint32_t layout,
                                     const std::vector<Account>& accounts,
                                     bool with_slow_route = false);

}  // namespace jacinthdeck::soak

#endif  // SOAK_LAYOUT_H_
