// Bytes by the length of their way.
#ifndef JACINTHDECK_CORE_TRAFFIC_BYTES_H_
#define JACINTHDECK_CORE_TRAFFIC_BYTES_H_

#include <cstddef>
#include <cstdint>

namespace jacinthdeck {

/*! \brief Bytes within the host's failure domain, and to or from others: those
 * take longer, and are what a platform charges for. */
struct TrafficBytes {
  std::uint64_t own_domain = 0;
  std::uint64_t other_domains = 0;

  /*! \brief Counts bytes of a peer. */
  void Add(std::size_t bytes, bool in_own_domain) noexcept {
    (in_own_domain ? own_domain : other_domains) += bytes;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_TRAFFIC_BYTES_H_
