// Options of a router.
#ifndef JACINTHDECK_ROUTING_ROUTER_OPTIONS_H_
#define JACINTHDECK_ROUTING_ROUTER_OPTIONS_H_

#include <cstdint>
#include <memory>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/hedge_policy.h"
#include "jacinthdeck/routing/replica_chooser.h"

namespace jacinthdeck {

/*! \brief Strategies, budgets and limits of a host's router. */
struct RouterOptions {
  //! Strategy of replica choice; never null.
  std::shared_ptr<const ReplicaChooser> chooser =
      std::make_shared<ScoreChooser>();
  //! Policy of the hedge delay; never null.
  std::shared_ptr<const HedgePolicy> hedging =
      std::make_shared<QuantileHedging>();
  //! Whether failing or slow targets are ejected; off only for baselines.
  bool eject_outliers = true;
  //! Hedge tokens earned per first attempt.
  double hedge_ratio = 0.035;
  //! Part of its token that is refunded for a hedge that answered first.
  double hedge_refund = 0.4;
  double hedge_burst = 20;
  //! Retry tokens earned per first attempt.
  double retry_ratio = 0.1;
  double retry_burst = 50;
  //! Number of hosts planned for the deployment; lower counts are raised to it.
  std::uint32_t expected_hosts = 1;
  //! Time for which a higher host count stays in effect.
  Duration host_count_window = std::chrono::seconds(60);
  //! Time after the start in which a host holds only one connection per target,
  //! so that the other hosts can discover it and reduce their shares. The
  //! daemon sets it above the propagation time of its membership.
  Duration startup_hold{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_ROUTER_OPTIONS_H_
