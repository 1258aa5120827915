// Counts calls in two periods, of which the older one is dropped.
#include "jacinthdeck/forward/flow_load.h"

#include <algorithm>

namespace jacinthdeck {

void FlowLoad::Add(const std::string& flow, double weight, TimePoint now) {
  if (now - m_period_start >= kPeriod) {
    Rotate(now);
  }
  const auto found = m_flows.find(flow);
  if (found == m_flows.end() && m_flows.size() >= kMaxFlows) {
    return;
  }
  Count& count = found == m_flows.end() ? m_flows[flow] : found->second;
  m_weight += found == m_flows.end() ? weight : weight - count.weight;
  count.weight = weight;
  ++count.present;
  ++m_calls;
}

double FlowLoad::CostOf(const std::string& flow, double weight) const {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) {
    return 1;
  }
  const double relative =
      (found->second.calls() / weight) / (m_calls / m_weight);
  return std::clamp(relative, 1.0, kMaxCost);
}

void FlowLoad::Rotate(TimePoint now) {
  const bool is_former_recent = now - m_period_start < 2 * kPeriod;
  m_period_start = now;
  m_calls = 0;
  m_weight = 0;
  for (auto& [flow, count] : m_flows) {
    count.former = is_former_recent ? count.present : 0;
    count.present = 0;
    m_calls += count.former;
    m_weight += count.former > 0 ? count.weight : 0;
  }
  std::erase_if(m_flows,
                [](const auto& item) { return item.second.calls() == 0; });
}

}  // namespace jacinthdeck
