// Strategies for how long to wait for a first attempt before a hedge.
#ifndef JACINTHDECK_ROUTING_HEDGE_POLICY_H_
#define JACINTHDECK_ROUTING_HEDGE_POLICY_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/latency_histogram.h"

namespace jacinthdeck {

//! Delay that no call outlives; stands for "no hedge".
inline constexpr Duration kNoHedge = std::chrono::hours(1);

/*! \brief Gives the delay before a hedge. */
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  /**
   * \brief Gives the delay.
   * \param latencies Recent latencies of the service.
   * \return Time from the sending of the first attempt, above zero.
   */
  [[nodiscard]] virtual Duration Delay(
      const LatencyHistogram& latencies) const = 0;
};

/*! \brief Baseline: never. */
class NoHedging final : public HedgePolicy {
 public:
  [[nodiscard]] Duration Delay(
      const LatencyHistogram& latencies) const override;
};

/*! \brief Baseline: a delay that was set once. */
class FixedHedging final : public HedgePolicy {
 public:
  /*! \brief Makes a policy with a delay above zero. */
  explicit FixedHedging(Duration delay) noexcept : m_delay(delay) {}

  [[nodiscard]] Duration Delay(
      const LatencyHistogram& latencies) const override;

 private:
  Duration m_delay;
};

/**
 * \brief A high quantile of recent latencies, capped by a multiple of a middle
 * one.
 *
 * The quantile alone fails once more requests straggle than lie above it: it
 * then is a straggler's latency, and a hedge comes too late to help. The middle
 * quantile does not see stragglers.
 */
class QuantileHedging final : public HedgePolicy {
 public:
  [[nodiscard]] Duration Delay(
      const LatencyHistogram& latencies) const override;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_HEDGE_POLICY_H_
