// A set of shards that the configuration names: each resharding brings another.
#ifndef SOAK_LAYOUT_H_
#define SOAK_LAYOUT_H_

#include <cstdint>
#include <string>

namespace jacinthdeck::soak {

inline constexpr std::uint32_t kShards = 3;

/*! \brief Service of one shard. */
[[nodiscard]] std::string ServiceName(std::uint32_t layout,
                                      std::uint32_t shard);

/*! \brief Service of the requests that need one target. */
[[nodiscard]] std::string SingleName(std::uint32_t layout);

/*! \brief The configuration that names one layout and no other. */
[[nodiscard]] std::string ConfigText(std::uint32_t layout);

}  // namespace jacinthdeck::soak

#endif  // SOAK_LAYOUT_H_
