// Carries operators' changes to the store and to acceptance.
#ifndef JACINTHDECK_CLUSTER_CONFIG_COORDINATOR_H_
#define JACINTHDECK_CLUSTER_CONFIG_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jacinthdeck/cluster/ack_collector.h"
#include "jacinthdeck/cluster/config_change.h"
#include "jacinthdeck/cluster/config_replica.h"
#include "jacinthdeck/core/backoff.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*!
 * \brief The changes that this node was asked for; any node can take any
 * change, and finish one that another node began.
 *
 * Steps of a change: read the store; if the value names the operation, go on to
 * the acknowledgements; else write the next value by compare-and-swap; on a
 * lost reply read again, since only the value tells whether the write took
 * effect; collect two rounds of acknowledgements; wait for the lease; accepted.
 */
class ConfigCoordinator {
 public:
  //! Changes of one node that are under way at once.
  static constexpr std::size_t kMaxChanges = 4;

  /*! \brief Makes a coordinator; what it refers to outlives it. */
  ConfigCoordinator(const ClusterOptions& options,
                    std::uint64_t seed,
                    const MemberTable& table,
                    PeerSender& sender,
                    StoreCaller& store,
                    ConfigReplica& replica);

  /*! \brief Starts a change, or joins the one with the same operation id. */
  void Submit(const ConfigChange& change,
              TimePoint now,
              ClusterEffects& effects);

  [[nodiscard]] std::optional<TimePoint> NextTimer() const;
  void OnTimer(TimePoint now, ClusterEffects& effects);
  /*! \brief Takes the end of a store call; false if it is not this part's. */
  bool OnStoreReply(const StoreReply& reply,
                    TimePoint now,
                    ClusterEffects& effects);
  void OnAck(const Envelope& envelope,
             const RevisionAck& ack,
             TimePoint now,
             ClusterEffects& effects);

  /*! \brief Voters that have not acknowledged the newest change of this node.
   */
  [[nodiscard]] std::vector<NodeId> WaitingFor() const;
  /*! \brief Highest revision that this node knows to be accepted; 0 for none.
   */
  [[nodiscard]] Revision accepted() const noexcept { return m_accepted; }

 private:
  struct Pending {
    Pending(ConfigChange its_change,
            TimePoint its_deadline,
            Backoff its_backoff)
        : change(std::move(its_change)),
          calls{change.call},
          deadline(its_deadline),
          backoff(its_backoff) {}

    ConfigChange change;
    //! Operator calls that wait for this change.
    std::vector<OperatorCallId> calls;
    TimePoint deadline;
    //! Open call to the store; nothing between two tries.
    std::optional<StoreCallId> store_call;
    //! Whether store_call is the write.
    bool writing = false;
    TimePoint call_sent{};
    //! Store revision that a write without a reply expected; while the key has
    //! it, the write may still take effect.
    std::optional<StoreRevision> unresolved;
    //! When the store is tried again; nothing while a call is open.
    std::optional<TimePoint> retry_at;
    Backoff backoff;
    //! Store revision and value of the last write.
    StoreRevision expected;
    std::optional<ConfigValue> written;
    //! Set once the change is known to be at the store.
    std::optional<AckCollector> acks;
  };

  void Read(Pending& pending, TimePoint now, ClusterEffects& effects);
  void OnValue(Pending& pending,
               const StoreReply& reply,
               TimePoint now,
               ClusterEffects& effects);
  void OnWritten(Pending& pending,
                 const StoreReply& reply,
                 TimePoint now,
                 ClusterEffects& effects);
  void OnAbsent(Pending& pending, TimePoint now, ClusterEffects& effects);
  void Write(Pending& pending,
             const ConfigValue& stored,
             StoreRevision expected,
             TimePoint now,
             ClusterEffects& effects);
  void Collect(Pending& pending,
               Revision revision,
               TimePoint now,
               ClusterEffects& effects);
  void RetryLater(Pending& pending, TimePoint now);
  void Drive(Pending& pending, TimePoint now, ClusterEffects& effects);
  void Close(Pending& pending,
             ChangeState state,
             Revision revision,
             const std::string& message,
             ClusterEffects& effects);
  void CloseLate(Pending& pending, ClusterEffects& effects);
  void RemoveClosed();
  [[nodiscard]] ConfigValue FirstValue(TimePoint now) const;

  ClusterOptions m_options;
  Random m_random;
  const MemberTable& m_table;
  PeerSender& m_sender;
  StoreCaller& m_store;
  ConfigReplica& m_replica;
  Revision m_accepted;
  //! At most kMaxChanges.
  std::map<OperationId, Pending> m_changes;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CONFIG_COORDINATOR_H_
