// Order of claims on a bucket: reservations that are due, new requests, spent
// reserves.
#include "jacinthdeck/tenancy/account_tokens.h"

#include <algorithm>
#include <cmath>

namespace jacinthdeck {

namespace {

//! A caller comes back a round trip after its token is due.
constexpr Duration kMaxClaimTime = std::chrono::milliseconds(500);
constexpr Duration kMinClaimTime = std::chrono::milliseconds(50);
//! Tokens that are kept for requests that may come, rather than used to pay for
//! reserves.
constexpr double kMostKept = 4;
//! Bounds the time that a caller is told.
constexpr double kMaxWaitSeconds = 3600;

[[nodiscard]] Duration ToDuration(double seconds) {
  const double micros = std::ceil(std::min(seconds, kMaxWaitSeconds) * 1e6);
  return Duration(static_cast<Duration::rep>(std::max(micros, 0.0)) + 1);
}

[[nodiscard]] double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AccountTokens::AccountTokens(const RatePlan& plan, Duration window)
    : m_plan(plan), m_reserve(window) {
  m_reservations.SetClaimTime(ClaimTime());
}

void AccountTokens::SetPlan(const RatePlan& plan) {
  m_plan = plan;
  m_reservations.SetClaimTime(ClaimTime());
}

void AccountTokens::Advance(const ShareHistory& history, TimePoint now) {
  m_bucket.Advance(m_plan, history, now);
  m_share = history.share();
  m_reserve.Advance(now);
  m_reservations.Advance(now);
  if (m_share <= 0) {
    m_reservations.Clear();
  }
  PayOwnReserve();
}

TokenDecision AccountTokens::Decide(std::uint64_t hash, TimePoint now) {
  using Outcome = TokenDecision::Outcome;
  const std::optional<TimePoint> due = m_reservations.DueOf(hash);
  if (due) {
    return DecideReserved(hash, *due, now);
  }
  if (TryBucket(now) || TryReserve(now)) {
    return {Outcome::kGranted, {}};
  }
  return Refuse(hash, now);
}

bool AccountTokens::TryBucket(TimePoint now) {
  const auto held = static_cast<double>(m_reservations.held());
  if (m_bucket.level() < held + 1) {
    return held == 0 && m_reservations.size() == 0 && m_bucket.TryTake();
  }
  const std::optional<TimePoint> next = m_reservations.NextDue();
  if (next) {
    const double gain = m_plan.rate * m_share * ToSeconds(*next - now);
    if (m_bucket.level() + gain < held + 2) {
      return false;
    }
  }
  return m_bucket.TryTake();
}

bool AccountTokens::TryReserve(TimePoint now) {
  return m_reserve.TrySpend(now);
}

std::uint32_t AccountTokens::Pay(std::uint32_t spent) {
  if (m_reservations.size() > 0) {
    return 0;
  }
  const double payable = std::max(std::floor(Payable()), 0.0);
  const double paid =
      m_bucket.TakeUpTo(std::min(payable, static_cast<double>(spent)));
  return static_cast<std::uint32_t>(paid);
}

bool AccountTokens::Refund() {
  if (m_reserve.Unspend()) {
    return true;
  }
  m_bucket.Return(m_plan, m_share);
  return false;
}

bool AccountTokens::IsIdle() const {
  return m_reservations.size() == 0 && m_reserve.unpaid() == 0 &&
         m_bucket.IsFull(m_plan, m_share);
}

TokenDecision AccountTokens::DecideReserved(std::uint64_t hash,
                                            TimePoint due,
                                            TimePoint now) {
  using Outcome = TokenDecision::Outcome;
  if (due > now) {
    return {Outcome::kLimited, due - now};
  }
  if (m_bucket.TryTake() || m_reserve.TrySpend(now)) {
    m_reservations.Erase(hash);
    return {Outcome::kGranted, {}};
  }
  // The share has fallen since the time was told.
  return Refuse(hash, now);
}

TokenDecision AccountTokens::Refuse(std::uint64_t hash, TimePoint now) {
  using Outcome = TokenDecision::Outcome;
  const double rate = m_plan.rate * m_share;
  if (rate <= 0) {
    return {Outcome::kNoShare, {}};
  }
  m_reservations.Erase(hash);
  const auto earlier = static_cast<double>(m_reservations.size());
  TimePoint due = now + ToDuration((earlier + 1 - m_bucket.level()) / rate);
  const std::optional<TimePoint> last = m_reservations.LastDue();
  if (last) {
    // A token that is kept for its caller may fill a small bucket, which gains
    // nothing meanwhile.
    const double size = SharedBucket::SizeOf(m_plan, m_share);
    const Duration claim = ClaimTime();
    const bool is_small = size - 1 < rate * ToSeconds(claim);
    due = std::max(
        due, *last + ToDuration(1 / rate) + (is_small ? claim : Duration{}));
  }
  if (m_may_reserve) {
    (void)m_reservations.Reserve(hash, due);
  }
  return {Outcome::kLimited, due - now};
}

void AccountTokens::PayOwnReserve() {
  if (m_reservations.size() > 0) {
    return;
  }
  while (m_reserve.unpaid() > 0 && Payable() > 0) {
    const double part = std::min(m_reserve.MissingPart(), Payable());
    m_reserve.AddPart(m_bucket.TakeUpTo(part));
  }
}

double AccountTokens::Payable() const {
  // Requests that wait come before reserves, so that the tokens are where they
  // are asked for.
  const double size = SharedBucket::SizeOf(m_plan, m_share);
  return m_bucket.level() - std::clamp((size - 2) / 2, 0.0, kMostKept);
}

Duration AccountTokens::ClaimTime() const {
  if (m_plan.rate <= 0) {
    return kMinClaimTime;
  }
  // Tokens that are kept fill at most half of the bucket.
  return std::clamp(ToDuration(0.5 * m_plan.burst / m_plan.rate), kMinClaimTime,
                    kMaxClaimTime);
}

}  // namespace jacinthdeck
