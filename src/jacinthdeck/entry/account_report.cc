// Joins the counts of the gate with the state of the limiter by account.
#include "jacinthdeck/entry/account_report.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

#include "jacinthdeck/entry/log_line.h"
#include "jacinthdeck/entry/metric_label.h"

namespace jacinthdeck {

namespace {

//! Maximum number of accounts on a status page; about 300 bytes each.
constexpr std::size_t kMaxStatusAccounts = 1000;

void WriteCounts(std::ostringstream& out,
                 std::string_view name,
                 const std::string& label,
                 const AccountCounts& counts) {
  for (std::size_t index = 0; index < counts.size(); ++index) {
    out << "jacinthdeck_" << name << '{' << label << "outcome=\""
        << kGateOutcomeNames.names[index] << "\"} " << counts[index] << '\n';
  }
}

void WriteCount(std::ostringstream& out,
                std::string_view name,
                std::uint64_t count) {
  out << "jacinthdeck_" << name << ' ' << count << '\n';
}

[[nodiscard]] std::string AccountText(const AccountUsage& usage,
                                      const RateAccountStatus* limit) {
  LogLine line;
  line.Text("account", usage.tenant.raw());
  for (std::size_t index = 0; index < usage.counts.size(); ++index) {
    line.Count(kGateOutcomeNames.names[index], usage.counts[index]);
  }
  if (limit != nullptr) {
    AddLimit(line, *limit);
  }
  return std::move(line).Finish();
}

}  // namespace

void AddLimit(LogLine& line, const RateAccountStatus& limit) {
  line.Number("rate_per_s", limit.rate)
      .Number("burst", limit.burst)
      .Count("pending", limit.pending)
      .Number("level", limit.level)
      .Count("reserve", limit.reserve)
      .Number("lease_sum", limit.lease_sum)
      .Text("allocator", limit.allocator.raw());
  if (limit.answer_age) {
    line.Milliseconds("answer_age_ms", *limit.answer_age);
  }
}

std::string RenderAccountMetrics(const AccountReport& report) {
  std::ostringstream out;
  const std::vector<AccountUsage> listed =
      report.requests.Top(AccountCounters::kListed);
  for (const AccountUsage& usage : listed) {
    const std::string label =
        "account=\"" + EscapeLabelValue(usage.tenant.raw()) + "\",";
    WriteCounts(out, "account_requests_total", label, usage.counts);
    if (const auto* limit = FindAccount(report.limits, usage.tenant)) {
      out << "jacinthdeck_account_lease_sum{account=\""
          << EscapeLabelValue(usage.tenant.raw()) << "\"} " << limit->lease_sum
          << '\n';
    }
  }
  WriteCounts(out, "other_accounts_requests_total", "",
              report.requests.Rest(listed));
  WriteCount(out, "unauthorized_total", report.requests.unauthorized());
  WriteCount(out, "rate_limit_partitions", report.limits.partitions);
  WriteCount(out, "rate_limit_datagrams_sent_total", report.traffic.sent);
  WriteCount(out, "rate_limit_bytes_sent_total", report.traffic.sent_bytes);
  WriteCount(out, "rate_limit_datagrams_received_total",
             report.traffic.received);
  WriteCount(out, "rate_limit_bytes_received_total",
             report.traffic.received_bytes);
  WriteCount(out, "rate_limit_send_drops_total",
             report.traffic.send_drops + report.messages.unsendable);
  WriteCount(out, "rate_limit_datagrams_damaged_total",
             report.messages.damaged + report.traffic.oversized);
  WriteCount(out, "rate_limit_datagrams_foreign_total",
             report.messages.foreign);
  return out.str();
}

std::string AccountsText(const AccountReport& report) {
  std::string accounts = "[";
  for (const AccountUsage& usage : report.requests.Top(kMaxStatusAccounts)) {
    accounts += accounts.size() > 1 ? "," : "";
    accounts += AccountText(usage, FindAccount(report.limits, usage.tenant));
  }
  accounts += "]";
  LogLine line;
  line.Count("unauthorized", report.requests.unauthorized())
      .Count("sharers", report.limits.sharers)
      .Count("partitions", report.limits.partitions)
      .Raw("in_use", accounts);
  return std::move(line).Finish();
}

const RateAccountStatus* FindAccount(const RateLimiterStatus& limits,
                                     const TenantId& tenant) {
  const auto found =
      std::ranges::find(limits.accounts, tenant, &RateAccountStatus::tenant);
  return found == limits.accounts.end() ? nullptr : &*found;
}

}  // namespace jacinthdeck
