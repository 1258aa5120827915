// Updates the hedge delay of a service at intervals, since reading quantiles is
// expensive.
#include "jacinthdeck/routing/service_record.h"

namespace jacinthdeck {

namespace internal {

constexpr std::uint32_t kServiceAverageSamples = 500;
//! Samples between two updates of the delays from the quantiles.
constexpr std::uint64_t kQuantileUpdateSamples = 64;
constexpr double kSaturatedShedRate = 0.05;
//! Samples required before the shed rate is used.
constexpr std::uint32_t kMinShedSamples = 50;

}  // namespace internal

ServiceRecord::ServiceRecord(TokenBudget hedge_budget,
                             TokenBudget retry_budget,
                             const HedgePolicy& hedging)
    : m_hedge_budget(hedge_budget),
      m_retry_budget(retry_budget),
      m_latency(internal::kServiceAverageSamples),
      m_shed_rate(internal::kServiceAverageSamples),
      m_hedge_delay(hedging.Delay(m_latencies)),
      m_late_after(QuantileHedging().Delay(m_latencies)) {}

bool ServiceRecord::saturated() const noexcept {
  return m_shed_rate.samples() >= internal::kMinShedSamples &&
         m_shed_rate.value() > internal::kSaturatedShedRate;
}

void ServiceRecord::OnAnswer(Duration latency, const HedgePolicy& hedging) {
  m_latency.Add(static_cast<double>(latency.count()));
  AddLatency(latency, hedging);
}

void ServiceRecord::OnOverdue(Duration latency, const HedgePolicy& hedging) {
  AddLatency(latency, hedging);
}

void ServiceRecord::AddLatency(Duration latency, const HedgePolicy& hedging) {
  m_latencies.Add(latency);
  if (m_latencies.samples() % internal::kQuantileUpdateSamples == 0) {
    m_hedge_delay = hedging.Delay(m_latencies);
    // The threshold of a late attempt is the same under every hedge policy.
    m_late_after = QuantileHedging().Delay(m_latencies);
  }
}

}  // namespace jacinthdeck
