// Forward declarations of the cluster module.
#ifndef JACINTHDECK_CLUSTER_FWD_H_
#define JACINTHDECK_CLUSTER_FWD_H_

namespace jacinthdeck {}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_FWD_H_
