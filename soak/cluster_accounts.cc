// The operators' changes to client accounts.
#include <algorithm>
#include <array>

#include "platform/wire_names.h"
#include "soak/cluster.h"
#include "soak/layout.h"

namespace jacinthdeck::soak {

namespace {

constexpr double kLoweredTo = 0.5;

}  // namespace

void Cluster::PutConfig(std::uint32_t layout) {
  const TimePoint written = Now();
  const bool is_new = m_account_versions.empty() ||
                      m_account_versions.back().accounts != m_accounts ||
                      m_is_restoring;
  if (m_options.accounts && is_new) {
    m_account_versions.push_back({written, TimePoint::max(), m_accounts});
  }
  PutInStore(
      std::string(platform::wire::kConfigKey),
      ConfigText(m_config_version, layout, m_accounts, m_options.rolling));
  if (m_options.accounts && is_new) {
    const TimePoint confirmed = Now();
    const auto last = m_account_versions.end() - 1;
    std::for_each(m_account_versions.begin(), last, [&](auto& version) {
      version.replaced = std::min(version.replaced, confirmed);
    });
  }
}

void Cluster::WriteAccounts() {
  ++m_config_version;
  RewriteConfig();
}

Account& Cluster::ChangedAccountOf(const Action& action) {
  constexpr std::array kChanged{kBusyAccount, kUnlimitedAccount};
  return *std::ranges::find(
      m_accounts, kChanged[action.subject % kChanged.size()], &Account::name);
}

void Cluster::RemoveKey(const Action& action) {
  Account& account = ChangedAccountOf(action);
  // A configuration whose account has no key is rejected.
  if (account.keys.size() > 1) {
    account.keys.erase(account.keys.begin());
    WriteAccounts();
  }
}

void Cluster::AddKey(const Action& action) {
  Account& account = ChangedAccountOf(action);
  const std::string spare = AllKeysOf(account.name).back();
  if (std::ranges::find(account.keys, spare) == account.keys.end()) {
    account.keys.push_back(spare);
    WriteAccounts();
  }
}

void Cluster::LowerLimit(const Action& /*action*/) {
  Account& account =
      *std::ranges::find(m_accounts, kBusyAccount, &Account::name);
  account.rate *= kLoweredTo;
  account.burst = std::max(1.0, account.burst * kLoweredTo);
  WriteAccounts();
}

}  // namespace jacinthdeck::soak
