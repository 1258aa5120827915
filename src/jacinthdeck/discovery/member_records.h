// Records that a feeder writes into the store for the hosts that follow it.
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
  //! Position of the last write.
  StorePosition position;
};

/*! \brief A write of several members' records. */
struct MemberWrite {
  std::vector<HostRecord> puts;
  //! Records to remove unless they were written again since.
  std::vector<StoredRecord> removals;

  [[nodiscard]] bool empty() const noexcept {
    return puts.empty() && removals.empty();
  }
};

/*! \brief Outcome of a MemberWrite. */
enum class MemberWriteResult {
  kDone,
  //! Not written: another host has written a record that was to be removed.
  kConflict,
};

/**
 * \brief Decides which records to write for members; performs no I/O.
 *
 * A member is a host that follows this host, the feeder, and leaves the writing
 * of its record to it. If each of hundreds of hosts had its own lease and wrote
 * its own record, each would cost the store two writes at its start, a renewal
 * every few seconds and a series of failed writes in every outage. A feeder is
 * connected to its members anyway, so it attaches their records to its own
 * lease and writes dozens of them at once.
 *
 * If the feeder is lost, its lease expires and the records with it. By then the
 * members have found another feeder, and its later writes of the same keys are
 * kept. A write may take effect seconds after its reply was lost, when its
 * member already follows another feeder. Each record names its writer, so the
 * feeder detects such an orphaned record and removes it, unless another host
 * has written the key since.
 */
class MemberRecords {
 public:
  /*! \brief Makes an empty set for the feeder with a name. */
  explicit MemberRecords(HostId self) : m_self(std::move(self)) {}

  /*! \brief Tells whether there are neither members nor orphaned records. */
  [[nodiscard]] bool empty() const noexcept {
    return m_members.empty() && m_orphans.empty();
  }

  /*! \brief Adds a member or updates its record. */
  void OnMember(HostRecord record);

  /*! \brief Removes a member that was lost or whose record is now written by
   * another host. */
  void OnMemberLeft(const HostId& name);

  /*! \brief Marks all records as unwritten, since the lease has ended. */
  void OnLeaseLost();

  /**
   * \brief Compares the store's records with the members: finds records that
   * are missing from the store and orphaned records in it.
   * \param stored Records of all hosts.
   * \param position Position up to which the records are known.
   */
  void OnHosts(std::span<const StoredRecord> stored,
               const StorePosition& position,
               TimePoint now);

  /*! \brief Returns the write that is due; an empty one if none is. */
  [[nodiscard]] MemberWrite NextWrite(TimePoint now) const;

  /**
   * \brief Records the outcome of a write that NextWrite() returned. Not
   * called for a write that failed or whose outcome is unknown: it stays due.
   * \param position Position of the store after the write, if it was done.
   */
  void OnWritten(const MemberWrite& write,
                 MemberWriteResult result,
                 const StorePosition& position);

 private:
  struct Member {
    HostRecord record;
    //! The store does not hold the present record.
    bool dirty = true;
    //! Position of the last write; revision 0 if there was none.
    StorePosition position;
  };
  struct Orphan {
    StoredRecord stored;
    TimePoint since;
    //! Removed in a write of its own, since a joint removal had a conflict.
    bool remove_alone = false;
  };

  const HostId m_self;
  std::map<HostId, Member> m_members;
  //! Records that this host wrote for hosts that are not its members.
  std::map<HostId, Orphan> m_orphans;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_MEMBER_RECORDS_H_
