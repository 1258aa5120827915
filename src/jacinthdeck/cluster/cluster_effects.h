// Everything that one event makes the cluster core want.
#ifndef JACINTHDECK_CLUSTER_CLUSTER_EFFECTS_H_
#define JACINTHDECK_CLUSTER_CLUSTER_EFFECTS_H_

#include <vector>

#include "jacinthdeck/cluster/messages.h"
#include "jacinthdeck/cluster/operator_reply.h"
#include "jacinthdeck/cluster/store_call.h"

namespace jacinthdeck {

/*! \brief Send one message to one peer; it may be lost. */
struct PeerSend {
  MemberAddress address;
  Envelope envelope;
};

/*! \brief Effects of one event, in order within each list. */
struct ClusterEffects {
  std::vector<PeerSend> sends;
  std::vector<StoreRequest> store_requests;
  std::vector<OperatorReply> operator_replies;
  //! ForwardRequest, ForwardReply and QuarantineNotice that arrived, for the
  //! runtime to act on.
  std::vector<Envelope> deliveries;
  //! A higher revision is in force: ConfigReplica::value() has changed.
  bool config_changed = false;
  //! Some member's state has changed.
  bool members_changed = false;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CLUSTER_EFFECTS_H_
