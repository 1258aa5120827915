// Bounds on the calls that run and wait, and the shares of tenants.
#ifndef JACINTHDECK_QUERY_ADMISSION_OPTIONS_H_
#define JACINTHDECK_QUERY_ADMISSION_OPTIONS_H_

#include <cstddef>
#include <map>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/*! \brief Options of the admission of calls; all bounds are for one service. */
struct AdmissionOptions {
  //! Calls that run at once.
  std::size_t max_running_calls = 1024;
  //! Calls that wait to run.
  std::size_t max_waiting_calls = 512;
  //! Attempts that may wait for a place on a target, for each shard of the
  //! service, before calls wait instead. A call that waits whole has cost the
  //! targets nothing; one that waits for its last shard has cost all the
  //! others.
  double waiting_attempts_per_shard = 2.0;
  //! Share of a tenant that has no weight of its own.
  double default_weight = 1.0;
  //! Shares of tenants, above zero.
  std::map<TenantId, double> weights;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ADMISSION_OPTIONS_H_
