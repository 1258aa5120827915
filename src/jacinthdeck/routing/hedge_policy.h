// Policies for the delay between a first attempt and its hedge.
#ifndef JACINTHDECK_ROUTING_HEDGE_POLICY_H_
#define JACINTHDECK_ROUTING_HEDGE_POLICY_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/latency_histogram.h"

namespace jacinthdeck {

//! Delay that means "no hedge"; longer than any call.
inline constexpr Duration kNoHedge = std::chrono::hours(1);

/*! \brief Determines the delay before a hedge is sent. */
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  /**
   * \brief Computes the delay.
   * \param latencies Recent latencies of the service.
   * \return Time after sending the first attempt, above zero.
   */
  [[nodiscard]] virtual Duration Delay(
      const LatencyHistogram& latencies) const = 0;
};

/*! \brief Baseline that never hedges. */
class NoHedging final : public HedgePolicy {
 public:
  [[nodiscard]] Duration Delay(
      const LatencyHistogram& latencies) const override;
};

/*! \brief Baseline with a fixed delay. */
class FixedHedging final : public HedgePolicy {
 public:
  /*! \brief Creates a policy; the delay must be above zero. */
  explicit FixedHedging(Duration delay) noexcept : m_delay(delay) {}

  [[nodiscard]] Duration Delay(
      const LatencyHistogram& latencies) const override;

 private:
  Duration m_delay;
};

/**
 * \brief Uses a high quantile of recent latencies, capped at a multiple of a
 * lower quantile.
 *
 * If the share of stragglers exceeds the share of requests above the high
 * quantile, that quantile is itself the latency of a straggler, and a hedge
 * would be sent too late to help. The lower quantile is not affected by
 * stragglers.
 */
class QuantileHedging final : public HedgePolicy {
 public:
  [[nodiscard]] Duration Delay(
      const LatencyHistogram& latencies) const override;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_HEDGE_POLICY_H_
