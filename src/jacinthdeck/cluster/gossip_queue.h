// Statements that wait to travel along with other messages.
#ifndef JACINTHDECK_CLUSTER_GOSSIP_QUEUE_H_
#define JACINTHDECK_CLUSTER_GOSSIP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "jacinthdeck/cluster/member_update.h"

namespace jacinthdeck {

/*!
 * \brief Bounded gossip: the statements told least often go first, and each is
 * dropped after a number of tellings that grows with log n.
 *
 * Without the bound, a burst of changes would grow every message and take the
 * links that the queries need.
 */
class GossipQueue {
 public:
  /*! \brief Makes a queue; `bytes` bounds the gossip of one message. */
  explicit GossipQueue(std::size_t bytes) noexcept : m_bytes(bytes) {}

  [[nodiscard]] std::size_t size() const noexcept { return m_items.size(); }

  /*! \brief Adds a statement in place of any older one about the same node. */
  void Add(const MemberUpdate& update);

  /**
   * \brief Takes what one message may carry.
   * \param members Number of members, which sets how often a statement is told.
   * \return Statements, within the bound on bytes.
   */
  [[nodiscard]] std::vector<MemberUpdate> Take(std::size_t members);

 private:
  struct Item {
    MemberUpdate update;
    std::uint32_t told = 0;
    std::size_t size = 0;
  };

  std::size_t m_bytes;
  //! At most one statement for each node.
  std::map<NodeId, Item> m_items;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_GOSSIP_QUEUE_H_
