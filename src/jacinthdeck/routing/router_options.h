// Settings of a router.
#ifndef JACINTHDECK_ROUTING_ROUTER_OPTIONS_H_
#define JACINTHDECK_ROUTING_ROUTER_OPTIONS_H_

#include <cstdint>
#include <memory>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/hedge_policy.h"
#include "jacinthdeck/routing/replica_chooser.h"

namespace jacinthdeck {

/*! \brief Strategies, budgets and shares of one entry's router. */
struct RouterOptions {
  //! Never null.
  std::shared_ptr<const ReplicaChooser> chooser =
      std::make_shared<ScoreChooser>();
  //! Never null.
  std::shared_ptr<const HedgePolicy> hedging =
      std::make_shared<QuantileHedging>();
  //! Leave out targets that fail or lag; off only for baselines.
  bool eject_outliers = true;
  //! Hedges for each first attempt.
  double hedge_ratio = 0.035;
  //! Part of its token that a hedge which answered first gives back.
  double hedge_refund = 0.4;
  double hedge_burst = 20;
  //! Retries for each first attempt.
  double retry_ratio = 0.1;
  double retry_burst = 50;
  //! Entries that the deployment is meant to have; the count never falls below.
  std::uint32_t expected_hosts = 1;
  //! How long a higher count of entries is remembered.
  Duration host_count_window = std::chrono::seconds(60);
  //! After its start an entry holds one connection a target for this long,
  //! until the others have seen it and have shrunk their shares. The daemon
  //! sets it to longer than its membership takes to spread.
  Duration startup_hold{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_OPTIONS_H_
