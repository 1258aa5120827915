// Orders accounts by requests, and by name where those are equal, so that equal
// runs list the same accounts.
#include "jacinthdeck/entry/account_counters.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>
#include <unordered_set>

namespace jacinthdeck {

namespace {

void AddTo(AccountCounts& sum, const AccountCounts& counts) {
  std::ranges::transform(sum, counts, sum.begin(), std::plus<>());
}

//! Returns the number of requests; a refunded one was admitted before.
[[nodiscard]] std::uint64_t RequestsOf(const AccountCounts& counts) {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}) -
         counts[static_cast<std::size_t>(GateOutcome::kRefunded)];
}

}  // namespace

AccountCounts AccountCounters::CountsOf(const TenantId& tenant) const {
  const auto found = m_counts.find(tenant);
  return found == m_counts.end() ? AccountCounts{} : found->second;
}

std::vector<AccountUsage> AccountCounters::Top(std::size_t limit) const {
  std::vector<AccountUsage> usages;
  usages.reserve(m_counts.size());
  for (const auto& [tenant, counts] : m_counts) {
    usages.push_back({tenant, counts});
  }
  std::ranges::sort(usages, [](const AccountUsage& a, const AccountUsage& b) {
    return std::tuple(RequestsOf(b.counts), a.tenant.raw()) <
           std::tuple(RequestsOf(a.counts), b.tenant.raw());
  });
  usages.resize(std::min(usages.size(), limit));
  return usages;
}

AccountCounts AccountCounters::Rest(
    std::span<const AccountUsage> listed) const {
  std::unordered_set<TenantId> names;
  for (const AccountUsage& usage : listed) {
    names.insert(usage.tenant);
  }
  AccountCounts rest = m_removed;
  for (const auto& [tenant, counts] : m_counts) {
    if (!names.contains(tenant)) {
      AddTo(rest, counts);
    }
  }
  return rest;
}

void AccountCounters::Add(const TenantId& tenant, GateOutcome outcome) {
  ++m_counts[tenant][static_cast<std::size_t>(outcome)];
}

void AccountCounters::Retain(const TenantTable& tenants) {
  if (m_counts.empty()) {
    return;
  }
  std::unordered_set<TenantId> names;
  for (const Tenant& tenant : tenants.tenants()) {
    names.insert(tenant.name);
  }
  std::erase_if(m_counts, [&](const auto& item) {
    const bool removed = !names.contains(item.first);
    if (removed) {
      AddTo(m_removed, item.second);
    }
    return removed;
  });
}

}  // namespace jacinthdeck
