// Evidence of crashes, and the states that follow from it.
#include "jacinthdeck/forward/crash_guard.h"

#include <xxhash.h>

#include <string>

namespace jacinthdeck {

namespace {

//! The quarantine tells shards apart by key ranges; each service stands for a
//! range of its own.
[[nodiscard]] KeyRange RangeOf(const ServiceId& service) {
  const std::uint64_t point =
      XXH3_64bits(service.raw().data(), service.raw().size()) % kKeySpaceEnd;
  return {point, point + 1};
}

}  // namespace

Fingerprint FingerprintOf(const OpaqueRequest& request) {
  std::string text;
  text.reserve(request.method.size() + request.host.size() +
               request.target.size() + request.body.size() + 3);
  text += request.method;
  text += '\n';
  text += request.host;
  text += '\n';
  text += request.target;
  text += '\n';
  text += request.body;
  return Fingerprint(XXH3_64bits(text.data(), text.size()));
}

bool CrashGuard::CrashedService(Fingerprint fingerprint,
                                const ServiceId& service) const {
  return m_quarantine.CrashedInRange(fingerprint, RangeOf(service));
}

void CrashGuard::OnSent(const GuardedAttempt& attempt) {
  if (attempt.probe) {
    m_probes.Begin(attempt.fingerprint, attempt.target);
  }
}

void CrashGuard::OnNotRun(const GuardedAttempt& attempt) {
  if (attempt.probe) {
    (void)m_probes.End(attempt.fingerprint, attempt.target);
  }
}

void CrashGuard::OnFailed(const GuardedAttempt& attempt) {
  OnNotRun(attempt);
  if (m_unresolved.size() > 0) {
    EndProbes(m_unresolved.OnAnswered(attempt.target, attempt.sent));
  }
}

bool CrashGuard::OnAnswered(const GuardedAttempt& attempt, TimePoint now) {
  OnFailed(attempt);
  const std::uint64_t key = AnswerKey(attempt.fingerprint, attempt.service);
  m_answers[key % kAnswerSlots] = {key, now};
  return m_quarantine.RecordCompletion(attempt.fingerprint,
                                       RangeOf(attempt.service), now);
}

void CrashGuard::OnUnanswered(const GuardedAttempt& attempt,
                              bool closed_by_target,
                              TimePoint due,
                              TimePoint now) {
  if (!m_unresolved.Add({.fingerprint = attempt.fingerprint,
                         .service = attempt.service,
                         .target = attempt.target,
                         .target_started_ms = attempt.target_started_ms,
                         .probe = attempt.probe,
                         .closed_by_target = closed_by_target,
                         .due = due},
                        now)) {
    OnNotRun(attempt);
  }
}

CrashGuardChanges CrashGuard::OnTargetEnded(const TargetId& target,
                                            TimePoint now) {
  CrashGuardChanges changes;
  const UnresolvedAttempts::Attempts ended = m_unresolved.OnTargetGone(target);
  EndProbes(ended);
  for (const UnresolvedAttempt& attempt : ended) {
    if (const auto ago =
            AnsweredAgo(attempt.fingerprint, attempt.service, now)) {
      changes.ignored.push_back(
          {attempt.fingerprint, attempt.service, target, *ago});
      continue;
    }
    CrashEvidence evidence{attempt.fingerprint, attempt.service, target};
    switch (m_quarantine.RecordCrash(
        attempt.fingerprint, RangeOf(attempt.service), attempt.probe, now)) {
      case QuarantineState::kNone:
        break;
      case QuarantineState::kSuspect:
        changes.suspects.push_back(evidence);
        break;
      case QuarantineState::kQuarantined:
        evidence.quarantined_for =
            m_quarantine.QuarantinedUntil(attempt.fingerprint, now)
                .value_or(now) -
            now;
        changes.quarantined.push_back(evidence);
        break;
    }
  }
  return changes;
}

void CrashGuard::OnTargetDraining(const TargetId& target) {
  EndProbes(m_unresolved.OnTargetGone(target));
}

CrashGuardChanges CrashGuard::OnTargetChecked(const TargetId& target,
                                              TargetCheck result,
                                              TimePoint now) {
  if (result == TargetCheck::kUnreachable) {
    return OnTargetEnded(target, now);
  }
  EndProbes(m_unresolved.OnChecked(target, result, now));
  return {};
}

std::vector<TargetId> CrashGuard::TakeDueChecks(TimePoint now) {
  UnresolvedAttempts::Due due = m_unresolved.TakeDue(now);
  EndProbes(due.expired);
  return std::move(due.to_check);
}

CrashGuardChanges CrashGuard::AddPeerSuspect(Fingerprint fingerprint,
                                             const ServiceId& service,
                                             TimePoint now) {
  CrashGuardChanges changes;
  if (const auto ago = AnsweredAgo(fingerprint, service, now)) {
    changes.ignored.push_back({fingerprint, service, {}, *ago});
    return changes;
  }
  m_quarantine.AddPeerSuspect(fingerprint, now, RangeOf(service));
  return changes;
}

CrashGuardChanges CrashGuard::AddPeerQuarantine(Fingerprint fingerprint,
                                                const ServiceId& service,
                                                TimePoint now) {
  CrashGuardChanges changes;
  if (const auto ago = AnsweredAgo(fingerprint, service, now)) {
    changes.ignored.push_back({fingerprint, service, {}, *ago});
    return changes;
  }
  m_quarantine.AddPeerQuarantine(fingerprint, now);
  return changes;
}

std::uint64_t CrashGuard::AnswerKey(Fingerprint fingerprint,
                                    const ServiceId& service) {
  return XXH3_64bits_withSeed(service.raw().data(), service.raw().size(),
                              fingerprint.raw());
}

std::optional<Duration> CrashGuard::AnsweredAgo(Fingerprint fingerprint,
                                                const ServiceId& service,
                                                TimePoint now) const {
  const std::uint64_t key = AnswerKey(fingerprint, service);
  const Answer& answer = m_answers[key % kAnswerSlots];
  if (answer.key != key || !answer.at || now - *answer.at >= kAnswerRetention) {
    return std::nullopt;
  }
  return now - *answer.at;
}

void CrashGuard::EndProbes(const UnresolvedAttempts::Attempts& resolved) {
  for (const UnresolvedAttempt& attempt : resolved) {
    if (attempt.probe) {
      (void)m_probes.End(attempt.fingerprint, attempt.target);
    }
  }
}

}  // namespace jacinthdeck
