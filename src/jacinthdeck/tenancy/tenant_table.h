// The client accounts of a configuration version, found by key or by name.
#ifndef JACINTHDECK_TENANCY_TENANT_TABLE_H_
#define JACINTHDECK_TENANCY_TENANT_TABLE_H_

#include <cstddef>
#include <cstdint>
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

  /*! \brief Returns the account that holds a key; null if none does. The key
   * may be any text that a caller sent. */
  [[nodiscard]] const Tenant* FindByKey(std::string_view key) const;

  /*! \brief Returns the account with a name; null if there is none. */
  [[nodiscard]] const Tenant* Find(const TenantId& name) const;

  /*! \brief Returns the memory in bytes that the table and its accounts use. */
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  //! Slot of the table of keys: a key by its position in its account.
  struct KeySlot {
    //! Position of the account plus 1; 0 in an empty slot.
    std::uint32_t tenant = 0;
    std::uint32_t key = 0;
  };

  void IndexName(std::uint32_t tenant);
  void IndexKey(std::uint32_t tenant, std::uint32_t key);

  //! Not changed after construction; pointers into it are handed out.
  std::vector<Tenant> m_tenants;
  // Hash tables with linear probing, which refer to the accounts by position.
  // At most half of their slots are in use, so that an unknown key is found to
  // be unknown after 2.5 slots on average.
  std::vector<KeySlot> m_key_slots;
  //! Positions of accounts plus 1; 0 in an empty slot.
  std::vector<std::uint32_t> m_name_slots;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TENANT_TABLE_H_
