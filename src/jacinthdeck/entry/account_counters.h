// Requests of each client account by what became of them.
#ifndef JACINTHDECK_ENTRY_ACCOUNT_COUNTERS_H_
#define JACINTHDECK_ENTRY_ACCOUNT_COUNTERS_H_

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/tenancy/tenant_table.h"

namespace jacinthdeck {

/*! \brief What became of a request of an account at the gate. */
enum class GateOutcome {
  kAdmitted,
  kLimited,
  //! Whether the account is above its limit could not be found out in time.
  kUnknown,
  //! The keys that this host knows were too old.
  kStaleKeys,
  //! Admitted, but given back since it did not run.
  kRefunded,
};

//! Names of the outcomes, for metrics and status.
inline constexpr NameTable<GateOutcome, 5> kGateOutcomeNames{
    {"admitted", "limited", "unknown", "stale_keys", "refunded"}};

/*! \brief Requests of one account, indexed by GateOutcome. */
using AccountCounts = std::array<std::uint64_t, 5>;

/*! \brief An account and its requests. */
struct AccountUsage {
  TenantId tenant;
  AccountCounts counts{};
};

/*! \brief Counts the requests of each account since the start of the host. */
class AccountCounters {
 public:
  /*! \brief Number of accounts that Top() lists in metrics and status; each has
   * several series, and a configuration may hold thousands of accounts. */
  static constexpr std::size_t kListed = 20;

  [[nodiscard]] std::uint64_t unauthorized() const noexcept {
    return m_unauthorized;
  }

  /*! \brief Returns the counts of an account; zeros if it had no request. */
  [[nodiscard]] AccountCounts CountsOf(const TenantId& tenant) const;

  /*! \brief Returns the accounts with the most requests, most first. */
  [[nodiscard]] std::vector<AccountUsage> Top(std::size_t limit) const;

  /*! \brief Returns the sum of all accounts that are not in a list. */
  [[nodiscard]] AccountCounts Rest(std::span<const AccountUsage> listed) const;

  void Add(const TenantId& tenant, GateOutcome outcome);
  void AddUnauthorized() noexcept { ++m_unauthorized; }

  /*! \brief Counts accounts that are no longer configured under the rest. */
  void Retain(const TenantTable& tenants);

 private:
  std::unordered_map<TenantId, AccountCounts> m_counts;
  //! Sum of the accounts that were removed.
  AccountCounts m_removed{};
  std::uint64_t m_unauthorized = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ACCOUNT_COUNTERS_H_
