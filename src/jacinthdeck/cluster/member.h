// A member as this node sees it, and the states that others may act on.
#ifndef JACINTHDECK_CLUSTER_MEMBER_H_
#define JACINTHDECK_CLUSTER_MEMBER_H_

#include <optional>

#include "jacinthdeck/cluster/member_update.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief State of a member after all evidence is weighed. */
enum class MemberState {
  //! Named by a seed only; nobody has heard from it.
  kUnproven,
  //! Proven alive, and steadily so.
  kLive,
  //! Accused, or back too recently to be trusted.
  kSuspect,
  //! Finishes what it has and takes nothing new; beats live.
  kLeaving,
  kDead,
};

//! Names of the member states, for the status page.
inline constexpr NameTable<MemberState, 5> kMemberStateNames{
    {"unproven", "live", "suspect", "leaving", "dead"}};

/*! \brief Where a seed comes from; none of them is proof of life. */
enum class SeedSource { kSettings, kHostList, kStore };

/*! \brief What a seed says of a node. */
struct MemberSeed {
  NodeId node;
  MemberAddress address;
  FailureDomain domain;
  //! Only the host list says so; believed at once, since leaving beats live.
  bool leaving = false;
};

/*! \brief Everything this node holds about one member. */
struct Member {
  MemberUpdate latest;
  //! False until the member, or a peer that reached it, was heard.
  bool proven = false;
  //! The host list says that the node leaves; independent of the life.
  bool leaving_by_host_list = false;
  //! When the present suspicion becomes a death; set only while suspect.
  std::optional<TimePoint> suspicion_end;
  //! When the member became dead; set only while dead.
  std::optional<TimePoint> dead_since;
  //! Before this, a member that came back is reported as suspect.
  TimePoint hold_until{};
  //! Hold of the next return; grows with every flap.
  Duration next_hold{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MEMBER_H_
