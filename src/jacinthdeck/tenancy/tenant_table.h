// The client accounts of a configuration version, found by key or by name.
#ifndef JACINTHDECK_TENANCY_TENANT_TABLE_H_
#define JACINTHDECK_TENANCY_TENANT_TABLE_H_

#include <string_view>
#include <vector>

#include "jacinthdeck/tenancy/tenant.h"

namespace jacinthdeck {

/*! \brief Immutable table of client accounts. Pointers into it are valid as
 * long as it lives. */
class TenantTable {
 public:
  /*! \brief Creates a table without accounts: keys are not checked. */
  TenantTable() = default;

  /*! \brief Creates a table; names and keys must be distinct. */
  explicit TenantTable(std::vector<Tenant> tenants);

  [[nodiscard]] bool empty() const noexcept { return m_tenants.empty(); }
  [[nodiscard]] const std::vector<Tenant>& tenants() const noexcept {
    return m_tenants;
  }

  /*! \brief Returns the account that holds a key; null if none does. */
  [[nodiscard]] const Tenant* FindByKey(std::string_view key) const;

  /*! \brief Returns the account with a name; null if there is none. */
  [[nodiscard]] const Tenant* Find(const TenantId& name) const;

 private:
  //! Not changed after construction; pointers into it are handed out.
  std::vector<Tenant> m_tenants;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TENANT_TABLE_H_
