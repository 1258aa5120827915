// Estimated encoded size of peer messages, for counters and for bounds.
#ifndef JACINTHDECK_CLUSTER_MESSAGE_SIZE_H_
#define JACINTHDECK_CLUSTER_MESSAGE_SIZE_H_

#include <cstddef>

#include "jacinthdeck/cluster/messages.h"

namespace jacinthdeck {

/*! \brief Estimates the encoded size of one statement, in bytes. */
[[nodiscard]] std::size_t EstimateSize(const MemberUpdate& update);

/*! \brief Estimates the encoded size of a message with its frame, in bytes. */
[[nodiscard]] std::size_t EstimateSize(const Envelope& envelope);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MESSAGE_SIZE_H_
