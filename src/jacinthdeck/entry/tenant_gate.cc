// The order of the checks, and the calls that wait for the limiter.
#include "jacinthdeck/entry/tenant_gate.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "jacinthdeck/entry/account_headers.h"
#include "jacinthdeck/forward/crash_guard.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Part of the objective within which the limiter decides. The rest is for the
//! targets.
constexpr int kDecisionPart = 4;
//! Below this an answer that is repeated once (15 ms) would come too late.
constexpr Duration kMinDecisionTime = milliseconds(20);
//! An allocator that has not answered within this time is gone.
constexpr Duration kMaxDecisionTime = milliseconds(250);
//! Time before the deadline that is left for the answer to the caller.
constexpr Duration kAnswerMargin = milliseconds(12);
//! A host that was cut off from the store usually has news again within this
//! time, and a caller who returns may reach another host.
constexpr Duration kStaleKeysRetryAfter = milliseconds(500);

[[nodiscard]] ForwardAnswer Refusal(AnswerKind kind,
                                    ForwardReason reason,
                                    std::optional<Duration> retry_after) {
  ForwardAnswer answer;
  answer.kind = kind;
  answer.reason = reason;
  answer.retry_after = retry_after;
  return answer;
}

}  // namespace

TenantGate::TenantGate(const TenantGateOptions& options,
                       const TargetProtocol& protocol,
                       RequestLimiter& limiter,
                       TenantGateSink& sink)
    : m_options(options),
      m_protocol(protocol),
      m_limiter(limiter),
      m_sink(sink) {}

void TenantGate::SetConfig(std::shared_ptr<const RoutingConfig> config,
                           TimePoint now) {
  m_config = std::move(config);
  std::vector<WaitingCall> changed;
  for (auto item = m_waiting.begin(); item != m_waiting.end();) {
    if (Update(item->second)) {
      ++item;
      continue;
    }
    Withdraw(item->second, now);
    changed.push_back(std::move(item->second));
    item = m_waiting.erase(item);
  }
  m_counters.Retain(*m_config->tenants());
  m_limiter.SetTenants(m_config->tenants(), now);
  for (WaitingCall& call : changed) {
    Check(std::move(call.received), std::move(call.key), now);
  }
  ProcessVerdicts(now);
}

void TenantGate::OnCall(ReceivedCall received, TimePoint now) {
  const CallerKey caller = KeyOf(received.request->headers, m_protocol);
  std::optional<std::string> key;
  if (caller.count == KeyCount::kOne) {
    key = caller.key;
  }
  RemoveAccountHeaders(*received.request, m_protocol);
  if (m_config == nullptr || m_config->tenants()->empty()) {
    m_sink.SubmitCall(std::move(received.call));
    return;
  }
  Check(std::move(received), std::move(key), now);
}

bool TenantGate::OnCallerLeft(CallId call, TimePoint now) {
  const auto found = m_waiting.find(call);
  if (found == m_waiting.end()) {
    return false;
  }
  Withdraw(found->second, now);
  m_waiting.erase(found);
  return true;
}

void TenantGate::OnCallEnd(CallId call, bool may_have_run, TimePoint now) {
  const auto found = m_charged.find(call);
  if (found == m_charged.end()) {
    return;
  }
  if (!may_have_run) {
    m_counters.Add(found->second, GateOutcome::kRefunded);
    m_limiter.Refund(found->second, now);
  }
  m_charged.erase(found);
}

void TenantGate::OnVerdict(CallId call, const RateVerdict& verdict) {
  const auto found = m_waiting.find(call);
  if (found != m_waiting.end() && !found->second.verdict) {
    found->second.verdict = verdict;
    m_decided.push_back(call);
  }
}

void TenantGate::ProcessVerdicts(TimePoint /*now*/) {
  // A call that is submitted may end at once, and its refund may bring further
  // verdicts.
  while (!m_decided.empty()) {
    for (const CallId id : std::exchange(m_decided, {})) {
      const auto found = m_waiting.find(id);
      if (found == m_waiting.end() || !found->second.verdict) {
        continue;
      }
      WaitingCall call = std::move(found->second);
      m_waiting.erase(found);
      const RateVerdict verdict = *call.verdict;
      ApplyVerdict(std::move(call), verdict);
    }
  }
}

const Route* TenantGate::RouteOf(const ReceivedCall& received) const {
  return m_config->Find(received.request->host, received.request->path());
}

const Tenant* TenantGate::TenantOf(
    const std::optional<std::string>& key) const {
  return key ? m_config->tenants()->FindByKey(*key) : nullptr;
}

void TenantGate::Check(ReceivedCall received,
                       std::optional<std::string> key,
                       TimePoint now) {
  const Route* route = RouteOf(received);
  // The forwarder answers calls without a route.
  if (m_config->tenants()->empty() || route == nullptr || route->is_public) {
    m_sink.SubmitCall(std::move(received.call));
    return;
  }
  const Tenant* tenant = TenantOf(key);
  if (tenant == nullptr) {
    m_counters.AddUnauthorized();
    // Not worth hashing a body for.
    Refuse(received, route, {}, {},
           Refusal(AnswerKind::kUnauthorized, ForwardReason::kUnknownKey,
                   std::nullopt));
    return;
  }
  if (m_options.strict_revoke && m_sink.KeyAge() > m_options.revoke_after) {
    m_counters.Add(tenant->name, GateOutcome::kStaleKeys);
    Refuse(received, route, tenant->name, {},
           Refusal(AnswerKind::kNotRun, ForwardReason::kStaleKeys,
                   kStaleKeysRetryAfter));
    return;
  }
  const CallAccount account{tenant->name, tenant->priority};
  if (!tenant->limited()) {
    Submit(std::move(received), account, false);
    return;
  }
  const Fingerprint fingerprint = FingerprintOf(*received.request);
  CheckLimit(
      {std::move(received), std::move(key), account, route, fingerprint, {}},
      now);
}

void TenantGate::CheckLimit(WaitingCall call, TimePoint now) {
  RateRequest request;
  request.call = call.received.call.id;
  request.tenant = call.account.name;
  request.request_hash = call.fingerprint.raw();
  request.decide_by = DecideBy(call.received.call, *call.route, now);
  const RateVerdict verdict = m_limiter.Admit(request, now);
  if (verdict.decision == RateDecision::kPending) {
    m_waiting.emplace(request.call, std::move(call));
    return;
  }
  ApplyVerdict(std::move(call), verdict);
}

bool TenantGate::Update(WaitingCall& call) const {
  call.route = RouteOf(call.received);
  if (call.route == nullptr || call.route->is_public) {
    return false;
  }
  const Tenant* tenant = TenantOf(call.key);
  if (tenant == nullptr || tenant->name != call.account.name ||
      !tenant->limited()) {
    return false;
  }
  call.account.priority = tenant->priority;
  return true;
}

void TenantGate::Withdraw(const WaitingCall& call, TimePoint now) {
  if (!call.verdict) {
    m_limiter.Cancel(call.received.call.id, now);
  } else if (call.verdict->decision == RateDecision::kAdmitted) {
    m_limiter.Refund(call.account.name, now);
  }
}

void TenantGate::Submit(ReceivedCall received,
                        const CallAccount& account,
                        bool charged) {
  m_counters.Add(account.name, GateOutcome::kAdmitted);
  received.request->tenant = account.name.raw();
  received.call.tenant = account.name;
  received.call.priority = account.priority;
  received.call.flow = account.name.raw();
  if (charged) {
    m_charged.emplace(received.call.id, account.name);
  }
  m_sink.SubmitCall(std::move(received.call));
}

void TenantGate::ApplyVerdict(WaitingCall call, const RateVerdict& verdict) {
  switch (verdict.decision) {
    case RateDecision::kAdmitted:
      Submit(std::move(call.received), call.account, true);
      break;
    case RateDecision::kLimited:
      m_counters.Add(call.account.name, GateOutcome::kLimited);
      Refuse(call.received, call.route, call.account.name, call.fingerprint,
             Refusal(AnswerKind::kOverLimit, ForwardReason::kRateLimit,
                     verdict.retry_after));
      break;
    case RateDecision::kPending:
    case RateDecision::kUnknown:
      m_counters.Add(call.account.name, GateOutcome::kUnknown);
      Refuse(call.received, call.route, call.account.name, call.fingerprint,
             Refusal(AnswerKind::kNotRun, ForwardReason::kLimitUnknown,
                     verdict.retry_after));
      break;
  }
}

void TenantGate::Refuse(const ReceivedCall& received,
                        const Route* route,
                        const TenantId& tenant,
                        Fingerprint fingerprint,
                        ForwardAnswer answer) {
  GateRefusal refusal;
  refusal.call = received.call.id;
  refusal.tenant = tenant;
  refusal.caller = received.call.flow;
  refusal.answer = std::move(answer);
  refusal.trace.config = m_config;
  refusal.trace.route = route;
  refusal.trace.fingerprint = fingerprint;
  m_sink.RefuseCall(std::move(refusal));
}

TimePoint TenantGate::DecideBy(const ForwardCall& call,
                               const Route& route,
                               TimePoint now) const {
  // A route without an objective gives the limiter the longest time.
  const Duration part = route.objective > Duration::zero()
                            ? route.objective / kDecisionPart
                            : kMaxDecisionTime;
  TimePoint end =
      call.arrived + std::clamp(part, kMinDecisionTime, kMaxDecisionTime);
  if (route.timeout > Duration::zero()) {
    end = std::min(end, call.arrived + route.timeout - kAnswerMargin);
  }
  if (call.deadline != TimePoint::max()) {
    end = std::min(end, call.deadline - kAnswerMargin);
  }
  return std::max(end, now);
}

}  // namespace jacinthdeck
