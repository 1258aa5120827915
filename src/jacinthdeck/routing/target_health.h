// Outlier ejection of a target based on the outcomes of recent attempts.
#ifndef JACINTHDECK_ROUTING_TARGET_HEALTH_H_
#define JACINTHDECK_ROUTING_TARGET_HEALTH_H_

#include <cstdint>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/*! \brief Classification of an attempt for the health of its target. */
enum class HealthSample {
  kGood,
  //! Answered late, or cancelled when it was already late.
  kSlow,
  kFailed,
  //! Not counted, such as a shed or an early cancellation.
  kNone,
};

/*! \brief Health state of a target, which decides what requests it gets. */
enum class HealthState {
  kTrusted,
  //! Gets no requests until the end of the ejection.
  kEjected,
  //! The ejection is over; the target gets one request at a time as a probe.
  kProbing,
};

//! Names of the health states on the status page.
inline constexpr NameTable<HealthState, 3> kHealthStateNames{
    {"trusted", "ejected", "probing"}};

/**
 * \brief Tracks failures and slowness of one target and ejects it as an
 * outlier.
 *
 * A target that fails immediately looks idle, so a choice by load alone would
 * send it all requests (a black hole). A slow or unresponsive target delays
 * every answer that needs it. Only outcomes observed by this host count, not
 * the load that a target reports.
 */
class TargetHealth {
 public:
  TargetHealth() noexcept;

  /*! \brief Returns the fraction of recent attempts that failed. */
  [[nodiscard]] double failure_rate() const noexcept {
    return m_failure_rate.value();
  }

  /*! \brief Returns the fraction of recent attempts that were slow. */
  [[nodiscard]] double slow_rate() const noexcept {
    return m_slow_rate.value();
  }

  /*! \brief Returns the number of ejections since the last long healthy period.
   */
  [[nodiscard]] std::uint32_t ejections() const noexcept { return m_ejections; }

  /*! \brief Returns the state at a time. */
  [[nodiscard]] HealthState State(TimePoint now) const noexcept;

  /*! \brief Returns true if a probe may be sent now. */
  [[nodiscard]] bool MayProbe(TimePoint now) const noexcept {
    return State(now) == HealthState::kProbing && !m_probe_in_flight;
  }

  /*! \brief Records that a probe is being sent. */
  void OnProbe() noexcept { m_probe_in_flight = true; }

  /**
   * \brief Records the end of an attempt and ejects the target if it is an
   * outlier.
   * \param sample Classification of the attempt.
   * \param slower_than_peers Whether the target's latency is far above that of
   * its peers; only then can slow attempts make it an outlier.
   * \param now Current time.
   * \param random Source of the jitter of the ejection.
   * \return True if the target was newly ejected; false if a failed probe
   * extended its ejection.
   */
  bool OnEnd(HealthSample sample,
             bool slower_than_peers,
             TimePoint now,
             Random& random);

 private:
  [[nodiscard]] bool IsOutlier(bool slower_than_peers) const noexcept;
  void Eject(TimePoint now, Random& random);
  void OnProbeEnd(HealthSample sample, TimePoint now, Random& random);

  DecayingAverage m_failure_rate;
  DecayingAverage m_slow_rate;
  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_ejections = 0;
  std::uint32_t m_good_probes = 0;
  bool m_ejected = false;
  bool m_probe_in_flight = false;
  //! End of the ejection, or the earliest time of the next probe; valid only
  //! while m_ejected is true.
  TimePoint m_ejected_until{};
  TimePoint m_reinstated{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_HEALTH_H_
