// Strategies that pick one of the replicas that may get a request.
#ifndef JACINTHDECK_ROUTING_REPLICA_CHOOSER_H_
#define JACINTHDECK_ROUTING_REPLICA_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*! \brief What a strategy sees of a replica. */
struct ReplicaView {
  //! Requests of this entry at it.
  std::uint32_t in_flight = 0;
  //! Worth of the load it reported, in requests; 0 to 1.
  double load_hint = 0;
  //! Its latency over that of its service; 1 while unknown.
  double relative_latency = 1;
  //! Share of its recent attempts that failed or were late.
  double bad_attempt_rate = 0;
  //! An earlier attempt of the same shard went to its failure domain.
  bool shares_domain = false;
};

/*! \brief Picks a replica. */
class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;

  /**
   * \brief Picks a replica.
   * \param replicas Replicas that may get the request; at least one.
   * \param random Source of randomness.
   * \return Index into the replicas.
   */
  [[nodiscard]] virtual std::size_t Pick(std::span<const ReplicaView> replicas,
                                         Random& random) const = 0;
};

/*! \brief Baseline: any replica, evenly. */
class RandomChooser final : public ReplicaChooser {
 public:
  [[nodiscard]] std::size_t Pick(std::span<const ReplicaView> replicas,
                                 Random& random) const override;
};

/*! \brief Baseline: the replica with the fewest requests of this entry. */
class LeastInFlightChooser final : public ReplicaChooser {
 public:
  [[nodiscard]] std::size_t Pick(std::span<const ReplicaView> replicas,
                                 Random& random) const override;
};

/**
 * \brief Lowest expected wait, from own requests in flight, latency and trouble
 * seen, and a bounded hint.
 *
 * Latency differences within noise are ignored: with a few requests in flight
 * they would decide every choice and herd an entry onto one replica.
 */
class ScoreChooser final : public ReplicaChooser {
 public:
  [[nodiscard]] std::size_t Pick(std::span<const ReplicaView> replicas,
                                 Random& random) const override;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_REPLICA_CHOOSER_H_
