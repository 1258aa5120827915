// All members known to a node, and the rules by which one statement about a
// member replaces another.
#ifndef JACINTHDECK_CLUSTER_MEMBER_TABLE_H_
#define JACINTHDECK_CLUSTER_MEMBER_TABLE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/member.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief What a statement did to the table. */
enum class MergeResult {
  //! Older than, or the same as, what is known.
  kIgnored,
  //! The table has changed; the statement is worth passing on.
  kChanged,
  //! It accuses this node itself, which has to refute it.
  kRefute,
};

/*!
 * \brief Table of the members, this node included.
 *
 * Order of statements about one node: a higher incarnation wins; within one
 * life a higher refutation wins, then the worse health. Leaving is never taken
 * back within a life. A death needs two accusers, unless no third member is
 * alive.
 */
class MemberTable {
 public:
  using container_type = std::map<NodeId, Member>;

  /**
   * \brief Makes a table that holds this node alone.
   * \param self This node.
   * \param options Timing of suspicions and holds.
   */
  MemberTable(SelfInfo self, const ClusterOptions& options);

  [[nodiscard]] const SelfInfo& self() const noexcept { return m_self; }
  [[nodiscard]] const container_type& members() const noexcept {
    return m_members;
  }

  /*! \brief Finds a member; null if the node is unknown. */
  [[nodiscard]] const Member* Find(const NodeId& node) const;

  /**
   * \brief Weighs the evidence about a node.
   * \param node Node; an unknown one is unproven.
   * \param now Present moment.
   * \return State that others may act on.
   */
  [[nodiscard]] MemberState StateOf(const NodeId& node, TimePoint now) const;

  /*! \brief Proven members that are neither dead nor this node. */
  [[nodiscard]] std::vector<NodeId> Reachable() const;

  /*! \brief Members that are dead or unproven, which only a probe can bring
   * back. */
  [[nodiscard]] std::vector<NodeId> Unreachable() const;

  /*! \brief The statement that this node makes about itself. */
  [[nodiscard]] const MemberUpdate& SelfUpdate() const;

  /*! \brief Number of members that are proven and not dead, this node included.
   */
  [[nodiscard]] std::size_t alive_count() const noexcept { return m_alive; }

  /*! \brief Length of a suspicion at the present size. */
  [[nodiscard]] Duration SuspicionTime() const;

  /**
   * \brief Takes a hint; a node so named is probed, not believed.
   * \param source Where the hint comes from.
   * \param seed The hint.
   * \return Whether a state may have changed.
   */
  bool AddSeed(SeedSource source, const MemberSeed& seed);

  /*! \brief Applies a statement from gossip or from the member itself. */
  MergeResult Merge(const MemberUpdate& update, TimePoint now);

  /**
   * \brief Counts an accuser against a member that cannot be reached.
   * \param node Member.
   * \param accuser Who failed to reach it.
   * \param now Present moment.
   * \return Whether the table changed.
   */
  bool Accuse(const NodeId& node, const NodeId& accuser, TimePoint now);

  /*! \brief Takes a message from the member itself as proof that this life
   * runs. \return False if the message is of a former life and must be dropped.
   */
  bool Heard(const NodeId& node, Incarnation incarnation, TimePoint now);

  /**
   * \brief Turns ripe suspicions into deaths and forgets old deaths.
   * \param now Present moment.
   * \return Members that died.
   */
  std::vector<NodeId> Expire(TimePoint now);

  /*! \brief Moves every running suspicion by the length of a pause. */
  void ShiftSuspicions(Duration pause);

  /*! \brief Answers an accusation of this node: raises its refutation.
   * \return The statement to spread. */
  const MemberUpdate& Refute(const MemberUpdate& accusation);

  /*! \brief Marks this node as leaving, for the rest of its life. */
  const MemberUpdate& LeaveSelf();

 private:
  MergeResult MergeSelf(const MemberUpdate& update) const;
  bool MergeSameLife(Member& member, const MemberUpdate& update, TimePoint now);
  void SetHealth(Member& member, MemberHealth health, TimePoint now);
  void Hold(Member& member, TimePoint now) const;
  [[nodiscard]] bool EnoughAccusers(const Member& member) const;

  SelfInfo m_self;
  ClusterOptions m_options;
  //! Always holds this node, proven and alive.
  container_type m_members;
  //! Members that are proven and not dead.
  std::size_t m_alive = 1;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MEMBER_TABLE_H_
