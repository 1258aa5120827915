// How a stand-in target behaves: service times, faults and what it reports.
#ifndef JACINTHDECK_STANDINS_TARGET_BEHAVIOUR_H_
#define JACINTHDECK_STANDINS_TARGET_BEHAVIOUR_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {
class JsonReader;
}  // namespace jacinthdeck

namespace jacinthdeck::standins {

/*! \brief Shape of the service times. */
enum class ServiceTimeDistribution { kConstant, kExponential, kLognormal };

//! Names of the shapes in control messages.
inline constexpr NameTable<ServiceTimeDistribution, 3>
    kServiceTimeDistributionNames{{"constant", "exponential", "lognormal"}};

/*! \brief Everything about a target that can be changed while it runs. */
struct Behaviour {
  ServiceTimeDistribution distribution = ServiceTimeDistribution::kExponential;
  //! Mean time in a slot.
  Duration mean_service_time = std::chrono::milliseconds(4);
  //! Standard deviation of the logarithm, for kLognormal.
  double sigma = 0.5;
  //! Share of requests that take straggler_factor times as long.
  double straggler_share = 0;
  double straggler_factor = 10;
  //! Every request takes so many times as long.
  double slow_factor = 1;
  //! Share of requests that end with status 500 after they have run.
  double failure_share = 0;
  //! Share of requests that are refused at once: a target that fails fast.
  double shed_share = 0;
  //! Accepts requests and never answers them.
  bool mute = false;
  bool draining = false;
  //! Requests that may wait for a slot; above, they are shed.
  std::uint32_t queue_limit = 24;
  //! While cold, requests are refused.
  Duration cold_for{};
  //! Requests whose JSON contains this text crash the target; empty: none.
  std::string crash_on;
  //! Time a crashed target stays down.
  Duration restart_time = std::chrono::seconds(1);
  //! Connections without a request for so long are closed; 0: never.
  Duration idle_close{};
  //! Age of the health and load that are reported.
  Duration report_lag{};
  //! Load that is reported whatever the truth.
  std::optional<double> load_override;
  //! State that is reported whatever the truth.
  std::string state_override;
};

/**
 * \brief Reads the changes that a control message asks for.
 * \param changes JSON object with some of the members, named as in
 * docs/modules/standins.md.
 * \param current Behaviour in force; what the message does not name stays.
 * \return The new behaviour; kCorrupt for an unknown member or a wrong value.
 */
[[nodiscard]] Result<Behaviour> ReadBehaviour(const JsonReader& changes,
                                              const Behaviour& current);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_BEHAVIOUR_H_
