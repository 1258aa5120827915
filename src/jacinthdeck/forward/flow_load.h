// Calls of each flow in the last seconds.
#ifndef JACINTHDECK_FORWARD_FLOW_LOAD_H_
#define JACINTHDECK_FORWARD_FLOW_LOAD_H_

#include <cstddef>
#include <string>
#include <unordered_map>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Counts the calls of flows, so that a flow pays for those it sent in
 * the last seconds, also for refused ones.
 *
 * Without that, a caller that resends at once and often would have a call in
 * the queue at any time, and would get a start whenever one is free.
 */
class FlowLoad {
 public:
  /*! \brief Counts a call.
   * \param weight Share of the flow relative to those of the others. */
  void Add(const std::string& flow, double weight, TimePoint now);

  /**
   * \brief Returns what a start of a flow costs it.
   * \return Calls of the flow for its weight, relative to those of all flows;
   * at least 1 and at most 4.
   */
  [[nodiscard]] double CostOf(const std::string& flow, double weight) const;

 private:
  struct Count {
    double present = 0;
    double former = 0;
    double weight = 1;

    [[nodiscard]] double calls() const noexcept { return present + former; }
  };

  void Rotate(TimePoint now);

  //! Calls of one to two periods are counted.
  static constexpr Duration kPeriod = std::chrono::milliseconds(2500);
  //! Bounds the memory where flows are addresses. Further flows have the cost
  //! 1 until the next period.
  static constexpr std::size_t kMaxFlows = 4096;
  static constexpr double kMaxCost = 4;

  TimePoint m_period_start;
  //! Flows with calls in the present or the former period.
  std::unordered_map<std::string, Count> m_flows;
  //! Sums over m_flows.
  double m_calls = 0;
  double m_weight = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FLOW_LOAD_H_
