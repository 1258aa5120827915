// Holds back requests that may crash targets, and collects the evidence.
#include <algorithm>

#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Pause before a part that is held looks again whether the probe or the canary
//! has a result.
constexpr Duration kProbePollInterval = milliseconds(4);

}  // namespace

GuardedAttempt Forwarder::GuardedOf(const PendingAttempt& attempt) {
  const TargetEntry& target = attempt.target->entry();
  return {.fingerprint = attempt.fingerprint,
          .service = target.service,
          .target = target.id,
          .target_started_ms = target.started_ms,
          .sent = attempt.sent,
          .probe = attempt.probe};
}

bool Forwarder::IsSuspect(const PendingCall& pending, TimePoint now) const {
  return m_crash_guard.StateOf(pending.fingerprint, now) ==
         QuarantineState::kSuspect;
}

bool Forwarder::PassesCrashGuard(PendingCall& pending,
                                 CallPart& part,
                                 TimePoint now) {
  switch (m_crash_guard.StateOf(pending.fingerprint, now)) {
    case QuarantineState::kNone:
      return true;
    case QuarantineState::kQuarantined:
      if (part.in_flight.empty()) {
        GiveUp(pending, part, ForwardReason::kCrashesTargets);
      }
      return false;
    case QuarantineState::kSuspect:
      break;
  }
  if (part.in_flight.empty() && MayProbe(pending, part)) {
    return true;
  }
  HoldPart(pending, part, now);
  return false;
}

bool Forwarder::MayProbe(const PendingCall& pending,
                         const CallPart& part) const {
  if (m_crash_guard.IsProbing(pending.fingerprint)) {
    return false;
  }
  const auto crashed = [&](const CallPart& candidate) {
    return candidate.phase == internal::PartPhase::kOpen &&
           m_crash_guard.CrashedService(pending.fingerprint, candidate.service);
  };
  return crashed(part) || std::ranges::none_of(pending.parts, crashed);
}

void Forwarder::HoldPart(PendingCall& pending, CallPart& part, TimePoint now) {
  if (!part.in_flight.empty()) {
    OnNoTarget(pending, part, now);
  } else {
    part.retry_at = now + kProbePollInterval;
  }
}

// The canary was sent before its request was suspect, but after the first
// breaks. Without this, one more target would have to end under a probe. A
// harmless request beside a crashing one has answers of other shards by then,
// and does not become quarantined when its canary meets another target that
// ends.
void Forwarder::MakeCanaryProbe(PendingAttempt& attempt,
                                const AttemptEnd& end,
                                TimePoint now) {
  const auto found = m_calls.find(attempt.call);
  if (attempt.probe || end.outcome != AttemptOutcome::kBroken ||
      found == m_calls.end()) {
    return;
  }
  const PendingCall& pending = found->second;
  if (pending.retry_gate.IsCanary(end.id) && pending.answered == 0 &&
      IsSuspect(pending, now)) {
    attempt.probe = true;
    m_crash_guard.OnSent(GuardedOf(attempt));
  }
}

// The parts would otherwise wait for their next look, which may be a poll
// interval away.
void Forwarder::ReleaseHeldParts(PendingCall& pending, TimePoint now) {
  for (CallPart& part : pending.parts) {
    if (part.phase != internal::PartPhase::kOpen || !part.held) {
      continue;
    }
    part.held = false;
    pending.held_until = now;
    auto& next = part.in_flight.empty() ? part.retry_at : part.hedge_at;
    if (next) {
      next = now;
    }
  }
}

void Forwarder::UpdateCrashGuard(const PendingAttempt& attempt,
                                 const AttemptEnd& end,
                                 TimePoint now) {
  const GuardedAttempt guarded = GuardedOf(attempt);
  switch (end.outcome) {
    case AttemptOutcome::kResponse:
      if (end.response.answers_request()) {
        RecordAnswer(guarded, end.response.status, now);
      } else {
        m_crash_guard.OnFailed(guarded);
      }
      if (m_crash_guard.unresolved().size() > 0) {
        m_domain_answers[attempt.target->entry().domain] = now;
      }
      break;
    case AttemptOutcome::kNotExecuted:
      m_crash_guard.OnNotRun(guarded);
      break;
    case AttemptOutcome::kWrongTarget:
      m_crash_guard.OnNotRun(guarded);
      OnTargetEnded(guarded.target, now);
      break;
    case AttemptOutcome::kNotSent:
      m_crash_guard.OnNotRun(guarded);
      if (end.unreachable) {
        OnTargetEnded(guarded.target, now);
      }
      break;
    case AttemptOutcome::kBroken:
      RecordUnanswered(attempt, true, now, now);
      CheckDueTargets(now);
      break;
  }
}

void Forwarder::RecordAnswer(const GuardedAttempt& guarded,
                             int status,
                             TimePoint now) {
  const AnswerChanges changes = m_crash_guard.OnAnswered(guarded, now);
  if (changes.cleared) {
    ++m_counters.suspects_cleared;
    m_port.OnSuspectCleared({.fingerprint = guarded.fingerprint,
                             .service = guarded.service,
                             .target = guarded.target,
                             .status = status});
  }
  m_counters.crashes_ignored += changes.ignored.size();
  for (const IgnoredCrash& crash : changes.ignored) {
    m_port.OnCrashIgnored(crash);
  }
}

void Forwarder::RecordUnanswered(const PendingAttempt& attempt,
                                 bool closed_by_target,
                                 TimePoint resolve_at,
                                 TimePoint now) {
  const GuardedAttempt guarded = GuardedOf(attempt);
  if (attempt.target->entry().draining) {
    // It shuts down and soon leaves the registry; that is no crash.
    m_crash_guard.OnNotRun(guarded);
    return;
  }
  m_crash_guard.OnUnanswered(guarded, closed_by_target, resolve_at, now);
}

void Forwarder::OnTargetEnded(const TargetId& target, TimePoint now) {
  ApplyGuardChanges(m_crash_guard.OnTargetEnded(target, now));
}

void Forwarder::OnTargetChecked(const TargetId& target,
                                TargetCheck result,
                                TimePoint now) {
  UpdateReachability(target, result, now);
  if (result == TargetCheck::kTimedOut && IsOnlyTargetSilent(target)) {
    result = TargetCheck::kUnreachable;
  }
  ApplyGuardChanges(m_crash_guard.OnTargetChecked(target, result, now));
  CheckDueTargets(now);
}

// A host that is cut off from a failure domain, or from all, finds its targets
// silent as well. It would quarantine harmless requests for all hosts.
bool Forwarder::IsOnlyTargetSilent(const TargetId& id) {
  const TrackedTarget* target = m_targets.Find(id);
  const auto since = m_crash_guard.unresolved().CheckingSince(id);
  if (target == nullptr || !since) {
    return false;
  }
  const auto answer = m_domain_answers.find(target->entry().domain);
  return answer != m_domain_answers.end() && answer->second >= *since;
}

void Forwarder::ApplyGuardChanges(const CrashGuardChanges& changes) {
  m_counters.suspects += changes.suspects.size();
  m_counters.quarantines += changes.quarantined.size();
  for (const CrashEvidence& evidence : changes.suspects) {
    m_port.ShareSuspect(evidence);
  }
  for (const CrashEvidence& evidence : changes.quarantined) {
    m_port.ShareQuarantine(evidence);
  }
}

void Forwarder::CheckDueTargets(TimePoint now) {
  for (const TargetId& id : m_crash_guard.TakeDueChecks(now)) {
    const TrackedTarget* target = m_targets.Find(id);
    if (target == nullptr || target->is_removed()) {
      OnTargetEnded(id, now);
      continue;
    }
    CheckTarget(*target);
  }
}

void Forwarder::CheckTarget(const TrackedTarget& target) {
  const std::uint32_t limit =
      m_config == nullptr ? 1
                          : ConnectionLimit(*m_config, target.entry().service);
  m_port.CheckTarget(target.entry(), limit, m_has_share);
}

void Forwarder::ResolveReplacedTargets(TimePoint now) {
  for (const TargetId& id : m_crash_guard.unresolved().Targets()) {
    const TrackedTarget* target = m_targets.Find(id);
    if (target == nullptr || target->is_removed() ||
        m_crash_guard.unresolved().IsOfEarlierProcess(
            id, target->entry().started_ms) ||
        m_targets.IsAddressReused(*target)) {
      OnTargetEnded(id, now);
    } else if (target->entry().draining) {
      m_crash_guard.OnTargetDraining(id);
    }
  }
}

void Forwarder::AddSuspect(Fingerprint fingerprint,
                           const ServiceId& service,
                           TimePoint now) {
  m_crash_guard.AddPeerSuspect(fingerprint, service, now);
}

void Forwarder::QuarantineRequest(Fingerprint fingerprint,
                                  const ServiceId& service,
                                  TimePoint now) {
  m_crash_guard.AddPeerQuarantine(fingerprint, service, now);
}

}  // namespace jacinthdeck
