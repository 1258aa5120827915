// Statistics and budgets of a service, kept by the router.
#ifndef JACINTHDECK_ROUTING_SERVICE_RECORD_H_
#define JACINTHDECK_ROUTING_SERVICE_RECORD_H_

#include <cstdint>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/decaying_average.h"
#include "jacinthdeck/routing/hedge_policy.h"
#include "jacinthdeck/routing/latency_histogram.h"
#include "jacinthdeck/routing/token_budget.h"

namespace jacinthdeck {

/*! \brief Latencies, shed rate and budgets of a service. */
class ServiceRecord {
 public:
  /*! \brief Creates a record with the given budgets; hedging sets the delay. */
  ServiceRecord(TokenBudget hedge_budget,
                TokenBudget retry_budget,
                const HedgePolicy& hedging);

  /*! \brief Returns the delay before a hedge. */
  [[nodiscard]] Duration hedge_delay() const noexcept { return m_hedge_delay; }

  /*! \brief Returns the latency above which an attempt is late. */
  [[nodiscard]] Duration late_after() const noexcept { return m_late_after; }

  /*! \brief Returns the average latency of answers in microseconds. */
  [[nodiscard]] double latency() const noexcept { return m_latency.value(); }

  /*! \brief Returns true if the shed rate is so high that no hedge should be
   * sent. */
  [[nodiscard]] bool saturated() const noexcept;

  /*! \brief Returns the budget of hedges. */
  [[nodiscard]] TokenBudget& hedge_budget() noexcept { return m_hedge_budget; }

  /*! \brief Returns the budget of retries. */
  [[nodiscard]] TokenBudget& retry_budget() noexcept { return m_retry_budget; }

  /*! \brief Records the latency of an answer. */
  void OnAnswer(Duration latency, const HedgePolicy& hedging);

  /*! \brief Records a late attempt that was cancelled without an answer; its
   * latency is a lower bound. */
  void OnOverdue(Duration latency, const HedgePolicy& hedging);

  /*! \brief Records whether a reply was a shed. */
  void AddShedSample(bool shed) noexcept { m_shed_rate.Add(shed ? 1 : 0); }

 private:
  void AddLatency(Duration latency, const HedgePolicy& hedging);

  TokenBudget m_hedge_budget;
  TokenBudget m_retry_budget;
  LatencyHistogram m_latencies;
  DecayingAverage m_latency;
  DecayingAverage m_shed_rate;
  Duration m_hedge_delay;
  Duration m_late_after;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_SERVICE_RECORD_H_
