// Messages of a rate limiter: token requests with repeats, and their answers.
#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/tenancy/rate_limiter_state.h"

namespace jacinthdeck {

namespace {

using Kind = RateTimer::Kind;

//! Several times the round trip between failure domains, which is 1 to 3 ms.
constexpr Duration kRepeatInterval = std::chrono::milliseconds(15);
//! A host that answers none of so many is passed over for a time.
constexpr std::uint32_t kMostSends = 3;
//! Pause before requests that no bucket could pay for are reported again.
constexpr Duration kReportPause = std::chrono::milliseconds(250);
//! Pause before fronts are asked again after one had no reserve left.
constexpr Duration kReservePause = std::chrono::milliseconds(500);
//! Told if another request of the same message was granted from the last of a
//! reserve.
constexpr Duration kShortRetry = std::chrono::milliseconds(20);

}  // namespace

void RateLimiter::State::OnMessage(const HostId& from,
                                   const RateMessage& message,
                                   TimePoint now) {
  m_shares.Advance(now);
  m_shares.OnHeard(from, now);
  ++m_counts.received;
  std::visit([&](const auto& content) { On(from, content, now); }, message);
}

void RateLimiter::State::Send(TokenAsk ask, TimePoint now) {
  ask.request.number = ++m_last_number;
  ask.request.started_ms = m_options.started_ms;
  ask.first_sent = now;
  ask.times_sent = 1;
  const HostId to = ask.to;
  const RateMessage message = ask.request;
  m_timers.Set({Kind::kRepeat, m_last_number}, now + kRepeatInterval);
  m_asks.emplace(m_last_number, std::move(ask));
  m_port.SendRateMessage(to, message);
  ++m_counts.token_requests_sent;
}

void RateLimiter::State::Repeat(std::uint64_t number, TimePoint now) {
  const auto found = m_asks.find(number);
  if (found == m_asks.end()) {
    return;
  }
  TokenAsk& ask = found->second;
  if (ask.times_sent >= kMostSends) {
    GiveUp(number, true, now);
    return;
  }
  ++ask.times_sent;
  m_timers.Set({Kind::kRepeat, number}, now + kRepeatInterval);
  m_port.SendRateMessage(ask.to, ask.request);
  ++m_counts.token_requests_repeated;
  if (ask.times_sent == 2) {
    // Copied, because a further request changes m_asks.
    const std::vector<CallId> calls = ask.calls;
    for (const CallId call : calls) {
      AskBeside(call, now);
    }
  }
}

void RateLimiter::State::GiveUp(std::uint64_t number,
                                bool is_silent,
                                TimePoint now) {
  const auto node = m_asks.extract(number);
  const TokenAsk& ask = node.mapped();
  m_timers.Remove({Kind::kRepeat, number});
  if (is_silent) {
    m_shares.OnSilent(ask.to, now);
  }
  for (const TokenDemand& demand : ask.request.demands) {
    OnReport(demand, nullptr, now);
  }
  for (const CallId call : ask.calls) {
    const auto pending = m_pending.find(call);
    if (pending != m_pending.end() && --pending->second.asks == 0) {
      Ask(call, now);
    }
  }
}

void RateLimiter::State::AskBeside(CallId call, TimePoint now) {
  const auto found = m_pending.find(call);
  if (found == m_pending.end() || found->second.asks > 1) {
    return;
  }
  const std::size_t partition =
      AllocatorChoice::PartitionOf(found->second.tenant);
  const std::vector<HostId> order = m_shares.Order(partition, now);
  const std::size_t next = found->second.undecided + 1;
  if (next < order.size() && order[next] != m_options.host) {
    AskHost(call, order[next], now);
  }
}

void RateLimiter::State::Report(TimePoint now) {
  m_report_at.reset();
  std::map<HostId, TokenRequest> reports;
  std::optional<TimePoint> next;
  for (auto tenant = m_to_report.begin(); tenant != m_to_report.end();) {
    const auto found = m_accounts.find(*tenant);
    if (found != m_accounts.end() && found->second.report_at > now) {
      next = std::min(next.value_or(found->second.report_at),
                      found->second.report_at);
      ++tenant;
      continue;
    }
    if (found != m_accounts.end()) {
      ReportNow(*tenant, reports, now);
    }
    tenant = m_to_report.erase(tenant);
  }
  for (auto& [host, request] : reports) {
    TokenAsk ask;
    ask.to = host;
    ask.request = std::move(request);
    Send(std::move(ask), now);
  }
  if (next) {
    SetReportTimer(*next);
  }
}

void RateLimiter::State::ReportNow(const TenantId& tenant,
                                   std::map<HostId, TokenRequest>& reports,
                                   TimePoint now) {
  RateAccount& account = m_accounts.at(tenant);
  Update(account, now);
  const HostId allocator = m_shares.Allocator(account.partition, now);
  const std::uint32_t spent = std::exchange(account.unreported, 0);
  // The bucket of this host pays for its own reserve without a message.
  if (spent == 0 || allocator == m_options.host || allocator == HostId()) {
    return;
  }
  account.reported += spent;
  reports[allocator].demands.push_back({tenant, spent, {}});
}

void RateLimiter::State::SetReportTimer(TimePoint at) {
  if (!m_report_at || at < *m_report_at) {
    m_report_at = at;
    m_timers.Set({Kind::kReport, 0}, at);
  }
}

void RateLimiter::State::On(const HostId& from,
                            const ShareRequest& request,
                            TimePoint now) {
  m_port.SendRateMessage(from, m_shares.Answer(from, request, now));
  ++m_counts.share_leases_sent;
}

void RateLimiter::State::On(const HostId& from,
                            const ShareLease& lease,
                            TimePoint now) {
  m_counts.ignored += m_shares.OnLease(from, lease, now) ? 0 : 1;
}

void RateLimiter::State::On(const HostId& from,
                            const TokenRequest& request,
                            TimePoint now) {
  TokenAnswers& answers = m_answers[from];
  const TokenAnswers::Seen seen = answers.Check(request, now);
  if (seen == TokenAnswers::Seen::kOld) {
    ++m_counts.ignored;
    return;
  }
  if (seen == TokenAnswers::Seen::kNew) {
    TokenGrant grant{request.number, request.started_ms, {}};
    for (const TokenDemand& demand : request.demands) {
      std::optional<TokenAward> award = AwardFor(demand, now);
      if (award) {
        grant.awards.push_back(*std::move(award));
      }
    }
    answers.Add(std::move(grant), now);
  }
  m_port.SendRateMessage(from, answers.Find(request.number));
  ++m_counts.token_grants_sent;
}

std::optional<TokenAward> RateLimiter::State::AwardFor(
    const TokenDemand& demand,
    TimePoint now) {
  RateAccount* account = Use(demand.tenant, now);
  TokenAward award{demand.tenant, 0, 0, {}};
  if (account == nullptr) {
    // The configuration of this host has no such limit.
    award.granted = static_cast<std::uint32_t>(demand.waiting.size());
    award.settled = demand.spent;
    return award;
  }
  for (std::uint32_t i = 0; i < demand.waiting.size(); ++i) {
    const TokenDecision decision =
        DecideAsAllocator(*account, demand.waiting[i], now);
    switch (decision.outcome) {
      case TokenDecision::Outcome::kGranted:
        ++award.granted;
        break;
      case TokenDecision::Outcome::kLimited:
        award.limited.push_back({i, decision.retry_after});
        break;
      case TokenDecision::Outcome::kNoShare:
        if (award.granted == 0) {
          return std::nullopt;
        }
        award.limited.push_back({i, kShortRetry});
        break;
    }
  }
  award.settled = account->tokens.Pay(demand.spent);
  return award;
}

void RateLimiter::State::On(const HostId& from,
                            const TokenGrant& grant,
                            TimePoint now) {
  const auto found = m_asks.find(grant.number);
  if (grant.started_ms != m_options.started_ms || found == m_asks.end() ||
      found->second.to != from) {
    ++m_counts.ignored;
    return;
  }
  if (found->second.first_sent + kGrantLifetime < now) {
    ++m_counts.ignored;
    GiveUp(grant.number, false, now);
    return;
  }
  const auto node = m_asks.extract(found);
  m_timers.Remove({Kind::kRepeat, grant.number});
  OnAwards(node.mapped(), grant, now);
}

void RateLimiter::State::OnAwards(const TokenAsk& ask,
                                  const TokenGrant& grant,
                                  TimePoint now) {
  auto call = ask.calls.begin();
  for (const TokenDemand& demand : ask.request.demands) {
    const auto award =
        std::ranges::find(grant.awards, demand.tenant, &TokenAward::tenant);
    const bool is_decided = award != grant.awards.end();
    OnReport(demand, is_decided ? &*award : nullptr, now);
    for (std::uint32_t i = 0; i < demand.waiting.size(); ++i, ++call) {
      const auto pending = m_pending.find(*call);
      if (pending != m_pending.end()) {
        --pending->second.asks;
      }
      if (is_decided) {
        OnDecision(*call, demand.tenant, *award, i, now);
      } else if (pending != m_pending.end()) {
        OnUndecided(*call, now);
      }
    }
  }
}

void RateLimiter::State::OnUndecided(CallId call, TimePoint now) {
  PendingRequest& request = m_pending.at(call);
  if (request.due) {
    RateAccount* account = Use(request.tenant, now);
    if (account != nullptr) {
      account->reserves_spent_until = now + kReservePause;
    }
  } else {
    ++request.undecided;
  }
  if (request.asks == 0) {
    Ask(call, now);
  }
}

void RateLimiter::State::OnReport(const TokenDemand& demand,
                                  const TokenAward* award,
                                  TimePoint now) {
  RateAccount* account = Use(demand.tenant, now);
  if (account == nullptr) {
    return;
  }
  if (award != nullptr) {
    account->answered = now;
  }
  const std::uint32_t spent = std::min(demand.spent, account->reported);
  const std::uint32_t paid = std::min(award ? award->settled : 0, spent);
  account->reported -= spent;
  account->tokens.OnPaid(paid);
  if (spent > paid) {
    account->unreported += spent - paid;
    account->report_at = now + kReportPause;
    m_to_report.insert(demand.tenant);
    SetReportTimer(account->report_at);
  }
}

void RateLimiter::State::OnDecision(CallId call,
                                    const TenantId& tenant,
                                    const TokenAward& award,
                                    std::uint32_t position,
                                    TimePoint now) {
  const auto limited = std::ranges::find(award.limited, position,
                                         &TokenAward::Limited::position);
  const bool is_pending = m_pending.contains(call);
  if (limited != award.limited.end()) {
    if (is_pending && m_pending.at(call).due) {
      OnUndecided(call, now);
    } else if (is_pending) {
      OnLimited(call, limited->retry_after, now);
    }
    return;
  }
  if (is_pending) {
    Finish(call, {});
    return;
  }
  Refund(tenant, now);
}

}  // namespace jacinthdeck
