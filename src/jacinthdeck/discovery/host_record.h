// A host's registration in the store.
#ifndef JACINTHDECK_DISCOVERY_HOST_RECORD_H_
#define JACINTHDECK_DISCOVERY_HOST_RECORD_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Addresses, capacity and load of a host. */
struct HostRecord {
  HostId name;
  FailureDomain domain;
  //! `address:port` that callers connect to.
  std::string callers;
  //! `address:port` of the typed calls; empty if it accepts none.
  std::string queries;
  //! `address:port` of the feed for other hosts; empty if it offers none.
  std::string peers;
  //! Processor capacity in thousandths of a core.
  std::uint32_t cpu_millicores = 0;
  //! The processor is currently the bottleneck of its calls.
  bool busy = false;
  //! Start of the process in Unix milliseconds; distinguishes restarts.
  std::uint64_t started_ms = 0;
  //! Host that wrote this record; the record is removed with its lease.
  HostId writer;
  //! `address:port` for the messages between rate limiters; empty if it takes
  //! part in none, as hosts of earlier versions.
  std::string rate_limits;

  [[nodiscard]] bool operator==(const HostRecord&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_HOST_RECORD_H_
