// What a host says of itself in the store.
#ifndef JACINTHDECK_DISCOVERY_HOST_RECORD_H_
#define JACINTHDECK_DISCOVERY_HOST_RECORD_H_

#include <cstdint>
#include <string>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief A host that serves callers. */
struct HostRecord {
  NodeId name;
  FailureDomain domain;
  //! `address:port` that callers connect to.
  std::string callers;
  //! `address:port` of the typed calls; empty if it takes none.
  std::string queries;
  //! `address:port` where other hosts learn from it; empty if they cannot.
  std::string peers;
  //! Processor that it has, in thousandths of a core.
  std::uint32_t cpu_millicores = 0;
  //! Its processor is the bottleneck of its calls now.
  bool busy = false;
  //! Start of its process in Unix milliseconds: tells its lives apart.
  std::uint64_t started_ms = 0;
  //! Host that wrote this record into the store, with whose lease it ends.
  NodeId writer;

  [[nodiscard]] bool operator==(const HostRecord&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_HOST_RECORD_H_
