// Snapshot of a node.
#include "jacinthdeck/runtime/node_status.h"

#include "jacinthdeck/runtime/decision_core.h"

namespace jacinthdeck {

NodeStatus TakeStatus(DecisionCore& core, TimePoint now) {
  NodeStatus status;
  const MemberTable& table = core.cluster().members();
  status.node = table.self().node;
  status.incarnation = table.self().incarnation;
  status.serving = core.cluster().StateAt(now);
  status.draining = core.draining();
  status.store_reachable = core.cluster().config().store_reachable();
  status.revision = core.cluster().config().revision();
  status.accepted = core.cluster().coordinator().accepted();
  status.waiting_for = core.cluster().coordinator().WaitingFor();
  status.open_calls = core.open_calls();
  for (const auto& [node, member] : table.members()) {
    status.members.push_back(
        MemberStatus{node, member.latest.incarnation, table.StateOf(node, now),
                     member.latest.domain, member.latest.address});
  }
  status.targets = core.router().Snapshot(now);
  status.engine = core.engine().counters();
  status.router = core.router().counters();
  status.peers = core.cluster().counters();
  return status;
}

}  // namespace jacinthdeck
