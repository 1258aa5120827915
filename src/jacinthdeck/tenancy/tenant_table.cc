// Look-up of client accounts by key and by name, in hash tables with linear
// probing.
#include "jacinthdeck/tenancy/tenant_table.h"

#include <functional>
#include <utility>

namespace jacinthdeck {

namespace {

//! Slots for each entry; with 2, half of the slots stay empty.
constexpr std::size_t kSlotsPerEntry = 2;
//! Spreads the bits of a name's hash over the whole word (Fibonacci hashing).
constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;
//! Longest name that std::string stores without memory of its own.
constexpr std::size_t kInlineName = 15;

//! Maps a uniformly distributed hash to a slot by its highest bits.
[[nodiscard]] std::size_t SlotOf(std::uint64_t hash, std::size_t slots) {
  constexpr unsigned kHalfWord = 32;
  return static_cast<std::size_t>(((hash >> kHalfWord) * slots) >> kHalfWord);
}

[[nodiscard]] std::size_t NextSlot(std::size_t slot, std::size_t slots) {
  return slot + 1 == slots ? 0 : slot + 1;
}

[[nodiscard]] std::uint64_t HashOf(const TenantId& name) {
  return std::hash<TenantId>{}(name)*kMultiplier;
}

}  // namespace

TenantTable::TenantTable(std::vector<Tenant> tenants)
    : m_tenants(std::move(tenants)) {
  m_tenants.shrink_to_fit();
  std::size_t keys = 0;
  for (Tenant& tenant : m_tenants) {
    tenant.keys.shrink_to_fit();
    keys += tenant.keys.size();
  }
  m_key_slots.resize(keys * kSlotsPerEntry);
  m_name_slots.resize(m_tenants.size() * kSlotsPerEntry);
  for (std::uint32_t tenant = 0; tenant < m_tenants.size(); ++tenant) {
    IndexName(tenant);
    for (std::uint32_t key = 0; key < m_tenants[tenant].keys.size(); ++key) {
      IndexKey(tenant, key);
    }
  }
}

void TenantTable::IndexName(std::uint32_t tenant) {
  const std::size_t size = m_name_slots.size();
  std::size_t slot = SlotOf(HashOf(m_tenants[tenant].name), size);
  while (m_name_slots[slot] != 0) {
    slot = NextSlot(slot, size);
  }
  m_name_slots[slot] = tenant + 1;
}

void TenantTable::IndexKey(std::uint32_t tenant, std::uint32_t key) {
  const std::size_t size = m_key_slots.size();
  std::size_t slot = SlotOf(m_tenants[tenant].keys[key].Hash(), size);
  while (m_key_slots[slot].tenant != 0) {
    slot = NextSlot(slot, size);
  }
  m_key_slots[slot] = {tenant + 1, key};
}

const Tenant* TenantTable::FindByKey(std::string_view key) const {
  // A longer key is in no configuration, and is not worth a digest: a caller
  // may send as many bytes as a header may have.
  if (m_key_slots.empty() || key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const KeyDigest digest = DigestOf(key);
  const std::size_t size = m_key_slots.size();
  std::size_t slot = SlotOf(digest.Hash(), size);
  while (m_key_slots[slot].tenant != 0) {
    const Tenant& tenant = m_tenants[m_key_slots[slot].tenant - 1];
    if (tenant.keys[m_key_slots[slot].key] == digest) {
      return &tenant;
    }
    slot = NextSlot(slot, size);
  }
  return nullptr;
}

const Tenant* TenantTable::Find(const TenantId& name) const {
  if (m_name_slots.empty()) {
    return nullptr;
  }
  const std::size_t size = m_name_slots.size();
  std::size_t slot = SlotOf(HashOf(name), size);
  while (m_name_slots[slot] != 0) {
    const Tenant& tenant = m_tenants[m_name_slots[slot] - 1];
    if (tenant.name == name) {
      return &tenant;
    }
    slot = NextSlot(slot, size);
  }
  return nullptr;
}

std::size_t TenantTable::Bytes() const noexcept {
  std::size_t bytes = sizeof(*this) + m_tenants.capacity() * sizeof(Tenant) +
                      m_key_slots.capacity() * sizeof(KeySlot) +
                      m_name_slots.capacity() * sizeof(std::uint32_t);
  for (const Tenant& tenant : m_tenants) {
    bytes += tenant.keys.capacity() * sizeof(KeyDigest);
    bytes += tenant.name.raw().size() > kInlineName
                 ? tenant.name.raw().capacity() + 1
                 : 0;
  }
  return bytes;
}

}  // namespace jacinthdeck
