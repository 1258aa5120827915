// What one node says of a member, and the order between two such statements.
#ifndef JACINTHDECK_CLUSTER_MEMBER_UPDATE_H_
#define JACINTHDECK_CLUSTER_MEMBER_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Whether a member is thought to run. */
enum class MemberHealth { kAlive, kSuspect, kDead };

//! Names of the healths, for logs and the status page.
inline constexpr NameTable<MemberHealth, 3> kMemberHealthNames{
    {"alive", "suspect", "dead"}};

/*! \brief Where a member listens for its peers and for callers. */
struct MemberAddress {
  //! IP number.
  std::string host;
  std::uint16_t peer_port = 0;
  std::uint16_t caller_port = 0;

  [[nodiscard]] bool operator==(const MemberAddress&) const = default;
};

//! Accusers that travel with a statement; two are enough for a death.
inline constexpr std::size_t kMaxAccusers = 2;

/*! \brief Statement about one life of one member; travels as gossip. */
struct MemberUpdate {
  NodeId node;
  Incarnation incarnation;
  //! Raised by the member alone, to refute a suspicion of this life.
  std::uint32_t refutation = 0;
  MemberHealth health = MemberHealth::kAlive;
  //! Never taken back within one life.
  bool leaving = false;
  MemberAddress address;
  FailureDomain domain;
  //! Nodes that failed to reach the member themselves; at most kMaxAccusers.
  std::vector<NodeId> accusers;

  [[nodiscard]] bool operator==(const MemberUpdate&) const = default;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MEMBER_UPDATE_H_
