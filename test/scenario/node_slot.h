// The place of one entry: its present life and what surrounds it.
#ifndef JACINTHDECK_TEST_SCENARIO_NODE_SLOT_H_
#define JACINTHDECK_TEST_SCENARIO_NODE_SLOT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "jacinthdeck/runtime/decision_core.h"
#include "jacinthdeck/runtime/decision_ports.h"

namespace jacinthdeck::scenario {

class World;

/*! \brief Ways out of one life of an entry, all into the world. */
class NodePorts final : public DecisionPorts {
 public:
  NodePorts(World& world, std::size_t node) noexcept
      : m_world(world), m_node(node) {}

  [[nodiscard]] bool ToTarget(TargetCommand command) override;
  void ToPeer(const PeerSend& send) override;
  [[nodiscard]] bool ToStore(const StoreRequest& request) override;
  void Publish(std::shared_ptr<const Schema> /*schema*/) override {}

 private:
  World& m_world;
  std::size_t m_node;
};

/*! \brief One entry across its lives. */
struct NodeSlot {
  std::unique_ptr<NodePorts> ports;
  //! Null while it is dead.
  std::unique_ptr<DecisionCore> core;
  //! Unique among all lives of all nodes; also the incarnation.
  std::uint64_t life = 0;
  bool paused = false;
  bool store_cut = false;
  //! Events that arrived while paused.
  std::deque<std::function<void()>> held;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_NODE_SLOT_H_
