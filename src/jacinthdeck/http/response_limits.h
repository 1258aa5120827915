// Limits on the response of a target.
#ifndef JACINTHDECK_HTTP_RESPONSE_LIMITS_H_
#define JACINTHDECK_HTTP_RESPONSE_LIMITS_H_

#include <cstdint>

namespace jacinthdeck::internal {

inline constexpr std::uint32_t kMaxResponseHeaderBytes = 65536;
inline constexpr std::uint64_t kMaxResponseBodyBytes = std::uint64_t{16} << 20U;

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_HTTP_RESPONSE_LIMITS_H_
