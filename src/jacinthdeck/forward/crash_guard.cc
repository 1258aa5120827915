// Evidence of crashes, and the states that follow from it.
#include "jacinthdeck/forward/crash_guard.h"

#include <xxhash.h>

#include <algorithm>
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

AnswerChanges CrashGuard::OnAnswered(const GuardedAttempt& attempt,
                                     TimePoint now) {
  OnFailed(attempt);
  const std::uint64_t key = AnswerKey(attempt.fingerprint, attempt.service);
  m_answers[key % kAnswerSlots] = {key, now};
  AnswerChanges changes;
  if (m_deferred.size() > 0) {
    for (const DeferredCrash& crash : m_deferred.TakeRefuted(
             attempt.fingerprint, attempt.service, attempt.sent)) {
      changes.ignored.push_back(
          {crash.fingerprint, crash.service, crash.target, now - crash.since});
    }
  }
  changes.cleared = m_quarantine.RecordCompletion(
      attempt.fingerprint, RangeOf(attempt.service), now);
  return changes;
}

void CrashGuard::OnUnanswered(const GuardedAttempt& attempt,
                              bool closed_by_target,
                              TimePoint due,
                              TimePoint now) {
  if (!m_unresolved.Add({.fingerprint = attempt.fingerprint,
                         .service = attempt.service,
                         .target = attempt.target,
                         .target_started_ms = attempt.target_started_ms,
                         .sent = attempt.sent,
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
    const DeferredCrash crash{.source = EvidenceSource::kOwnAttempt,
                              .fingerprint = attempt.fingerprint,
                              .service = attempt.service,
                              .target = target,
                              .probe = attempt.probe,
                              .since = attempt.sent,
                              .due = now};
    DeferOrApply(crash, now, changes);
  }
  return changes;
}

void CrashGuard::RecordEnd(const DeferredCrash& crash,
                           TimePoint now,
                           CrashGuardChanges& changes) {
  CrashEvidence evidence{crash.fingerprint, crash.service, crash.target};
  switch (m_quarantine.RecordCrash(crash.fingerprint, RangeOf(crash.service),
                                   crash.probe, now)) {
    case QuarantineState::kNone:
      break;
    case QuarantineState::kSuspect:
      changes.suspects.push_back(evidence);
      break;
    case QuarantineState::kQuarantined:
      evidence.quarantined_for =
          m_quarantine.QuarantinedUntil(crash.fingerprint, now).value_or(now) -
          now;
      changes.quarantined.push_back(evidence);
      break;
  }
}

std::optional<TimePoint> CrashGuard::NextDue() const {
  const auto evidence = m_deferred.NextDue();
  const auto check = m_unresolved.NextDue();
  return evidence && check ? std::min(*evidence, *check)
                           : (evidence ? evidence : check);
}

CrashGuardChanges CrashGuard::TakeDueEvidence(TimePoint now) {
  CrashGuardChanges changes;
  for (const DeferredCrash& crash : m_deferred.TakeDue(now)) {
    Apply(crash, now, changes);
  }
  return changes;
}

void CrashGuard::Apply(const DeferredCrash& crash,
                       TimePoint now,
                       CrashGuardChanges& changes) {
  switch (crash.source) {
    case EvidenceSource::kOwnAttempt:
      RecordEnd(crash, now, changes);
      break;
    case EvidenceSource::kPeerSuspect:
      m_quarantine.AddPeerSuspect(crash.fingerprint, now,
                                  RangeOf(crash.service));
      break;
    case EvidenceSource::kPeerQuarantine:
      m_quarantine.AddPeerQuarantine(crash.fingerprint, now);
      break;
  }
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

void CrashGuard::AddPeerSuspect(Fingerprint fingerprint,
                                const ServiceId& service,
                                TimePoint now) {
  AddPeerReport(EvidenceSource::kPeerSuspect, fingerprint, service, now);
}

void CrashGuard::AddPeerQuarantine(Fingerprint fingerprint,
                                   const ServiceId& service,
                                   TimePoint now) {
  AddPeerReport(EvidenceSource::kPeerQuarantine, fingerprint, service, now);
}

void CrashGuard::AddPeerReport(EvidenceSource source,
                               Fingerprint fingerprint,
                               const ServiceId& service,
                               TimePoint now) {
  CrashGuardChanges none;  // A report changes nothing that is shared.
  DeferOrApply({.source = source,
                .fingerprint = fingerprint,
                .service = service,
                .target = {},
                .since = now,
                .due = now},
               now, none);
}

std::uint64_t CrashGuard::AnswerKey(Fingerprint fingerprint,
                                    const ServiceId& service) {
  return XXH3_64bits_withSeed(service.raw().data(), service.raw().size(),
                              fingerprint.raw());
}

std::optional<TimePoint> CrashGuard::LastAnswer(Fingerprint fingerprint,
                                                const ServiceId& service,
                                                TimePoint now) const {
  const std::uint64_t key = AnswerKey(fingerprint, service);
  const Answer& answer = m_answers[key % kAnswerSlots];
  const bool speaks =
      answer.key == key && answer.at && now - *answer.at < kAnswerRetention;
  return speaks ? answer.at : std::nullopt;
}

void CrashGuard::DeferOrApply(DeferredCrash crash,
                              TimePoint now,
                              CrashGuardChanges& changes) {
  if (const auto answered = LastAnswer(crash.fingerprint, crash.service, now)) {
    crash.due = *answered + kAnswerRetention;
    if (m_deferred.Add(crash)) {
      return;
    }
  }
  Apply(crash, now, changes);
}

void CrashGuard::EndProbes(const UnresolvedAttempts::Attempts& resolved) {
  for (const UnresolvedAttempt& attempt : resolved) {
    if (attempt.probe) {
      (void)m_probes.End(attempt.fingerprint, attempt.target);
    }
  }
}

}  // namespace jacinthdeck
