// How the file descriptors of a host are divided.
#ifndef JACINTHDECK_ENTRY_DESCRIPTOR_SHARES_H_
#define JACINTHDECK_ENTRY_DESCRIPTOR_SHARES_H_

#include <cstdint>

#include "jacinthdeck/entry/entry_settings.h"

namespace jacinthdeck {

/*! \brief Maximum number of connections of each kind. */
struct DescriptorShares {
  std::uint32_t callers = 0;
  std::uint32_t targets = 0;
  std::uint32_t directory = 0;
  std::uint32_t queries = 0;
  //! Of each of the ports for readiness and metrics.
  std::uint32_t monitoring = 0;
  //! Hosts that follow this one.
  std::uint32_t followers = 0;
};

/*! \brief Divides the descriptors in the settings, so that no kind of
 * connection can take those of another, or those of the process itself. Ports
 * that are not configured have no share; callers get it. */
[[nodiscard]] DescriptorShares ShareDescriptors(const EntrySettings& settings);

/*! \brief Raises the limit of the process on descriptors to a number, as far as
 * the system allows; a higher limit stays. */
void RaiseDescriptorLimit(std::uint32_t descriptors);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_DESCRIPTOR_SHARES_H_
