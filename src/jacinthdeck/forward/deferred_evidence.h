// Ends of targets that a later answer may still refute.
#ifndef JACINTHDECK_FORWARD_DEFERRED_EVIDENCE_H_
#define JACINTHDECK_FORWARD_DEFERRED_EVIDENCE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Who found a target to end under a request. */
enum class EvidenceSource {
  kOwnAttempt,
  //! Another host, to which the request became suspect.
  kPeerSuspect,
  //! Another host, which quarantined the request.
  kPeerQuarantine,
};

/*! \brief The end of a target under a request whose service had answered it
 * shortly before. */
struct DeferredCrash {
  EvidenceSource source = EvidenceSource::kOwnAttempt;
  Fingerprint fingerprint;
  ServiceId service;
  //! Empty if another host reported the end.
  TargetId target;
  //! Whether the attempt was a probe.
  bool probe = false;
  //! When the attempt was sent, or the report arrived. An answer to an attempt
  //! sent before says nothing of the request since then.
  TimePoint since;
  //! When it becomes evidence unless it is refuted.
  TimePoint due;
};

/*! \brief Holds ends of targets until an answer refutes them or they are due.
 */
class DeferredEvidence {
 public:
  using Crashes = std::vector<DeferredCrash>;

  //! Maximum number of ends held; the caller counts further ones at once.
  static constexpr std::size_t kMaxCrashes = 1024;

  [[nodiscard]] std::size_t size() const noexcept { return m_crashes.size(); }

  /*! \brief Returns when TakeDue() returns something. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /*! \brief Adds the end of a target; returns false if the table is full. */
  [[nodiscard]] bool Add(const DeferredCrash& crash);

  /*! \brief Removes and returns what the answer of a service to an attempt that
   * was sent at \p sent refutes. */
  [[nodiscard]] Crashes TakeRefuted(Fingerprint fingerprint,
                                    const ServiceId& service,
                                    TimePoint sent);

  /*! \brief Removes and returns what is due. */
  [[nodiscard]] Crashes TakeDue(TimePoint now);

 private:
  template <typename Predicate>
  [[nodiscard]] Crashes Take(Predicate matches);

  //! At most kMaxCrashes, in the order in which they were added.
  Crashes m_crashes;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_DEFERRED_EVIDENCE_H_
