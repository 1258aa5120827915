// Keeps the list of voters near the list of members, one settled step at a
// time.
#ifndef JACINTHDECK_CLUSTER_VOTER_KEEPER_H_
#define JACINTHDECK_CLUSTER_VOTER_KEEPER_H_

#include <cstdint>
#include <memory>
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
  void OnWritten(const StoreReply& reply, ClusterEffects& effects);
  void Write(ConfigValue next,
             StoreRevision expected,
             TimePoint now,
             ClusterEffects& effects);
  void Collect(TimePoint now, ClusterEffects& effects);
  [[nodiscard]] bool IsGone(const NodeId& voter, TimePoint now) const;
  [[nodiscard]] bool MayPropose(const ConfigValue& value,
                                const std::vector<NodeId>& wanted,
                                TimePoint now) const;
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
  //! Acceptance of an unsettled change.
  std::optional<AckCollector> m_acks;
  //! Value that m_acks is about; other lists need another acceptance.
  std::shared_ptr<const ConfigValue> m_joint;
  //! First timer of this life.
  std::optional<TimePoint> m_started;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_VOTER_KEEPER_H_
