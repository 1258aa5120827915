// Everything that reaches the decision thread.
#ifndef JACINTHDECK_RUNTIME_DECISION_EVENT_H_
#define JACINTHDECK_RUNTIME_DECISION_EVENT_H_

#include <functional>
#include <variant>
#include <vector>

#include "jacinthdeck/cluster/member.h"
#include "jacinthdeck/cluster/messages.h"
#include "jacinthdeck/cluster/operator_reply.h"
#include "jacinthdeck/cluster/store_call.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/query/partition_map.h"
#include "jacinthdeck/routing/target_info.h"
#include "jacinthdeck/runtime/submitted_call.h"

namespace jacinthdeck {

class DecisionCore;

/*! \brief Partition maps of a service were read from the store. */
struct VersionsRead {
  ServiceId service;
  std::vector<PartitionMap> maps;
};

/*! \brief The host list was read. */
struct HostsRead {
  std::vector<TargetInfo> targets;
};

/*! \brief An operator wants a change. */
struct ChangeSubmitted {
  ConfigChange change;
  std::function<void(const OperatorReply&)> sink;
};

/*! \brief Something to look up or do on the decision thread. */
struct DecisionTask {
  std::function<void(DecisionCore&, TimePoint)> run;
};

/*! \brief Any event. */
using DecisionEvent = std::variant<SubmittedCall,
                                   AttemptReply,
                                   Envelope,
                                   StoreReply,
                                   VersionsRead,
                                   HostsRead,
                                   ChangeSubmitted,
                                   DecisionTask>;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_DECISION_EVENT_H_
