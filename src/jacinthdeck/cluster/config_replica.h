// This node's revision of the configuration, and whether it may serve with it.
#ifndef JACINTHDECK_CLUSTER_CONFIG_REPLICA_H_
#define JACINTHDECK_CLUSTER_CONFIG_REPLICA_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/cluster/peer_sender.h"
#include "jacinthdeck/cluster/revision_exchange.h"
#include "jacinthdeck/cluster/store_caller.h"
#include "jacinthdeck/core/backoff.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*! \brief Whether a node may answer callers, and why not. */
enum class ServeState {
  kServing,
  //! No configuration was learned yet; there is no default to fall back to.
  kNoConfig,
  //! Restarted, and it is not known yet what this node acknowledged before.
  kRecovering,
  //! Neither the store nor a majority was met within the lease.
  kLeaseLapsed,
};

//! Names of the serve states, for the status page.
inline constexpr NameTable<ServeState, 4> kServeStateNames{
    {"serving", "no_config", "recovering", "lease_lapsed"}};

/*!
 * \brief Holds the highest revision seen in this life.
 *
 * A node serves only while, within the lease, it has read the revision from the
 * store or exchanged revisions with a majority of the voters. Whoever is cut
 * off from both can miss a change; without the lease it would serve by the old
 * revision after the operator was told that the new one is accepted.
 */
class ConfigReplica {
 public:
  /*! \brief Makes a replica without a revision; what it refers to outlives it.
   */
  ConfigReplica(const ClusterOptions& options,
                std::uint64_t seed,
                const MemberTable& table,
                PeerSender& sender,
                StoreCaller& store);

  /*! \brief Tells whether an answer may be given at this very moment; ask after
   * every pause and before every answer. */
  [[nodiscard]] ServeState StateAt(TimePoint now) const;
  [[nodiscard]] bool MayServe(TimePoint now) const {
    return StateAt(now) == ServeState::kServing;
  }

  /*! \brief Revision in force; 0 for none. */
  [[nodiscard]] Revision revision() const noexcept {
    return m_value ? m_value->revision : Revision();
  }
  /*! \brief Configuration in force; null for none. */
  [[nodiscard]] const std::shared_ptr<const ConfigValue>& value()
      const noexcept {
    return m_value;
  }
  /*! \brief The value in force as the store holds it, to restore a lost key
   * by hand; empty for none. */
  [[nodiscard]] const std::string& encoded() const noexcept {
    return m_encoded;
  }
  /*! \brief Whether this life may be counted, see RevisionReport::recovered. */
  [[nodiscard]] bool recovered() const noexcept { return m_recovered; }
  /*! \brief Whether the last read of the store succeeded. */
  [[nodiscard]] bool store_reachable() const noexcept {
    return m_store_reachable;
  }

  [[nodiscard]] TimePoint NextTimer() const;
  void OnTimer(TimePoint now, ClusterEffects& effects);

  /*! \brief After a pause: treats every lease as lapsed. */
  void OnResume();

  /*! \brief Takes the end of a store call; false if it is not this part's. */
  bool OnStoreReply(const StoreReply& reply,
                    TimePoint now,
                    ClusterEffects& effects);

  /**
   * \brief Takes a value that was read from the store by a call of this life.
   * \param value Value.
   * \param asked When the read was sent, which starts the lease.
   * \param effects Receives the announcement to peers.
   */
  void OnRead(const ConfigValue& value,
              TimePoint asked,
              ClusterEffects& effects);

  /*! \brief Puts a value in force if it is higher; never goes lower. */
  void Adopt(const ConfigValue& value, ClusterEffects& effects);

  /*! \brief Takes a peer's word that a revision exists, and fetches it. */
  void HearOf(Revision revision,
              const NodeId& from,
              TimePoint now,
              ClusterEffects& effects);

  void OnQuery(const NodeId& from,
               const RevisionQuery& query,
               ClusterEffects& effects);
  void OnReport(const Envelope& envelope,
                const RevisionReport& report,
                TimePoint now,
                ClusterEffects& effects);
  void OnAckRequest(const NodeId& from,
                    const AckRequest& request,
                    TimePoint now,
                    ClusterEffects& effects);
  void OnAnnounce(const NodeId& from,
                  const RevisionAnnounce& announce,
                  TimePoint now,
                  ClusterEffects& effects);
  void OnFetch(const NodeId& from,
               const ConfigFetch& fetch,
               ClusterEffects& effects);
  void OnTransfer(const ConfigTransfer& transfer,
                  TimePoint now,
                  ClusterEffects& effects);

 private:
  void ReadStore(TimePoint now, ClusterEffects& effects);
  void Exchange(TimePoint now, ClusterEffects& effects);
  void Recover(TimePoint now);
  void OnReadFailed(TimePoint now);
  [[nodiscard]] bool NeedsExchange(TimePoint now) const;
  [[nodiscard]] std::vector<NodeId> NodesToAsk(TimePoint now);
  void Announce(ClusterEffects& effects);

  ClusterOptions m_options;
  Random m_random;
  Backoff m_backoff;
  const MemberTable& m_table;
  PeerSender& m_sender;
  StoreCaller& m_store;
  RevisionExchange m_exchange;

  //! Its revision never falls.
  std::shared_ptr<const ConfigValue> m_value;
  //! Encoded m_value, for peers; empty while there is none.
  std::string m_encoded;
  //! Store revision that m_value was last read at; spares decoding it again.
  StoreRevision m_store_revision;
  //! Highest revision that any peer claims to have.
  Revision m_heard;
  //! False from the start of the life until rule (i) is met; then never again.
  bool m_recovered = false;
  //! When the last good read of the store was sent.
  std::optional<TimePoint> m_read_sent;
  bool m_store_reachable = false;

  std::optional<StoreCallId> m_read;
  TimePoint m_read_started{};
  TimePoint m_next_read{};
  //! Nothing before the first timer.
  std::optional<TimePoint> m_next_exchange;
  //! Until then an open fetch may still be answered.
  TimePoint m_fetch_until{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CONFIG_REPLICA_H_
