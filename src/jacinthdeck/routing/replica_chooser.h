// Strategies that pick one of the replicas eligible for a request.
#ifndef JACINTHDECK_ROUTING_REPLICA_CHOOSER_H_
#define JACINTHDECK_ROUTING_REPLICA_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*! \brief Data about a replica on which a strategy decides. */
struct ReplicaView {
  //! This host's requests in flight at the replica.
  std::uint32_t in_flight = 0;
  //! Weight of the load that the replica reported, in requests; 0 to 1.
  double load_hint = 0;
  //! Latency of the replica divided by that of its service; 1 while unknown.
  double relative_latency = 1;
  //! Fraction of its recent attempts that failed or were slow.
  double bad_attempt_rate = 0;
  //! True if an earlier attempt for the same shard went to a target in the same
  //! failure domain.
  bool shares_domain = false;
};

/*! \brief Interface of a replica choice strategy. */
class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;

  /**
   * \brief Picks a replica.
   * \param replicas Eligible replicas; at least one.
   * \param random Source of randomness.
   * \return Index of the chosen replica in replicas.
   */
  [[nodiscard]] virtual std::size_t Pick(std::span<const ReplicaView> replicas,
                                         Random& random) const = 0;
};

/*! \brief Baseline that picks a replica uniformly at random. */
class RandomChooser final : public ReplicaChooser {
 public:
  [[nodiscard]] std::size_t Pick(std::span<const ReplicaView> replicas,
                                 Random& random) const override;
};

/*! \brief Baseline that picks the replica with this host's fewest requests in
 * flight. */
class LeastInFlightChooser final : public ReplicaChooser {
 public:
  [[nodiscard]] std::size_t Pick(std::span<const ReplicaView> replicas,
                                 Random& random) const override;
};

/**
 * \brief Picks the replica with the lowest expected wait, computed from this
 * host's requests in flight, the observed latency and rate of bad attempts, and
 * the bounded load hint.
 *
 * Latency differences within the noise are ignored. With few requests in flight
 * they would decide every choice and concentrate a host's requests on one
 * replica.
 */
class ScoreChooser final : public ReplicaChooser {
 public:
  [[nodiscard]] std::size_t Pick(std::span<const ReplicaView> replicas,
                                 Random& random) const override;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_REPLICA_CHOOSER_H_
