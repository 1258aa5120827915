// Quarantine of requests of the platform that crash the targets that run them.
#ifndef JACINTHDECK_FORWARD_CRASH_GUARD_H_
#define JACINTHDECK_FORWARD_CRASH_GUARD_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/deferred_evidence.h"
#include "jacinthdeck/forward/opaque_request.h"
#include "jacinthdeck/forward/unresolved_attempts.h"
#include "jacinthdeck/query/probe_gate.h"
#include "jacinthdeck/query/quarantine.h"

namespace jacinthdeck {

/*! \brief Hashes method, host, path with query, and body; equal requests have
 * equal fingerprints. */
[[nodiscard]] Fingerprint FingerprintOf(const OpaqueRequest& request);

/*! \brief A target that ended under a request. */
struct CrashEvidence {
  Fingerprint fingerprint;
  ServiceId service;
  TargetId target;
  //! How long the request is quarantined for it; zero while it is suspect.
  Duration quarantined_for{};
};

/*! \brief The answer that cleared a suspect request. */
struct ClearingAnswer {
  Fingerprint fingerprint;
  ServiceId service;
  TargetId target;
  int status = 0;
};

/*! \brief The end of a target that is no evidence, as its service answered the
 * request afterwards. */
struct IgnoredCrash {
  Fingerprint fingerprint;
  ServiceId service;
  //! Empty if another host reported the end.
  TargetId target;
  //! Time from the attempt, or the report, to the answer.
  Duration refuted_after{};
};

/*! \brief Requests whose state changed, with the end that changed it. */
struct CrashGuardChanges {
  std::vector<CrashEvidence> suspects;
  std::vector<CrashEvidence> quarantined;
};

/*! \brief What an answer changed. */
struct AnswerChanges {
  //! Whether the request was suspect and is no longer.
  bool cleared = false;
  //! Ends of targets that the answer refuted.
  std::vector<IgnoredCrash> ignored;
};

/*! \brief An attempt as the crash guard knows it. */
struct GuardedAttempt {
  Fingerprint fingerprint;
  ServiceId service;
  TargetId target;
  std::uint64_t target_started_ms = 0;
  TimePoint sent;
  //! Whether the request was suspect when the attempt was sent.
  bool probe = false;
};

/**
 * \brief Decides which requests may be sent, by the ends of their attempts.
 *
 * A request under which a target ended is suspect: it runs as one attempt at a
 * time, a probe, on a service whose target ended under it. A target that
 * answers the probe clears it; one that ends quarantines it. The ends of
 * attempts count whether or not their calls are still open, since a call may
 * end long before its targets do.
 *
 * The end of a target whose service answered the request within
 * kAnswerRetention is deferred: a later answer refutes it, and without one it
 * counts once that time is over.
 */
class CrashGuard {
 public:
  //! How long a request is quarantined the first time, and then each time that
  //! a probe after it ends a target.
  static constexpr Duration kFirstQuarantine = std::chrono::minutes(1);
  static constexpr Duration kLaterQuarantine = std::chrono::minutes(10);
  //! How long after an answer of a service the ends of its targets wait for
  //! another one.
  static constexpr Duration kAnswerRetention = std::chrono::seconds(2);
  //! Number of slots for answers. A popular request whose slot another one took
  //! gets it back with its next answer.
  static constexpr std::size_t kAnswerSlots = 4096;

  /*! \brief Returns the state of a request. */
  [[nodiscard]] QuarantineState StateOf(Fingerprint fingerprint,
                                        TimePoint now) const {
    return m_quarantine.StateOf(fingerprint, now);
  }
  /*! \brief Returns when a request may be sent again; empty if it is not
   * quarantined. */
  [[nodiscard]] std::optional<TimePoint> QuarantinedUntil(
      Fingerprint fingerprint,
      TimePoint now) const {
    return m_quarantine.QuarantinedUntil(fingerprint, now);
  }
  /*! \brief Returns whether a target of a service ended under a request. */
  [[nodiscard]] bool CrashedService(Fingerprint fingerprint,
                                    const ServiceId& service) const;
  /*! \brief Returns whether a probe of a request has no result yet. */
  [[nodiscard]] bool IsProbing(Fingerprint fingerprint) const {
    return m_probes.IsProbing(fingerprint);
  }
  /*! \brief Returns whether a target runs a probe. If two suspects ran there,
   * its end would count against both. */
  [[nodiscard]] bool RunsProbe(const TargetId& target) const {
    return m_probes.targets().contains(target);
  }
  [[nodiscard]] const UnresolvedAttempts& unresolved() const noexcept {
    return m_unresolved;
  }

  /*! \brief Records that an attempt is sent. */
  void OnSent(const GuardedAttempt& attempt);

  /*! \brief Records that an attempt did not run. */
  void OnNotRun(const GuardedAttempt& attempt);

  /*! \brief Records an error of a target: it survived what it got before, but
   * may not have run the request. */
  void OnFailed(const GuardedAttempt& attempt);

  /*! \brief Records a complete answer: its target survived the request, and
   * what it got before. */
  AnswerChanges OnAnswered(const GuardedAttempt& attempt, TimePoint now);

  /**
   * \brief Records an attempt that ended without a complete response.
   * \param closed_by_target Whether the target closed the connection.
   * \param due Time from which a sign of life shows that the target survived.
   */
  void OnUnanswered(const GuardedAttempt& attempt,
                    bool closed_by_target,
                    TimePoint due,
                    TimePoint now);

  /*! \brief Records that a target ended. */
  [[nodiscard]] CrashGuardChanges OnTargetEnded(const TargetId& target,
                                                TimePoint now);

  /*! \brief Drops the unresolved attempts at a target that shuts down. */
  void OnTargetDraining(const TargetId& target);

  /*! \brief Processes the result of a check. */
  [[nodiscard]] CrashGuardChanges OnTargetChecked(const TargetId& target,
                                                  TargetCheck result,
                                                  TimePoint now);

  /*! \brief Returns when TakeDueChecks() or TakeDueEvidence() has something to
   * do. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /*! \brief Takes deferred ends of targets as evidence that no answer has
   * refuted in time. */
  [[nodiscard]] CrashGuardChanges TakeDueEvidence(TimePoint now);

  /*! \brief Returns the targets to be checked now. */
  [[nodiscard]] std::vector<TargetId> TakeDueChecks(TimePoint now);

  /*! \brief Makes a request suspect, as another host found a target of a
   * service to end under it. */
  void AddPeerSuspect(Fingerprint fingerprint,
                      const ServiceId& service,
                      TimePoint now);

  /*! \brief Quarantines a request that another host quarantined, as a target
   * of a service ended under its probe. */
  void AddPeerQuarantine(Fingerprint fingerprint,
                         const ServiceId& service,
                         TimePoint now);

 private:
  struct Answer {
    //! Hash of the request and the service.
    std::uint64_t key = 0;
    std::optional<TimePoint> at;
  };

  [[nodiscard]] static std::uint64_t AnswerKey(Fingerprint fingerprint,
                                               const ServiceId& service);
  //! Returns when a service answered a request; empty if that was longer than
  //! kAnswerRetention ago.
  [[nodiscard]] std::optional<TimePoint> LastAnswer(Fingerprint fingerprint,
                                                    const ServiceId& service,
                                                    TimePoint now) const;
  //! Defers the end of a target if its service answered the request recently
  //! and the table has room; otherwise takes it as evidence.
  void DeferOrApply(DeferredCrash crash,
                    TimePoint now,
                    CrashGuardChanges& changes);
  void Apply(const DeferredCrash& crash,
             TimePoint now,
             CrashGuardChanges& changes);
  void AddPeerReport(EvidenceSource source,
                     Fingerprint fingerprint,
                     const ServiceId& service,
                     TimePoint now);
  void RecordEnd(const DeferredCrash& crash,
                 TimePoint now,
                 CrashGuardChanges& changes);
  void EndProbes(const UnresolvedAttempts::Attempts& resolved);

  Quarantine m_quarantine{
      QuarantineOptions{.first_quarantine_ttl = kFirstQuarantine,
                        .quarantine_ttl = kLaterQuarantine}};
  ProbeGate m_probes;
  UnresolvedAttempts m_unresolved;
  DeferredEvidence m_deferred;
  //! Last answer of each slot.
  std::array<Answer, kAnswerSlots> m_answers{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_CRASH_GUARD_H_
