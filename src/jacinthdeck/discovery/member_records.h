// Records that a host writes for the hosts that learn from it.
#ifndef JACINTHDECK_DISCOVERY_MEMBER_RECORDS_H_
#define JACINTHDECK_DISCOVERY_MEMBER_RECORDS_H_

#include <cstddef>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/*! \brief A host's record as the store holds it. */
struct StoredRecord {
  HostRecord record;
  //! Of its last write.
  StorePosition position;
};

/*! \brief What is to be written for members at once. */
struct MemberWrite {
  std::vector<HostRecord> puts;
  //! To be removed if nobody wrote them since.
  std::vector<StoredRecord> removals;

  [[nodiscard]] bool empty() const noexcept {
    return puts.empty() && removals.empty();
  }
};

/*! \brief How a write for members ended. */
enum class MemberWriteResult {
  kDone,
  //! A record that was to be removed was written by another host.
  kConflict,
};

/**
 * \brief Decides what is to be written for members, without a network.
 *
 * With a lease and a record of its own, each of hundreds of hosts costs two
 * writes at its start, a renewal every few seconds, and a row of failed writes
 * whenever the store is away. Members are hosts that the writer hears all the
 * time anyway; their records hang on its lease, dozens in one write.
 *
 * If the writer is lost, its lease ends and the records with it; by then the
 * members have found another writer, whose later write of the same keys holds.
 * A write may be done seconds after its reply was lost, when its host has long
 * gone to another writer. Each record names its writer, so that such a stray is
 * seen and taken back, unless another host wrote the key since.
 */
class MemberRecords {
 public:
  /*! \brief Makes an empty set for the writer of that name. */
  explicit MemberRecords(NodeId self) : m_self(std::move(self)) {}

  /*! \brief Tells whether nothing is written for anybody. */
  [[nodiscard]] bool empty() const noexcept {
    return m_members.empty() && m_orphans.empty();
  }

  /*! \brief Takes a member, or its changed record. */
  void OnMember(HostRecord record);

  /*! \brief Takes the loss of a member, or its word that it is written
   * elsewhere. */
  void OnMemberLeft(const NodeId& name);

  /*! \brief The lease has ended: nothing of what was written holds. */
  void OnLeaseLost();

  /**
   * \brief Compares what was written with what the store holds.
   * \param stored Records of all hosts.
   * \param position Position up to which they are known.
   */
  void OnHosts(std::span<const StoredRecord> stored,
               const StorePosition& position,
               TimePoint now);

  /*! \brief Gives the write that is due; an empty one if none is. */
  [[nodiscard]] MemberWrite NextWrite(TimePoint now) const;

  /**
   * \brief Takes the end of a write that NextWrite() gave; one that was not
   * done, or of which nothing is known, stays due.
   * \param position The store's after it, where it was done.
   */
  void OnWritten(const MemberWrite& write,
                 MemberWriteResult result,
                 const StorePosition& position);

 private:
  struct Member {
    HostRecord record;
    //! The store does not hold the record.
    bool dirty = true;
    //! Of the last write.
    StorePosition position;
  };
  struct Orphan {
    StoredRecord stored;
    TimePoint since;
    //! Its removal goes alone, as one beside it met a conflict.
    bool remove_alone = false;
  };

  const NodeId m_self;
  std::map<NodeId, Member> m_members;
  //! Records of this writer whose hosts are no members.
  std::map<NodeId, Orphan> m_orphans;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_MEMBER_RECORDS_H_
