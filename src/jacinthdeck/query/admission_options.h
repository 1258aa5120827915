// Limits on running and waiting calls, and the weights of tenants.
#ifndef JACINTHDECK_QUERY_ADMISSION_OPTIONS_H_
#define JACINTHDECK_QUERY_ADMISSION_OPTIONS_H_

#include <cstddef>
#include <map>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Admission options; each limit applies to one service. */
struct AdmissionOptions {
  //! Maximum number of calls that run at once.
  std::size_t max_running_calls = 1024;
  //! Maximum number of calls that wait to run.
  std::size_t max_waiting_calls = 512;
  //! Number of attempts per shard of the service that may wait for capacity on
  //! a target. Once as many wait, calls are queued instead of started: a queued
  //! call has cost the targets nothing, while one that waits for its last shard
  //! has already used capacity for all others.
  double waiting_attempts_per_shard = 2.0;
  //! Weight of a tenant that is not listed in weights.
  double default_weight = 1.0;
  //! Weights of tenants, each above zero; shares are proportional to them.
  std::map<TenantId, double> weights;

  /*! \brief Returns the weight of a tenant. */
  [[nodiscard]] double WeightOf(const TenantId& tenant) const {
    const auto found = weights.find(tenant);
    return found == weights.end() ? default_weight : found->second;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ADMISSION_OPTIONS_H_
