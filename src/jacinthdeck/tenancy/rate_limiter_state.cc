// Configuration, verdicts and timers of a rate limiter.
#include "jacinthdeck/tenancy/rate_limiter_state.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <variant>

namespace jacinthdeck {

namespace {

using Kind = RateTimer::Kind;

//! Several requests fall into the lifetime of a lease.
constexpr Duration kShareInterval = std::chrono::milliseconds(100);
//! A host that starts has no share to lease before others have answered it.
constexpr std::array<Duration, 3> kStartIntervals{
    std::chrono::milliseconds(10), std::chrono::milliseconds(30),
    std::chrono::milliseconds(100)};
constexpr Duration kForgetInterval = std::chrono::seconds(1);
//! Reports of one host wait this long, so that one message holds several.
constexpr Duration kReportDelay = std::chrono::milliseconds(20);
//! Pause after all hosts have answered without a decision.
constexpr Duration kRoundPause = std::chrono::milliseconds(20);
//! A caller is not told a shorter time, lest it comes back before an answer.
constexpr Duration kMinRetry = std::chrono::milliseconds(20);
//! Bounds the memory of reservations, about 150 bytes each.
constexpr std::size_t kMostReservations = 65536;
//! Other fronts that are asked for a request of their reserves.
constexpr std::uint32_t kMostReservesAsked = 4;

}  // namespace

RateLimiter::State::State(const RateLimiterOptions& options,
                          RateLimiterPort& port,
                          std::uint64_t seed,
                          TimePoint now)
    : m_options(options),
      m_port(port),
      m_random(seed),
      m_started(now),
      m_shares(options.host, options.started_ms, now) {}

void RateLimiter::State::SetTenants(std::shared_ptr<const TenantTable> tenants,
                                    TimePoint now) {
  m_shares.Advance(now);
  const bool was_active = m_is_active;
  m_tenants = std::move(tenants);
  m_is_active = m_tenants != nullptr &&
                std::ranges::any_of(m_tenants->tenants(), &Tenant::limited);
  ApplyTenants(now);
  if (m_is_active && !was_active) {
    m_shares.StartListening(now);
    StartMessages(now);
  }
  if (!m_is_active) {
    m_asks.clear();
    m_to_report.clear();
    m_report_at.reset();
    m_timers = {};
  }
}

void RateLimiter::State::SetHosts(std::span<const HostId> fronts,
                                  std::uint32_t sharers,
                                  bool has_share,
                                  TimePoint now) {
  m_shares.SetHosts(fronts, sharers, has_share, now);
  if (m_is_active) {
    StartMessages(now);
  }
}

RateVerdict RateLimiter::State::Admit(const RateRequest& request,
                                      TimePoint now) {
  m_shares.Advance(now);
  RateAccount* account = Use(request.tenant, now);
  if (account == nullptr) {
    return {};
  }
  const auto verdict =
      DecideHere(*account, request.tenant, request.request_hash, now);
  if (verdict) {
    Count(*account, verdict->decision);
    return *verdict;
  }
  ++account->pending;
  m_pending[request.call] = {.tenant = request.tenant,
                             .request_hash = request.request_hash,
                             .decide_by = request.decide_by,
                             .due = std::nullopt};
  m_timers.Set({Kind::kDecide, request.call.raw()}, request.decide_by);
  // The port must not get the verdict before this function returns, so the
  // request is asked for by a timer if the host itself may decide on it.
  const HostId allocator = m_shares.Allocator(account->partition, now);
  if (allocator == m_options.host || allocator == HostId()) {
    AskLater(request.call, now);
  } else {
    AskHost(request.call, allocator, now);
  }
  return {RateDecision::kPending, {}};
}

void RateLimiter::State::Cancel(CallId call, TimePoint now) {
  m_shares.Advance(now);
  const auto found = m_pending.find(call);
  if (found == m_pending.end()) {
    return;
  }
  const auto account = m_accounts.find(found->second.tenant);
  if (account != m_accounts.end()) {
    --account->second.pending;
  }
  m_timers.Remove({Kind::kDecide, call.raw()});
  m_timers.Remove({Kind::kAskAgain, call.raw()});
  m_pending.erase(found);
}

void RateLimiter::State::Refund(const TenantId& tenant, TimePoint now) {
  m_shares.Advance(now);
  const auto found = m_accounts.find(tenant);
  if (found == m_accounts.end()) {
    return;
  }
  RateAccount& account = found->second;
  Update(account, now);
  if (account.tokens.Refund() && account.unreported > 0) {
    --account.unreported;
  }
}

std::optional<TimePoint> RateLimiter::State::NextTimer() const {
  return m_timers.Next();
}

void RateLimiter::State::OnTimer(TimePoint now) {
  m_shares.Advance(now);
  while (const std::optional<RateTimer> timer = m_timers.TakeDue(now)) {
    switch (timer->kind) {
      case Kind::kShares:
        AskForShares(now);
        break;
      case Kind::kReport:
        Report(now);
        break;
      case Kind::kForget:
        Forget(now);
        break;
      case Kind::kRepeat:
        Repeat(timer->id, now);
        break;
      case Kind::kAskAgain:
        Ask(CallId(timer->id), now);
        break;
      case Kind::kDecide:
        DecideFinally(CallId(timer->id), now);
        break;
    }
  }
}

RateAccount* RateLimiter::State::Use(const TenantId& tenant, TimePoint now) {
  if (!m_is_active) {
    return nullptr;
  }
  const auto found = m_accounts.find(tenant);
  if (found != m_accounts.end()) {
    Update(found->second, now);
    return &found->second;
  }
  const Tenant* entry = m_tenants->Find(tenant);
  if (entry == nullptr || !entry->limited()) {
    return nullptr;
  }
  const RateTolerance tolerance{m_options.window, m_options.overshoot,
                                m_options.slack};
  const RatePlan plan = PlanRate(entry->rate, entry->burst, tolerance);
  RateAccount account{.tokens = AccountTokens(plan, m_options.window),
                      .partition = AllocatorChoice::PartitionOf(tenant),
                      .rate = entry->rate,
                      .burst = entry->burst,
                      .report_at = now,
                      .reserves_spent_until = now,
                      .answered = std::nullopt};
  if (m_accounts.empty()) {
    m_timers.Set({Kind::kForget, 0}, now + kForgetInterval);
  }
  RateAccount& added =
      m_accounts.emplace(tenant, std::move(account)).first->second;
  Update(added, now);
  return &added;
}

void RateLimiter::State::Update(RateAccount& account, TimePoint now) {
  AccountTokens& tokens = account.tokens;
  const std::size_t before = tokens.reservations();
  const auto rank = m_shares.ReserveRank(account.partition);
  const std::uint32_t total = ReserveTotal(account, now);
  tokens.SetReserve(rank ? ReserveOf(total, m_shares.sharers(), *rank) : 0);
  tokens.Advance(m_shares.history(account.partition), now);
  tokens.SetMayReserve(m_reservations < kMostReservations);
  m_reservations -= before - tokens.reservations();
  const std::uint32_t unpaid = tokens.reserve().unpaid();
  account.reported = std::min(account.reported, unpaid);
  account.unreported = std::min(account.unreported, unpaid - account.reported);
}

std::uint32_t RateLimiter::State::ReserveTotal(const RateAccount& account,
                                               TimePoint now) const {
  const RatePlan& plan = account.tokens.plan();
  const bool is_start = now <= m_started + m_options.window;
  return is_start ? plan.start_reserve : plan.reserve;
}

void RateLimiter::State::ApplyTenants(TimePoint now) {
  std::vector<TenantId> gone;
  for (auto& [tenant, account] : m_accounts) {
    const Tenant* entry = m_is_active ? m_tenants->Find(tenant) : nullptr;
    if (entry == nullptr || !entry->limited()) {
      gone.push_back(tenant);
      continue;
    }
    Update(account, now);
    account.rate = entry->rate;
    account.burst = entry->burst;
    account.tokens.SetPlan(
        PlanRate(entry->rate, entry->burst,
                 {m_options.window, m_options.overshoot, m_options.slack}));
    Update(account, now);
  }
  std::vector<CallId> free;
  for (const auto& [call, request] : m_pending) {
    if (std::ranges::find(gone, request.tenant) != gone.end()) {
      free.push_back(call);
    }
  }
  for (const CallId call : free) {
    Finish(call, {});
  }
  for (const TenantId& tenant : gone) {
    const auto found = m_accounts.find(tenant);
    m_reservations -= found->second.tokens.reservations();
    m_accounts.erase(found);
  }
}

void RateLimiter::State::StartMessages(TimePoint now) {
  m_share_rounds = 0;
  AskForShares(now);
}

std::optional<RateVerdict> RateLimiter::State::DecideHere(
    RateAccount& account,
    const TenantId& tenant,
    std::uint64_t hash,
    TimePoint now) {
  if (m_shares.Allocator(account.partition, now) == m_options.host) {
    const TokenDecision decision = DecideAsAllocator(account, hash, now);
    if (decision.outcome == TokenDecision::Outcome::kGranted) {
      return RateVerdict{};
    }
    if (m_shares.is_alone()) {
      return RateVerdict{RateDecision::kLimited, decision.retry_after};
    }
    return std::nullopt;
  }
  if (account.tokens.TryReserve(now)) {
    NoteSpent(account, tenant, now);
    return RateVerdict{};
  }
  if (account.tokens.TryBucket(now)) {
    return RateVerdict{};
  }
  return std::nullopt;
}

TokenDecision RateLimiter::State::DecideAsAllocator(RateAccount& account,
                                                    std::uint64_t hash,
                                                    TimePoint now) {
  const std::size_t before = account.tokens.reservations();
  const TokenDecision decision = account.tokens.Decide(hash, now);
  m_reservations = m_reservations - before + account.tokens.reservations();
  return decision;
}

void RateLimiter::State::NoteSpent(RateAccount& account,
                                   const TenantId& tenant,
                                   TimePoint now) {
  if (account.unreported == 0) {
    account.report_at = now + kReportDelay;
  }
  ++account.unreported;
  m_to_report.insert(tenant);
  SetReportTimer(account.report_at);
}

void RateLimiter::State::Ask(CallId call, TimePoint now) {
  const auto found = m_pending.find(call);
  if (found == m_pending.end()) {
    return;
  }
  PendingRequest& request = found->second;
  const RateAccount* account = Use(request.tenant, now);
  if (account == nullptr) {
    Finish(call, {});
    return;
  }
  if (request.due) {
    AskReserves(call, now);
    return;
  }
  const std::vector<HostId> order = m_shares.Order(account->partition, now);
  if (request.undecided >= order.size()) {
    request.undecided = 0;
    AskLater(call, now + kRoundPause);
    return;
  }
  const HostId& host = order[request.undecided];
  if (host == m_options.host) {
    AskHere(call, now);
  } else {
    AskHost(call, host, now);
  }
}

void RateLimiter::State::AskHere(CallId call, TimePoint now) {
  PendingRequest& request = m_pending.at(call);
  RateAccount& account = *Use(request.tenant, now);
  const TokenDecision decision =
      DecideAsAllocator(account, request.request_hash, now);
  switch (decision.outcome) {
    case TokenDecision::Outcome::kGranted:
      Finish(call, {});
      break;
    case TokenDecision::Outcome::kLimited:
      OnLimited(call, decision.retry_after, now);
      break;
    case TokenDecision::Outcome::kNoShare:
      ++request.undecided;
      Ask(call, now);
      break;
  }
}

void RateLimiter::State::AskHost(CallId call,
                                 const HostId& host,
                                 TimePoint now) {
  PendingRequest& request = m_pending.at(call);
  RateAccount& account = m_accounts.at(request.tenant);
  ++request.asks;
  TokenAsk ask;
  ask.to = host;
  ask.calls = {call};
  ask.request.demands = {
      {request.tenant, account.unreported, {request.request_hash}}};
  account.reported += std::exchange(account.unreported, 0);
  Send(std::move(ask), now);
}

void RateLimiter::State::AskLater(CallId call, TimePoint at) {
  m_timers.Set({Kind::kAskAgain, call.raw()}, at);
}

void RateLimiter::State::OnLimited(CallId call,
                                   Duration retry_after,
                                   TimePoint now) {
  PendingRequest& request = m_pending.at(call);
  request.undecided = 0;
  if (now + retry_after < request.decide_by) {
    AskLater(call, now + retry_after);
    return;
  }
  request.due = now + retry_after;
  AskReserves(call, now);
}

void RateLimiter::State::AskReserves(CallId call, TimePoint now) {
  PendingRequest& request = m_pending.at(call);
  RateAccount& account = *Use(request.tenant, now);
  if (request.asks > 0) {
    return;
  }
  const bool may_ask = request.reserves_asked < kMostReservesAsked &&
                       account.reserves_spent_until <= now;
  const std::vector<HostId> holders =
      may_ask ? ReserveHolders(account, now) : std::vector<HostId>();
  if (!holders.empty()) {
    ++request.reserves_asked;
    AskHost(call, holders[m_random.Below(holders.size())], now);
    return;
  }
  const Duration retry = std::max(*request.due - now, kMinRetry);
  Finish(call, {RateDecision::kLimited, retry});
}

std::vector<HostId> RateLimiter::State::ReserveHolders(
    const RateAccount& account,
    TimePoint now) const {
  const std::vector<HostId> order = m_shares.Order(account.partition, now);
  const auto count =
      std::min<std::size_t>(order.size(), ReserveTotal(account, now));
  std::vector<HostId> holders;
  // The first one is the allocator, which has refused the request.
  for (std::size_t i = 1; i < count; ++i) {
    if (order[i] != m_options.host && !m_shares.IsSilent(order[i], now)) {
      holders.push_back(order[i]);
    }
  }
  return holders;
}

void RateLimiter::State::DecideFinally(CallId call, TimePoint now) {
  const auto found = m_pending.find(call);
  if (found == m_pending.end()) {
    return;
  }
  const PendingRequest request = found->second;
  RateAccount* account = Use(request.tenant, now);
  if (account == nullptr) {
    Finish(call, {});
    return;
  }
  const TokenDecision decision =
      DecideAsAllocator(*account, request.request_hash, now);
  switch (decision.outcome) {
    case TokenDecision::Outcome::kGranted:
      Finish(call, {});
      break;
    case TokenDecision::Outcome::kLimited:
      Finish(call, {RateDecision::kLimited,
                    std::max(decision.retry_after, kMinRetry)});
      break;
    case TokenDecision::Outcome::kNoShare:
      Finish(call, request.due
                       ? RateVerdict{RateDecision::kLimited,
                                     std::max(*request.due - now, kMinRetry)}
                       : UnknownVerdict(*account, now));
      break;
  }
}

RateVerdict RateLimiter::State::UnknownVerdict(const RateAccount& account,
                                               TimePoint now) const {
  // The lease that this host has given is the longest time for which it can
  // depend on an allocator that does not answer.
  const Duration wait = m_shares.FreeAt(account.partition) - now;
  return {RateDecision::kUnknown,
          std::clamp(wait, kMinRetry, kLeaseLifetime + kLeaseMargin)};
}

void RateLimiter::State::Finish(CallId call, const RateVerdict& verdict) {
  const auto found = m_pending.find(call);
  const auto account = m_accounts.find(found->second.tenant);
  if (account != m_accounts.end()) {
    --account->second.pending;
    Count(account->second, verdict.decision);
  }
  m_timers.Remove({Kind::kDecide, call.raw()});
  m_timers.Remove({Kind::kAskAgain, call.raw()});
  m_pending.erase(found);
  m_port.OnRateVerdict(call, verdict);
}

void RateLimiter::State::Count(RateAccount& account, RateDecision decision) {
  account.admitted += decision == RateDecision::kAdmitted ? 1 : 0;
  account.limited += decision == RateDecision::kLimited ? 1 : 0;
  account.unknown += decision == RateDecision::kUnknown ? 1 : 0;
}

void RateLimiter::State::AskForShares(TimePoint now) {
  const std::vector<HostId> hosts = m_shares.HostsToAsk();
  for (const HostId& host : hosts) {
    m_port.SendRateMessage(host, m_shares.RequestTo(host, now));
    ++m_counts.share_requests_sent;
  }
  if (hosts.empty()) {
    m_timers.Remove({Kind::kShares, 0});
    return;
  }
  Duration interval = kShareInterval;
  if (m_share_rounds < kStartIntervals.size()) {
    interval = kStartIntervals[m_share_rounds];
    ++m_share_rounds;
  } else if (m_share_rounds == kStartIntervals.size()) {
    // Hosts that are started together do not ask at the same time.
    const auto spread = static_cast<std::uint64_t>(kShareInterval.count());
    interval = Duration(static_cast<Duration::rep>(m_random.Below(spread)));
    ++m_share_rounds;
  }
  m_timers.Set({Kind::kShares, 0}, now + interval);
}

void RateLimiter::State::Forget(TimePoint now) {
  for (auto item = m_accounts.begin(); item != m_accounts.end();) {
    RateAccount& account = item->second;
    Update(account, now);
    const bool is_idle = account.tokens.IsIdle() && account.pending == 0;
    item = is_idle ? m_accounts.erase(item) : std::next(item);
  }
  std::erase_if(m_answers,
                [&](const auto& item) { return item.second.IsIdle(now); });
  if (!m_accounts.empty()) {
    m_timers.Set({Kind::kForget, 0}, now + kForgetInterval);
  }
}

RateLimiterStatus RateLimiter::State::Snapshot(TimePoint now) const {
  RateLimiterStatus status;
  status.active = m_is_active;
  status.sharers = m_shares.sharers();
  status.share = m_shares.share();
  for (std::size_t partition = 0; partition < kRatePartitions; ++partition) {
    const bool is_own = m_shares.Allocator(partition, now) == m_options.host;
    status.partitions += is_own ? 1 : 0;
  }
  status.accounts.reserve(m_accounts.size());
  for (const auto& [tenant, account] : m_accounts) {
    status.accounts.push_back(StatusOf(tenant, account, now));
  }
  std::ranges::sort(status.accounts, {}, &RateAccountStatus::tenant);
  status.messages = m_counts;
  return status;
}

std::optional<RateAccountStatus> RateLimiter::State::StatusOf(
    const TenantId& tenant,
    TimePoint now) const {
  const auto found = m_accounts.find(tenant);
  return found == m_accounts.end()
             ? std::nullopt
             : std::optional(StatusOf(tenant, found->second, now));
}

RateAccountStatus RateLimiter::State::StatusOf(const TenantId& tenant,
                                               const RateAccount& account,
                                               TimePoint now) const {
  RateAccountStatus status;
  status.tenant = tenant;
  status.rate = account.rate;
  status.burst = account.burst;
  status.admitted = account.admitted;
  status.limited = account.limited;
  status.unknown = account.unknown;
  status.pending = account.pending;
  status.level = account.tokens.level();
  status.reserve = account.tokens.reserve().available();
  status.lease_sum = m_shares.history(account.partition).share();
  status.allocator = m_shares.Allocator(account.partition, now);
  if (account.answered) {
    status.answer_age = now - *account.answered;
  }
  return status;
}

}  // namespace jacinthdeck
