// Outlier ejection: what the outcomes of recent attempts say of a target.
#ifndef JACINTHDECK_ROUTING_TARGET_HEALTH_H_
#define JACINTHDECK_ROUTING_TARGET_HEALTH_H_

#include <cstdint>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/*! \brief What the end of an attempt says of its target. */
enum class HealthSample {
  kGood,
  //! Answered late, or cancelled while it was already late.
  kSlow,
  kFailed,
  //! Says nothing, such as a refusal or an early cancellation.
  kNone,
};

/*! \brief Whether a target is chosen by its score. */
enum class HealthState {
  kTrusted,
  //! Left out until the end of the ejection.
  kEjected,
  //! The ejection is over: one request at a time finds out whether it is well.
  kProbing,
};

//! Names of the health states, for the status page.
inline constexpr NameTable<HealthState, 3> kHealthStateNames{
    {"trusted", "ejected", "probing"}};

/**
 * \brief Tracks failures and lateness of one target and ejects it.
 *
 * A target that fails at once looks idle, so a choice by load alone sends it
 * everything: a black hole. One that is slow or silent holds answers hostage.
 * Only outcomes seen by this entry count; what a target reports of itself does
 * not.
 */
class TargetHealth {
 public:
  TargetHealth() noexcept;

  /*! \brief Share of recent attempts that failed. */
  [[nodiscard]] double failure_rate() const noexcept {
    return m_failure_rate.value();
  }

  /*! \brief Share of recent attempts that were late. */
  [[nodiscard]] double slow_rate() const noexcept {
    return m_slow_rate.value();
  }

  /*! \brief Ejections since the target was last well for long. */
  [[nodiscard]] std::uint32_t ejections() const noexcept { return m_ejections; }

  /*! \brief Gives the state at a moment. */
  [[nodiscard]] HealthState State(TimePoint now) const noexcept;

  /*! \brief Tells whether a probe may be sent now. */
  [[nodiscard]] bool MayProbe(TimePoint now) const noexcept {
    return State(now) == HealthState::kProbing && !m_probe_in_flight;
  }

  /*! \brief Counts a probe that is being sent. */
  void OnProbe() noexcept { m_probe_in_flight = true; }

  /**
   * \brief Takes the end of an attempt.
   * \param sample What it says.
   * \param slower_than_peers Its latency is far above its peers'; a target is
   * slow only in comparison.
   * \param now Present time.
   * \param random Source of the jitter of the ejection.
   * \return True if the target is ejected by it.
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
  //! End of the ejection; has a meaning while m_ejected.
  TimePoint m_ejected_until{};
  TimePoint m_reinstated{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TARGET_HEALTH_H_
