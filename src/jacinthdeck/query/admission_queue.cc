// Start-time fair queueing of waiting calls.
#include "jacinthdeck/query/admission_queue.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

std::size_t AdmissionQueue::CountOf(const TenantId& tenant) const {
  const auto found = m_tenants.find(tenant);
  return found == m_tenants.end() ? 0 : found->second.calls.size();
}

double AdmissionQueue::StartsAhead(const TenantId& tenant) const {
  const auto own_calls = static_cast<double>(CountOf(tenant));
  const double weight = WeightOf(tenant);
  const double other_weights =
      ActiveWeight() - (m_tenants.contains(tenant) ? weight : 0);
  const double by_share = own_calls * (weight + other_weights) / weight;
  return std::min(by_share, static_cast<double>(m_calls.size()));
}

bool AdmissionQueue::ExceedsShare(const TenantId& tenant) const {
  const double weight = WeightOf(tenant);
  const double active =
      ActiveWeight() + (m_tenants.contains(tenant) ? 0 : weight);
  const double share =
      static_cast<double>(m_options->max_waiting_calls) * weight / active;
  return static_cast<double>(CountOf(tenant) + 1) > share;
}

AdmissionQueue::Key AdmissionQueue::Add(Call call, double cost) {
  const Key key{call.deadline, m_arrivals++};
  const auto [found, added] = m_tenants.try_emplace(call.tenant);
  if (added) {
    found->second.weight = WeightOf(call.tenant);
    const auto idle = m_idle_virtual_times.find(call.tenant);
    found->second.virtual_time = idle == m_idle_virtual_times.end()
                                     ? m_virtual_time
                                     : std::max(m_virtual_time, idle->second);
  }
  found->second.calls.insert(key);
  m_calls.emplace(key, Waiting{std::move(call), cost});
  return key;
}

Call AdmissionQueue::TakeNext() {
  const auto next = std::ranges::min_element(
      m_tenants, {}, [](const auto& item) { return item.second.virtual_time; });
  Tenant& tenant = next->second;
  m_virtual_time = tenant.virtual_time;
  std::erase_if(m_idle_virtual_times, [this](const auto& item) {
    return item.second <= m_virtual_time;
  });
  const Key key = *tenant.calls.begin();
  tenant.virtual_time += m_calls.at(key).cost / tenant.weight;
  return TakeExisting(key);
}

std::optional<Call> AdmissionQueue::TakeDueBy(TimePoint time) {
  if (m_calls.empty() || EarliestDeadline() > time) {
    return std::nullopt;
  }
  const Key key = m_calls.begin()->first;
  return TakeExisting(key);
}

Call AdmissionQueue::TakeExcess() {
  const auto largest =
      std::ranges::max_element(m_tenants, {}, [](const auto& item) {
        return static_cast<double>(item.second.calls.size()) /
               item.second.weight;
      });
  const Key key = *largest->second.calls.rbegin();
  return TakeExisting(key);
}

std::optional<Call> AdmissionQueue::Take(const Key& key) {
  if (!m_calls.contains(key)) {
    return std::nullopt;
  }
  return TakeExisting(key);
}

Call AdmissionQueue::TakeExisting(const Key& key) {
  const auto found = m_calls.find(key);
  Call call = std::move(found->second.call);
  m_calls.erase(found);
  const auto tenant = m_tenants.find(call.tenant);
  tenant->second.calls.erase(key);
  if (tenant->second.calls.empty()) {
    m_idle_virtual_times[call.tenant] = tenant->second.virtual_time;
    m_tenants.erase(tenant);
  }
  return call;
}

double AdmissionQueue::WeightOf(const TenantId& tenant) const {
  const auto found = m_options->weights.find(tenant);
  return found == m_options->weights.end() ? m_options->default_weight
                                           : found->second;
}

double AdmissionQueue::ActiveWeight() const {
  double weight = 0;
  for (const auto& [id, tenant] : m_tenants) {
    weight += tenant.weight;
  }
  return weight;
}

}  // namespace jacinthdeck
