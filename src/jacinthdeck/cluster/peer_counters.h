// What a node spends on talking to its peers and to the store.
#ifndef JACINTHDECK_CLUSTER_PEER_COUNTERS_H_
#define JACINTHDECK_CLUSTER_PEER_COUNTERS_H_

#include <cstdint>

namespace jacinthdeck {

/*! \brief Totals since the start; a reader takes differences over time. */
struct PeerCounters {
  std::uint64_t messages_sent = 0;
  //! Estimated encoded bytes, framing included.
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  //! Messages of former lives, dropped.
  std::uint64_t fenced = 0;
  std::uint64_t store_reads = 0;
  std::uint64_t store_writes = 0;
  std::uint64_t store_lists = 0;
  //! Store calls that failed or got no reply.
  std::uint64_t store_failures = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_PEER_COUNTERS_H_
