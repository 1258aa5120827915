// What one run of the tail bench measures: deployment, service shape, fault and
// strategy.
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

/*! \brief Distribution of the time a slot works on a request. */
enum class Shape { kExponential, kLognormal, kConstant };

inline constexpr NameTable<Shape, 3> kShapeNames{
    {"exponential", "lognormal 0.5", "nearly constant"}};

/*! \brief Mean time a slot works on a request, for every shape. */
inline constexpr Duration kMeanService = std::chrono::milliseconds(5);
inline constexpr double kStragglerFactor = 10;

/*! \brief Draws a service time in microseconds. */
[[nodiscard]] inline double DrawService(Shape shape, Random& random) {
  constexpr double kPi = 3.14159265358979323846;
  constexpr double kSigma = 0.5;
  const auto mean = static_cast<double>(kMeanService.count());
  switch (shape) {
    case Shape::kExponential:
      return -mean * std::log(1 - random.Unit());
    case Shape::kLognormal: {
      const double normal = std::sqrt(-2 * std::log(1 - random.Unit())) *
                            std::cos(2 * kPi * random.Unit());
      return mean * std::exp(kSigma * normal - kSigma * kSigma / 2);
    }
    case Shape::kConstant:
      return mean * (0.95 + 0.1 * random.Unit());
  }
  return mean;
}

/*! \brief Servers of one query service. */
struct Deployment {
  std::string name;
  std::uint32_t shards = 10;
  std::uint32_t replicas = 3;
  std::uint32_t slots = 3;
  std::uint32_t connections = 30;
  Duration connection_open_time = std::chrono::milliseconds(6);
  Duration one_way_delay = Duration(500);
};

/*! \brief What goes wrong from the start of the measured time. */
struct Fault {
  std::string name;
  //! Share of requests that take kStragglerFactor times as long.
  double stragglers = 0;
  //! One server is kStragglerFactor times slower.
  bool slow_server = false;
  //! One replica of every shard falls silent, spread over the domains.
  bool lost_replica = false;
  //! All servers of one failure domain fall silent.
  bool lost_domain = false;
  //! Offered load over the capacity of all slots.
  double load = 0.6;
};

/*! \brief A strategy under test. */
struct Strategy {
  std::string name;
  RouterOptions options;
  //! Replaces the engines by the chooser that knows every queue.
  bool all_knowing = false;
};

/*! \brief One run. */
struct TailCase {
  Deployment deployment;
  Shape shape = Shape::kExponential;
  Fault fault;
  Strategy strategy;
  std::uint32_t entries = 8;
  std::uint32_t queries = 20000;
  std::uint64_t seed = 1;
};

/*! \brief What a run gave. */
struct TailResult {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  //! Share of the calls that got a whole answer within the deadline.
  double whole = 0;
  //! Share of the calls answered partially.
  double partial = 0;
  //! Requests to targets beyond the fan-out, for each call.
  double extra = 0;
  //! Whole answers a second of model time.
  double goodput = 0;
  std::uint64_t sheds = 0;
  //! Most connections that one target held.
  std::uint32_t most_connections = 0;
  //! Calls with no or several answers, and answers whose covered and missing
  //! ranges are not the whole key space.
  std::uint64_t wrong_answers = 0;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_TAIL_CASE_H_
