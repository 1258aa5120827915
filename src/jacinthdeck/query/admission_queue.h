// Queue of the calls of a service that wait to run.
#ifndef JACINTHDECK_QUERY_ADMISSION_QUEUE_H_
#define JACINTHDECK_QUERY_ADMISSION_QUEUE_H_

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/routing/fair_queue.h"

namespace jacinthdeck {

//! Waiting calls, fair between tenants.
using AdmissionQueue = FairQueue<Call, TenantId>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ADMISSION_QUEUE_H_
