// Hands out store calls within a bound and counts them.
#ifndef JACINTHDECK_CLUSTER_STORE_CALLER_H_
#define JACINTHDECK_CLUSTER_STORE_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "jacinthdeck/cluster/cluster_effects.h"
#include "jacinthdeck/cluster/peer_counters.h"

namespace jacinthdeck {

/*!
 * \brief The one way in which the core calls the store.
 *
 * A slow store would else gather ever more waiting calls; beyond the bound a
 * call is refused here and its part tries again later.
 */
class StoreCaller {
 public:
  //! Calls of one node that wait for a reply at once.
  static constexpr std::size_t kMaxInFlight = 8;

  /*! \brief Makes a caller; `counters` outlives it. */
  StoreCaller(Duration timeout, PeerCounters& counters) noexcept
      : m_timeout(timeout), m_counters(counters) {}

  [[nodiscard]] std::size_t in_flight() const noexcept { return m_open.size(); }

  /*! \brief Reads a key; nothing where too many calls wait. */
  std::optional<StoreCallId> Read(std::string key, ClusterEffects& effects);

  /*! \brief Lists the keys with a prefix; nothing where too many calls wait. */
  std::optional<StoreCallId> List(std::string prefix, ClusterEffects& effects);

  /**
   * \brief Writes a key if its store revision is the expected one.
   * \return Id of the call; nothing where too many calls wait.
   */
  std::optional<StoreCallId> CompareAndSwap(std::string key,
                                            std::string value,
                                            StoreRevision expected,
                                            ClusterEffects& effects);

  /**
   * \brief Takes the end of a call.
   * \return False for a call that is not open, whose reply must be dropped.
   */
  bool OnReply(const StoreReply& reply);

 private:
  std::optional<StoreCallId> Issue(StoreRequest request,
                                   ClusterEffects& effects);

  Duration m_timeout;
  PeerCounters& m_counters;
  std::uint64_t m_next = 1;
  //! At most kMaxInFlight.
  std::set<StoreCallId> m_open;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_STORE_CALLER_H_
