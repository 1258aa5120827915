// This node's record at the store, and the records of the others as seeds.
#ifndef JACINTHDECK_CLUSTER_MEMBER_RECORDS_H_
#define JACINTHDECK_CLUSTER_MEMBER_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/cluster/store_caller.h"
#include "jacinthdeck/core/backoff.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

//! Prefix of the member records at the store.
inline constexpr const char* kMemberPrefix = "members/";

/*! \brief Renders the record of a node. */
[[nodiscard]] std::string EncodeMemberRecord(const SelfInfo& self);

/*! \brief Reads a record; nothing if it is malformed. */
[[nodiscard]] std::optional<MemberSeed> DecodeMemberRecord(
    const StoreItem& item);

/*!
 * \brief Writes this node's record once a life and lists all records now and
 * then.
 *
 * The records are hints where to probe, no proof of life; so they need no lease
 * and cost the store one write a life and one list a period.
 */
class MemberRecords {
 public:
  /*! \brief Makes the keeper; what it refers to outlives it. */
  MemberRecords(const ClusterOptions& options,
                std::uint64_t seed,
                MemberTable& table,
                StoreCaller& store);

  [[nodiscard]] TimePoint NextTimer() const noexcept { return m_next; }
  void OnTimer(TimePoint now, ClusterEffects& effects);
  /*! \brief Takes the end of a store call; false if it is not this part's. */
  bool OnStoreReply(const StoreReply& reply,
                    TimePoint now,
                    ClusterEffects& effects);

 private:
  void OnList(const StoreReply& reply, TimePoint now, ClusterEffects& effects);
  [[nodiscard]] Duration Jittered(Duration period);

  ClusterOptions m_options;
  Random m_random;
  Backoff m_backoff;
  MemberTable& m_table;
  StoreCaller& m_store;
  //! Whether the store holds this life's record.
  bool m_written = false;
  std::optional<StoreCallId> m_list;
  std::optional<StoreCallId> m_write;
  TimePoint m_next{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MEMBER_RECORDS_H_
