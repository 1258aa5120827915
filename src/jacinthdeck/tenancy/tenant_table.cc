// Look-up of client accounts by key and by name.
#include "jacinthdeck/tenancy/tenant_table.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

TenantTable::TenantTable(std::vector<Tenant> tenants)
    : m_tenants(std::move(tenants)) {}

const Tenant* TenantTable::Find(const TenantId& name) const {
  const auto found = std::ranges::find(m_tenants, name, &Tenant::name);
  return found == m_tenants.end() ? nullptr : &*found;
}

}  // namespace jacinthdeck
