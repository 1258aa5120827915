// Forwards to the state of the rate limiter.
#include "jacinthdeck/tenancy/rate_limiter.h"

#include <utility>

#include "jacinthdeck/tenancy/rate_limiter_state.h"

namespace jacinthdeck {

RateLimiter::RateLimiter(const RateLimiterOptions& options,
                         RateLimiterPort& port,
                         std::uint64_t seed,
                         TimePoint now)
    : m_state(std::make_unique<State>(options, port, seed, now)) {}

RateLimiter::~RateLimiter() = default;

void RateLimiter::SetTenants(std::shared_ptr<const TenantTable> tenants,
                             TimePoint now) {
  m_state->SetTenants(std::move(tenants), now);
}

void RateLimiter::SetHosts(std::span<const HostId> fronts,
                           std::uint32_t sharers,
                           bool has_share,
                           TimePoint now) {
  m_state->SetHosts(fronts, sharers, has_share, now);
}

RateVerdict RateLimiter::Admit(const RateRequest& request, TimePoint now) {
  return m_state->Admit(request, now);
}

void RateLimiter::Cancel(CallId call, TimePoint now) {
  m_state->Cancel(call, now);
}

void RateLimiter::Refund(const TenantId& tenant, TimePoint now) {
  m_state->Refund(tenant, now);
}

void RateLimiter::OnMessage(const HostId& from,
                            const RateMessage& message,
                            TimePoint now) {
  m_state->OnMessage(from, message, now);
}

std::optional<TimePoint> RateLimiter::NextTimer() const {
  return m_state->NextTimer();
}

void RateLimiter::OnTimer(TimePoint now) {
  m_state->OnTimer(now);
}

RateLimiterStatus RateLimiter::Snapshot(TimePoint now) const {
  return m_state->Snapshot(now);
}

std::optional<RateAccountStatus> RateLimiter::StatusOf(const TenantId& tenant,
                                                       TimePoint now) const {
  return m_state->StatusOf(tenant, now);
}

const RateMessageCounts& RateLimiter::messages() const noexcept {
  return m_state->messages();
}

}  // namespace jacinthdeck
