// Actions that the engine requests, and the attempt results it is given.
#ifndef JACINTHDECK_QUERY_EFFECTS_H_
#define JACINTHDECK_QUERY_EFFECTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"
#include "jacinthdeck/query/hit.h"
#include "jacinthdeck/query/key_range.h"
#include "jacinthdeck/routing/attempt.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck {

/*! \brief Request to send one attempt to a target. */
struct SendAttempt {
  AttemptId attempt;
  CallId call;
  TargetId target;
  std::shared_ptr<const Method> method;
  std::shared_ptr<const std::string> body;
  KeyRange range;
  IndexVersion version;
  //! Time at which the target stops working on the request.
  TimePoint deadline;
  AttemptKind kind = AttemptKind::kFirst;
};

/*! \brief Request to cancel an attempt. Its end must still be reported, with
 * status kCancelled if the cancellation took effect. */
struct CancelAttempt {
  AttemptId attempt;
  TargetId target;
};

/*! \brief Request to send a caller its final answer. */
struct DeliverAnswer {
  CallId call;
  Answer answer;
};

/*! \brief Actions that the engine requested; each list is in the order of the
 * requests. */
struct Effects {
  std::vector<SendAttempt> sends;
  std::vector<CancelAttempt> cancels;
  std::vector<DeliverAnswer> answers;
  //! Fingerprints that became suspects, to be announced to the peers.
  std::vector<Fingerprint> suspects;
  //! Fingerprints that were quarantined, to be announced to the peers.
  std::vector<Fingerprint> quarantined;
};

/*! \brief End of an attempt as reported by the transport. */
struct AttemptReply {
  AttemptId attempt;
  AttemptStatus status = AttemptStatus::kAnswered;
  //! Index version that the target reports for its answer.
  IndexVersion version;
  //! Key range that the target reports for its answer.
  KeyRange range;
  std::vector<Hit> hits;
  std::uint64_t count = 0;
  std::optional<double> reported_load;
  //! Set with kShed if the target reported that it is draining.
  bool draining = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_EFFECTS_H_
