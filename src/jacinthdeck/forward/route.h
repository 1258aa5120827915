// A route: which requests it matches, which services handle them, and how they
// may be repeated.
#ifndef JACINTHDECK_FORWARD_ROUTE_H_
#define JACINTHDECK_FORWARD_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Whether a request may be executed more than once. */
enum class RepeatRule { kIdempotent, kAtMostOnce };

//! Names of the rules, for logs.
inline constexpr NameTable<RepeatRule, 2> kRepeatRuleNames{
    {"idempotent", "at_most_once"}};

/*! \brief A service and its share of the requests of a route. */
struct WeightedService {
  ServiceId service;
  //! Relative to the sum of the weights of the route; above zero.
  double weight = 1;

  [[nodiscard]] bool operator==(const WeightedService&) const = default;
};

/*! \brief One route of a configuration version. */
struct Route {
  std::string name;
  //! Compared with the Host header without its port.
  std::string host;
  //! Path prefix; begins and ends with a slash.
  std::string prefix;
  RepeatRule repeat = RepeatRule::kAtMostOnce;
  //! Maximum time that a caller is kept waiting; zero for no limit.
  Duration timeout{};
  //! Time within which an answer is of full use to its caller; zero if unknown.
  Duration objective{};
  //! Priority of the calls; 0 is the most urgent.
  std::uint32_t priority = 0;
  //! Maximum number of targets that may execute one request, or one shard of
  //! it.
  std::uint32_t max_attempts = 1;
  //! Whether callers need no key.
  bool is_public = false;
  //! Services among which whole requests are split; empty for a fan-out.
  std::vector<WeightedService> services;
  //! Services that all get the request, at one target each; empty unless the
  //! route fans out.
  std::vector<ServiceId> shards;
  //! Fan-out only: maximum number of records in a merged answer.
  std::uint32_t top_records = 0;
  //! Fan-out only: minimum share of the shards for an answer.
  double min_share = 1;

  [[nodiscard]] bool fans_out() const noexcept { return !shards.empty(); }

  /*! \brief Minimum number of shards for an answer. */
  [[nodiscard]] std::size_t min_shards() const noexcept;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ROUTE_H_
