// Each line counts the refusals since the one before, so that the interval
// hides none of them.
#include "jacinthdeck/entry/account_log.h"

#include <chrono>
#include <utility>

#include "jacinthdeck/entry/account_report.h"

namespace jacinthdeck {

namespace {

//! Minimum time between two lines on an account.
constexpr Duration kLineInterval = std::chrono::seconds(1);

}  // namespace

bool AccountLog::IsDue(const GateRefusal& refusal, TimePoint now) {
  Recent& recent = m_recent[refusal.tenant];
  ++recent.refused;
  if (recent.logged != TimePoint::min() &&
      now - recent.logged < kLineInterval) {
    return false;
  }
  recent.logged = now;
  return true;
}

void AccountLog::OnRefused(const GateRefusal& refusal,
                           const std::optional<RateAccountStatus>& limit) {
  const bool by_key = refusal.answer.reason == ForwardReason::kUnknownKey ||
                      refusal.answer.reason == ForwardReason::kStaleKeys;
  LogLine line =
      m_log.Begin(by_key ? LogEvent::kKeyRefused : LogEvent::kRateLimited);
  line.Text("reason", kForwardReasonNames.Name(refusal.answer.reason))
      .Count("refused", std::exchange(m_recent[refusal.tenant].refused, 0))
      .Text("caller", refusal.caller);
  if (!refusal.tenant.raw().empty()) {
    line.Text("account", refusal.tenant.raw());
  }
  if (refusal.trace.config != nullptr) {
    line.Count("config_version", refusal.trace.config->version());
  }
  if (refusal.trace.route != nullptr) {
    line.Text("route", refusal.trace.route->name);
  }
  if (refusal.answer.retry_after) {
    line.Milliseconds("retry_after_ms", *refusal.answer.retry_after);
  }
  if (limit) {
    AddLimit(line, *limit);
  }
  m_log.Add(std::move(line));
}

void AccountLog::OnLimitsWithoutPeers() {
  if (std::exchange(m_logged_alone, true)) {
    return;
  }
  m_log.Add(m_log.Begin(LogEvent::kLimitsWithoutPeers));
}

void AccountLog::OnLimits(const RateLimiterStatus& limits) {
  if (!limits.active ||
      (limits.partitions == m_partitions && limits.sharers == m_sharers)) {
    return;
  }
  m_partitions = limits.partitions;
  m_sharers = limits.sharers;
  LogLine line = m_log.Begin(LogEvent::kAllocatorChanged);
  line.Count("partitions", limits.partitions).Count("sharers", limits.sharers);
  m_log.Add(std::move(line));
}

}  // namespace jacinthdeck
