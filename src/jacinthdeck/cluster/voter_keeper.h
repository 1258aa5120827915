// Keeps the list of voters near the list of members, one settled step at a
// time.
#ifndef JACINTHDECK_CLUSTER_VOTER_KEEPER_H_
#define JACINTHDECK_CLUSTER_VOTER_KEEPER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/cluster/ack_collector.h"
#include "jacinthdeck/cluster/config_replica.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*!
 * \brief Proposes and settles changes of the voters.
 *
 * Any node may do so at any time; the compare-and-swap lets one win. A change
 * is settled, by dropping the former list, only after a revision that names
 * both lists is accepted. No proof of death is needed to drop a voter: until
 * the change is accepted a majority of the former list is needed too.
 */
class VoterKeeper {
 public:
  /*! \brief Makes a keeper; what it refers to outlives it. */
  VoterKeeper(const ClusterOptions& options,
              std::uint64_t seed,
              const MemberTable& table,
              PeerSender& sender,
              StoreCaller& store,
              ConfigReplica& replica);

  [[nodiscard]] TimePoint NextTimer() const;
  void OnTimer(TimePoint now, ClusterEffects& effects);
  /*! \brief Takes the end of a store call; false if it is not this part's. */
  bool OnStoreReply(const StoreReply& reply,
                    TimePoint now,
                    ClusterEffects& effects);
  void OnAck(const Envelope& envelope, const RevisionAck& ack, TimePoint now);

  /*! \brief Voters that the present members call for. */
  [[nodiscard]] std::vector<NodeId> Wanted(const ConfigValue& value,
                                           TimePoint now) const;

 private:
  void Read(TimePoint now, ClusterEffects& effects);
  void OnValue(const StoreReply& reply, TimePoint now, ClusterEffects& effects);
  [[nodiscard]] TimePoint Later(TimePoint now);

  ClusterOptions m_options;
  Random m_random;
  const MemberTable& m_table;
  PeerSender& m_sender;
  StoreCaller& m_store;
  ConfigReplica& m_replica;
  TimePoint m_next{};
  std::optional<StoreCallId> m_read;
  TimePoint m_read_sent{};
  std::optional<StoreCallId> m_write;
  //! Value that m_write would put at the store.
  std::optional<ConfigValue> m_written;
  //! Acceptance of an unsettled change; its lists are those of the value at the
  //! store, which do not change before the settling.
  std::optional<AckCollector> m_acks;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_VOTER_KEEPER_H_
