// Each promise is checked by one function.
#include "soak/account_checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/http/status.h"
#include "soak/account_timeline.h"

namespace jacinthdeck::soak {

namespace {

struct AccountIndex {
  const HistoryIndex& base;
  AccountTimeline accounts;
};

//! Period in which an entry admitted a request that ran.
struct Admission {
  TimePoint earliest;
  TimePoint latest;
};

//! Returns the admissions of an account in the order of their earliest times. A
//! request counts once. It was admitted after its caller sent it and before it
//! first ran.
[[nodiscard]] std::vector<Admission> AdmissionsOf(const AccountIndex& index,
                                                  const std::string& account) {
  std::map<std::string, Admission> by_request;
  for (const Run& run : index.base.history.runs) {
    if (run.account == account) {
      const auto [item, is_new] =
          by_request.try_emplace(run.request, Admission{run.at, run.at});
      item->second.earliest = std::min(item->second.earliest, run.at);
      item->second.latest = std::min(item->second.latest, run.at);
    }
  }
  for (const Call& call : index.base.history.calls) {
    if (const auto found = by_request.find(call.id);
        found != by_request.end()) {
      found->second.earliest = call.sent;
    }
  }
  std::vector<Admission> admissions;
  admissions.reserve(by_request.size());
  for (const auto& [request, admission] : by_request) {
    admissions.push_back(admission);
  }
  std::ranges::sort(admissions, {}, &Admission::earliest);
  return admissions;
}

//! Requests of an account that ran in one window.
struct WindowCount {
  TimePoint begin;
  double ran = 0;
  double allowed = 0;

  [[nodiscard]] double excess() const noexcept { return ran - allowed; }
};

//! Returns the window with the greatest excess over what is allowed. Only
//! requests that were admitted within the window for certain count: one that
//! waits in a link or at a stopped target runs later than it was admitted.
[[nodiscard]] WindowCount WorstWindow(const AccountIndex& index,
                                      const std::string& account) {
  const Duration window = index.base.history.account_settings.window;
  const std::vector<Admission> admissions = AdmissionsOf(index, account);
  WindowCount worst;
  for (auto first = admissions.begin(); first != admissions.end(); ++first) {
    const TimePoint begin = first->earliest;
    const std::optional<double> allowed =
        index.accounts.AllowanceFrom(account, begin);
    if (!allowed) {
      continue;
    }
    const auto last = std::ranges::lower_bound(
        first, admissions.end(), begin + window, {}, &Admission::earliest);
    const auto ran =
        std::count_if(first, last, [&](const Admission& admission) {
          return admission.latest < begin + window;
        });
    const WindowCount count{begin, static_cast<double>(ran), *allowed};
    if (count.excess() > worst.excess()) {
      worst = count;
    }
  }
  return worst;
}

//! Reports the worst window of each account.
void CheckLimits(const AccountIndex& index, Violations& found) {
  for (const std::string& account : index.accounts.LimitedAccounts()) {
    const WindowCount worst = WorstWindow(index, account);
    if (worst.excess() > 0) {
      found.push_back(
          {Promise::kLimitHolds,
           "account " + account + ": " + std::to_string(worst.ran) +
               " requests ran in the window from " +
               std::to_string(worst.begin.time_since_epoch().count()) +
               " us, allowed " + std::to_string(worst.allowed)});
    }
  }
}

void CheckKeyIsNotPassedOn(const AccountIndex& index, Violations& found) {
  for (const Run& run : index.base.history.runs) {
    if (run.has_key) {
      found.push_back(
          {Promise::kKeyIsNotPassedOn, "request " + run.request + " came to " +
                                           run.target + " with a key header"});
    }
  }
}

void CheckAccountIsTrue(const AccountIndex& index, Violations& found) {
  for (const Call& call : index.base.history.calls) {
    const std::string account =
        call.kind == CallKind::kPublic
            ? ""
            : index.accounts.OwnerOf(call.credentials.key);
    for (const Run* run : index.base.RunsOf(call)) {
      if (run->account != account) {
        found.push_back(
            {Promise::kAccountIsTrue,
             DescribeCall(call, "ran at " + run->target + " for account \"" +
                                    run->account + "\", its key is of \"" +
                                    account + "\"")});
      }
    }
  }
}

void CheckRefusedNeverRan(const AccountIndex& index, Violations& found) {
  for (const Call& call : index.base.history.calls) {
    const bool is_refused = call.status == http_status::kUnauthorized ||
                            call.status == http_status::kTooManyRequests;
    if (is_refused && !index.base.RunsOf(call).empty()) {
      found.push_back(
          {Promise::kRefusedNeverRan,
           DescribeCall(call, "was told " + std::to_string(call.status) +
                                  " and ran at " +
                                  index.base.RunsOf(call).front()->target)});
    }
  }
}

//! Calls of one account with the token bucket of its lowest limit.
class KeepsToLimit {
 public:
  KeepsToLimit(const Account& limit, Duration window)
      : m_limit(limit), m_window(window), m_tokens(limit.burst) {}

  //! Takes a token for a call; the calls come in the order of time.
  //! \return Whether this call and all of the window before it were within the
  //! limit.
  [[nodiscard]] bool Add(TimePoint sent) {
    if (m_last) {
      const double seconds =
          std::chrono::duration<double>(sent - *m_last).count();
      m_tokens = std::min(m_limit.burst, m_tokens + seconds * m_limit.rate);
    }
    m_last = sent;
    if (m_tokens < 1) {
      m_exceeded = sent;
      return false;
    }
    m_tokens -= 1;
    return !m_exceeded || *m_exceeded + m_window < sent;
  }

 private:
  const Account m_limit;
  const Duration m_window;
  double m_tokens;
  std::optional<TimePoint> m_last;
  std::optional<TimePoint> m_exceeded;
};

void CheckWithinLimitIsServed(const AccountIndex& index, Violations& found) {
  std::map<std::string, std::vector<const Call*>> calls;
  for (const Call& call : index.base.history.calls) {
    if (call.kind != CallKind::kPublic) {
      calls[index.accounts.OwnerOf(call.credentials.key)].push_back(&call);
    }
  }
  for (const std::string& account : index.accounts.LimitedAccounts()) {
    std::ranges::sort(calls[account], {}, &Call::sent);
    KeepsToLimit limit(*index.accounts.LowestLimit(account),
                       index.base.history.account_settings.window);
    for (const Call* call : calls[account]) {
      const bool within = limit.Add(call->sent);
      const bool is_refused = call->status == http_status::kTooManyRequests ||
                              call->reason == kForwardReasonNames.Name(
                                                  ForwardReason::kLimitUnknown);
      if (within && is_refused && call->sent > index.base.history.calm_since) {
        found.push_back(
            {Promise::kWithinLimitIsServed,
             DescribeCall(*call, "was told " + std::to_string(call->status) +
                                     " " + call->reason + ", and account " +
                                     account + " is within its limit")});
      }
    }
  }
}

//! Checks that no call runs whose key is unknown or not yet written, which no
//! fault excuses, and none whose key was removed. An entry that a fault kept
//! from changes may accept a removed key, in strict mode only as long as it may
//! be without news.
void CheckKeys(const AccountIndex& index, Violations& found) {
  const Bounds& bounds = index.base.bounds;
  const AccountSettings& settings = index.base.history.account_settings;
  for (const Call& call : index.base.history.calls) {
    if (call.kind == CallKind::kPublic || index.base.RunsOf(call).empty()) {
      continue;
    }
    const std::string& key = call.credentials.key;
    const TimePoint due = call.sent - bounds.apply;
    if (!index.accounts.MayHold(key, TimePoint::min(), call.ended)) {
      found.push_back({Promise::kKeyIsRequired,
                       DescribeCall(call, "ran with the key \"" + key +
                                              "\", which is unknown")});
      continue;
    }
    const bool strict =
        settings.strict_revoke &&
        !index.accounts.MayHold(key, due - settings.revoke, call.ended);
    if (!index.accounts.MayHold(key, due, call.ended) &&
        (strict || !index.base.MayLackChanges(call))) {
      found.push_back(
          {Promise::kRemovedKeyIsRefused,
           DescribeCall(call, "ran with the removed key \"" + key + "\"")});
    }
  }
}

void CheckValidKeyIsTaken(const AccountIndex& index, Violations& found) {
  for (const Call& call : index.base.history.calls) {
    if (call.status != http_status::kUnauthorized) {
      continue;
    }
    if (call.kind == CallKind::kPublic) {
      found.push_back({Promise::kValidKeyIsTaken,
                       DescribeCall(call, "401 on a public route")});
    } else if (index.accounts.MustHold(call.credentials.key,
                                       call.sent - index.base.bounds.apply,
                                       call.ended) &&
               !index.base.MayLackChanges(call)) {
      found.push_back(
          {Promise::kValidKeyIsTaken,
           DescribeCall(call, "401 for the key \"" + call.credentials.key +
                                  "\", which is in force")});
    }
  }
}

}  // namespace

void CheckAccounts(const HistoryIndex& base, Violations& found) {
  const AccountIndex index{base, AccountTimeline(base.history, base.bounds)};
  if (index.accounts.empty()) {
    return;
  }
  constexpr std::array kChecks{
      &CheckLimits,          &CheckKeyIsNotPassedOn,    &CheckAccountIsTrue,
      &CheckRefusedNeverRan, &CheckWithinLimitIsServed, &CheckKeys,
      &CheckValidKeyIsTaken};
  for (const auto check : kChecks) {
    check(index, found);
  }
}

}  // namespace jacinthdeck::soak
