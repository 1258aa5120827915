// Behaviour of a stand-in target: service times, limits, faults and reported
// state.
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

/*! \brief Probability distribution of the service times. */
enum class ServiceTimeDistribution { kConstant, kExponential, kLognormal };

//! Names of the distributions in control messages.
inline constexpr NameTable<ServiceTimeDistribution, 3>
    kServiceTimeDistributionNames{{"constant", "exponential", "lognormal"}};

/*! \brief Settings of a target that can be changed while it runs. */
struct Behaviour {
  ServiceTimeDistribution distribution = ServiceTimeDistribution::kExponential;
  //! Mean time that a request occupies a slot, before slow_factor and
  //! stragglers.
  Duration mean_service_time = std::chrono::milliseconds(4);
  //! Standard deviation of the logarithm of the service time, for kLognormal.
  double sigma = 0.5;
  //! Share of requests, 0 to 1, that take straggler_factor times as long.
  double straggler_share = 0;
  double straggler_factor = 10;
  //! Factor on the service time of every request.
  double slow_factor = 1;
  //! Share of requests, 0 to 1, that run and then end with status 500.
  double failure_share = 0;
  //! Share of requests, 0 to 1, that are refused at once with status 503, as by
  //! a target that fails fast.
  double shed_share = 0;
  //! Accepts requests and never answers them; each occupies its slot until its
  //! deadline, a cancellation or a crash.
  bool mute = false;
  //! Refuses new requests and reports itself as leaving.
  bool draining = false;
  //! Maximum number of requests that wait for a slot; further ones are shed.
  std::uint32_t queue_limit = 24;
  //! Time after a change of the behaviour, or after a restart, in which the
  //! target is cold and refuses requests.
  Duration cold_for{};
  //! A request whose canonical JSON contains this text crashes the target;
  //! empty for none.
  std::string crash_on;
  //! Time that the target stays down after a crash.
  Duration restart_time = std::chrono::seconds(1);
  //! Idle time after which a connection is closed; 0 for never.
  Duration idle_close{};
  //! Reported state and load are refreshed once they are this old.
  Duration report_lag{};
  //! Reported in place of the actual load.
  std::optional<double> load_override;
  //! Reported in place of the actual state; empty for none.
  std::string state_override;
};

/**
 * \brief Applies the changes of a control message to a behaviour.
 * \param changes JSON object with some of the members, named as in
 * docs/modules/standins.md.
 * \param current Behaviour in force; members that the message does not name
 * keep its values.
 * \return The new behaviour; kCorrupt for an unknown member or a wrong value.
 */
[[nodiscard]] Result<Behaviour> ReadBehaviour(const JsonReader& changes,
                                              const Behaviour& current);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_BEHAVIOUR_H_
