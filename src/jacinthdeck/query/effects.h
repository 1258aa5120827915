// What the engine wants done, and what it is told of attempts.
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

/*! \brief Send one request to one target. */
struct SendAttempt {
  AttemptId attempt;
  CallId call;
  TargetId target;
  std::shared_ptr<const Method> method;
  std::shared_ptr<const std::string> body;
  KeyRange range;
  IndexVersion version;
  //! The target stops working on it then.
  TimePoint deadline;
  AttemptKind kind = AttemptKind::kFirst;
};

/*! \brief Tell a target that an attempt is no longer wanted; its end is
 * reported as kCancelled. */
struct CancelAttempt {
  AttemptId attempt;
  TargetId target;
};

/*! \brief Give a caller its final answer. */
struct DeliverAnswer {
  CallId call;
  Answer answer;
};

/*! \brief Everything that one event made the engine want, in order within each
 * list. */
struct Effects {
  std::vector<SendAttempt> sends;
  std::vector<CancelAttempt> cancels;
  std::vector<DeliverAnswer> answers;
  //! Requests newly suspected of crashing targets, to be told to the peers.
  std::vector<Fingerprint> suspects;
  //! Requests newly convicted of it, to be told to the peers.
  std::vector<Fingerprint> quarantined;
};

/*! \brief End of an attempt as the transport saw it. */
struct AttemptReply {
  AttemptId attempt;
  AttemptStatus status = AttemptStatus::kAnswered;
  //! Version that the target says it answered from.
  IndexVersion version;
  //! Range that the target says it answered for.
  KeyRange range;
  std::vector<Hit> hits;
  std::uint64_t count = 0;
  std::optional<double> reported_load;
  //! With kShed: the target said that it is draining.
  bool draining = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_EFFECTS_H_
