// Parameters of one run of the tail bench (deployment, service times, fault and
// strategy) and its result.
#ifndef JACINTHDECK_BENCH_SUPPORT_TAIL_CASE_H_
#define JACINTHDECK_BENCH_SUPPORT_TAIL_CASE_H_

#include <cmath>
#include <cstdint>
#include <functional>
#include <string>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/routing/router_options.h"

namespace jacinthdeck::bench {

/*! \brief Distribution of the service time, for which a request occupies a
 * slot. */
enum class ServiceDistribution { kExponential, kLognormal, kConstant };

inline constexpr NameTable<ServiceDistribution, 3> kServiceDistributionNames{
    {"exponential", "lognormal 0.5", "nearly constant"}};

/*! \brief Mean service time, the same for every distribution. */
inline constexpr Duration kMeanServiceTime = std::chrono::milliseconds(5);
//! Slowdown of stragglers and of a slow server.
inline constexpr double kStragglerFactor = 10;

/*! \brief Draws a service time in microseconds. */
[[nodiscard]] inline double DrawServiceTime(ServiceDistribution distribution,
                                            Random& random) {
  constexpr double kPi = 3.14159265358979323846;
  constexpr double kSigma = 0.5;
  const auto mean = static_cast<double>(kMeanServiceTime.count());
  switch (distribution) {
    case ServiceDistribution::kExponential:
      return -mean * std::log(1 - random.Unit());
    case ServiceDistribution::kLognormal: {
      const double normal = std::sqrt(-2 * std::log(1 - random.Unit())) *
                            std::cos(2 * kPi * random.Unit());
      return mean * std::exp(kSigma * normal - kSigma * kSigma / 2);
    }
    case ServiceDistribution::kConstant:
      return mean * (0.95 + 0.1 * random.Unit());
  }
  return mean;
}

/*! \brief Targets of one query service. */
struct Deployment {
  std::string name;
  std::uint32_t shards = 10;
  std::uint32_t replicas = 3;
  std::uint32_t slots = 3;
  std::uint32_t connections = 30;
  Duration connection_open_time = std::chrono::milliseconds(6);
  //! Network delay between an entry and a target, in one direction.
  Duration one_way_delay = Duration(500);
};

/*! \brief A fault scenario. Servers become slow or lost when the measured time
 * starts; stragglers and the offered load apply to the whole run. */
struct Fault {
  std::string name;
  //! Share of requests that take kStragglerFactor times as long.
  double straggler_share = 0;
  //! One server is kStragglerFactor times slower.
  bool slow_server = false;
  //! One replica of every shard stops responding; the lost replicas are spread
  //! over the failure domains.
  bool lost_replica = false;
  //! All servers of one failure domain stop responding.
  bool lost_domain = false;
  //! Offered load relative to the capacity of all slots.
  double offered_load = 0.6;
};

/*! \brief A strategy under test. */
struct Strategy {
  std::string name;
  RouterOptions options;
  //! Runs the OracleScheduler in place of the engines.
  bool oracle = false;
};

/*! \brief Parameters of one run. */
struct TailCase {
  Deployment deployment;
  ServiceDistribution distribution = ServiceDistribution::kExponential;
  Fault fault;
  Strategy strategy;
  std::uint32_t entries = 8;
  std::uint32_t queries = 20000;
  std::uint64_t seed = 1;
};

/*! \brief Result of one run. */
struct TailResult {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  //! Share of the calls that got a whole answer within the deadline.
  double whole = 0;
  //! Share of the calls answered partially.
  double partial = 0;
  //! Attempts per call beyond the fan-out.
  double extra_attempts = 0;
  //! Whole answers per second of simulated time.
  double goodput = 0;
  std::uint64_t sheds = 0;
  //! Largest number of connections to one target.
  std::uint32_t most_connections = 0;
  //! Calls with no or several answers, and answers whose covered and missing
  //! ranges are not the whole key space.
  std::uint64_t wrong_answers = 0;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_TAIL_CASE_H_
