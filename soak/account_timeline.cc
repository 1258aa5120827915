// Each function scans the versions, of which a run has at most a few dozen.
#include "soak/account_timeline.h"

#include <algorithm>
#include <cstddef>

namespace jacinthdeck::soak {

namespace {

[[nodiscard]] bool Contains(const Account& account, const std::string& key) {
  return std::ranges::find(account.keys, key) != account.keys.end();
}

[[nodiscard]] bool Contains(const AccountVersion& version,
                            const std::string& key) {
  return std::ranges::any_of(version.accounts, [&](const Account& account) {
    return Contains(account, key);
  });
}

[[nodiscard]] const Account* Find(const AccountVersion& version,
                                  const std::string& name) {
  const auto found = std::ranges::find(version.accounts, name, &Account::name);
  return found == version.accounts.end() ? nullptr : &*found;
}

}  // namespace

std::string AccountTimeline::OwnerOf(const std::string& key) const {
  for (const AccountVersion& version : m_history.account_versions) {
    for (const Account& account : version.accounts) {
      if (Contains(account, key)) {
        return account.name;
      }
    }
  }
  return "";
}

std::set<std::string> AccountTimeline::LimitedAccounts() const {
  std::set<std::string> names;
  for (const AccountVersion& version : m_history.account_versions) {
    for (const Account& account : version.accounts) {
      if (account.rate > 0) {
        names.insert(account.name);
      }
    }
  }
  return names;
}

bool AccountTimeline::MayHold(const std::string& key,
                              TimePoint from,
                              TimePoint to) const {
  return std::ranges::any_of(
      m_history.account_versions, [&](const AccountVersion& version) {
        return version.written <= to && from <= version.replaced &&
               Contains(version, key);
      });
}

bool AccountTimeline::MustHold(const std::string& key,
                               TimePoint from,
                               TimePoint to) const {
  if (empty() || from < m_history.account_versions.front().written) {
    return false;
  }
  return std::ranges::all_of(
      m_history.account_versions, [&](const AccountVersion& version) {
        return version.written > to || from > version.replaced ||
               Contains(version, key);
      });
}

TimePoint AccountTimeline::AppliedAt(TimePoint confirmed) const {
  if (confirmed == TimePoint::max()) {
    return confirmed;
  }
  TimePoint applied = confirmed + m_bounds.apply;
  // A fault that begins while another one keeps the change from an entry may
  // delay it further, so periods are added until none overlaps.
  for (bool extended = true; extended;) {
    extended = false;
    for (const FaultPeriod& period : m_history.fault_periods) {
      if (period.effect != FaultEffect::kPropagation || period.from > applied) {
        continue;
      }
      if (period.to == TimePoint::max()) {
        return TimePoint::max();
      }
      if (period.to + m_bounds.contact > applied) {
        applied = period.to + m_bounds.contact;
        extended = true;
      }
    }
  }
  return applied;
}

std::optional<double> AccountTimeline::AllowanceFrom(const std::string& account,
                                                     TimePoint begin) const {
  const AccountSettings& settings = m_history.account_settings;
  const double seconds = std::chrono::duration<double>(settings.window).count();
  double allowed = 0;
  for (const AccountVersion& version : m_history.account_versions) {
    const TimePoint applied = AppliedAt(version.replaced);
    const bool is_over =
        applied != TimePoint::max() && applied + settings.window <= begin;
    if (is_over || version.written >= begin + settings.window) {
      continue;
    }
    const Account* limit = Find(version, account);
    if (limit == nullptr || limit->rate <= 0) {
      return std::nullopt;
    }
    allowed = std::max(allowed, limit->rate * seconds + limit->burst);
  }
  return allowed * (1 + settings.overshoot) + settings.slack;
}

std::optional<Account> AccountTimeline::LowestLimit(
    const std::string& account) const {
  std::optional<Account> lowest;
  for (const AccountVersion& version : m_history.account_versions) {
    const Account* limit = Find(version, account);
    if (limit == nullptr || limit->rate <= 0) {
      continue;
    }
    if (!lowest) {
      lowest = *limit;
    }
    lowest->rate = std::min(lowest->rate, limit->rate);
    lowest->burst = std::min(lowest->burst, limit->burst);
  }
  return lowest;
}

bool AccountTimeline::MustBeServed(const Call& call) const {
  if (empty() || call.kind == CallKind::kPublic) {
    return true;
  }
  const std::string& key = call.credentials.key;
  return MustHold(key, call.sent - m_bounds.apply, call.ended) &&
         !LimitedAccounts().contains(OwnerOf(key));
}

}  // namespace jacinthdeck::soak
