// Forward declarations of the query module: scatter, gather, snapshots,
// coverage, merging.
#ifndef JACINTHDECK_QUERY_FWD_H_
#define JACINTHDECK_QUERY_FWD_H_

namespace jacinthdeck {

class Engine;
struct Answer;
struct AttemptReply;
struct Call;
struct Effects;
struct Hit;
struct KeyRange;
struct PartitionMap;
struct SendAttempt;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_FWD_H_
