// Snapshot of a node for its status page and metrics.
#ifndef JACINTHDECK_RUNTIME_NODE_STATUS_H_
#define JACINTHDECK_RUNTIME_NODE_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/cluster/config_replica.h"
#include "jacinthdeck/cluster/member.h"
#include "jacinthdeck/cluster/peer_counters.h"
#include "jacinthdeck/query/engine_counters.h"
#include "jacinthdeck/routing/router_counters.h"
#include "jacinthdeck/routing/target_snapshot.h"

namespace jacinthdeck {

class DecisionCore;

/*! \brief One member as this node sees it. */
struct MemberStatus {
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::kUnproven;
  FailureDomain domain;
  MemberAddress address;
};

/*! \brief Everything an operator sees of a node at one moment. */
struct NodeStatus {
  NodeId node;
  Incarnation incarnation;
  ServeState serving = ServeState::kNoConfig;
  bool draining = false;
  bool store_reachable = false;
  Revision revision;
  Revision accepted;
  std::vector<NodeId> waiting_for;
  std::size_t open_calls = 0;
  std::vector<MemberStatus> members;
  std::vector<TargetSnapshot> targets;
  EngineCounters engine;
  RouterCounters router;
  PeerCounters peers;
};

/*! \brief Takes the snapshot; on the decision thread. */
[[nodiscard]] NodeStatus TakeStatus(DecisionCore& core, TimePoint now);

/*! \brief Encodes a snapshot as JSON. */
[[nodiscard]] std::string StatusToJson(const NodeStatus& status);

/*! \brief Renders a snapshot as a page for a browser. */
[[nodiscard]] std::string StatusToHtml(const NodeStatus& status);

/*! \brief Renders the counters as Prometheus text. */
[[nodiscard]] std::string StatusToMetrics(const NodeStatus& status);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_NODE_STATUS_H_
