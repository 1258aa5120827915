// Byte counters of traffic within and across failure domains.
#ifndef JACINTHDECK_CORE_LINK_BYTES_H_
#define JACINTHDECK_CORE_LINK_BYTES_H_

#include <cstddef>
#include <cstdint>

namespace jacinthdeck {

/*! \brief Bytes exchanged within the host's failure domain and with other
 * domains. They are counted apart because traffic between domains has a higher
 * latency, and platforms charge for it. */
struct LinkBytes {
  std::uint64_t own_domain = 0;
  std::uint64_t other_domains = 0;

  /*! \brief Adds bytes exchanged with a peer. */
  void Add(std::size_t bytes, bool in_own_domain) noexcept {
    (in_own_domain ? own_domain : other_domains) += bytes;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_LINK_BYTES_H_
