// Connects the store session to the feeder that this host gets store changes
// from and to the followers that it sends them to.
#ifndef JACINTHDECK_ENTRY_FEED_HUB_H_
#define JACINTHDECK_ENTRY_FEED_HUB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/link_bytes.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/store_session.h"
#include "jacinthdeck/peer/feed_choice.h"
#include "jacinthdeck/peer/feed_link.h"
#include "jacinthdeck/peer/feed_server.h"
#include "jacinthdeck/peer/feed_source.h"

namespace jacinthdeck {

/*! \brief Is notified when the feed from another host is opened or ends. */
class FeedHubObserver {
 public:
  virtual ~FeedHubObserver() = default;

  virtual void OnFeedOpened(const Endpoint& feeder) = 0;
  virtual void OnFeedEnded(const std::string& problem) = 0;
};

/**
 * \brief Keeps the discovery state current.
 *
 * The changes come from a feeder while that one is up to date, otherwise from a
 * watch of the store. The hub passes all changes on to its followers.
 */
class FeedHub final : private FeedSource,
                      private FeedLinkSink,
                      private FollowerObserver {
 public:
  /*! \brief Constructs a hub. All objects passed by reference must outlive it.
   */
  FeedHub(asio::io_context& loop,
          const Clock& clock,
          StoreSession& store,
          FeedHubObserver& observer,
          const HostRecord& self,
          const std::vector<Endpoint>& seeds,
          bool fleet_starts,
          std::uint64_t seed,
          const DiscoveryTimes& times =
              DiscoveryTimes::ForBound(DiscoveryTimes::kDefaultBound));

  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
  [[nodiscard]] bool is_watcher() const noexcept {
    return m_feeder_selector.is_watcher();
  }
  [[nodiscard]] std::size_t followers() const noexcept {
    return m_server.followers();
  }
  /*! \brief Returns whether a feeder is connected and sends messages. */
  [[nodiscard]] bool IsLinked() const {
    return m_feeder_selector.IsLinked(m_clock.Now());
  }

  /*! \brief Sets the record that the feeder keeps in the store for this host.
   * \param value The record as stored; empty to end the delegation. */
  void SetRecord(std::string value);

  /*! \brief Opens the port for followers, of which further ones beyond a
   * number are refused. */
  [[nodiscard]] Result<void> Listen(
      const Endpoint& endpoint,
      std::size_t max_followers = FeedServer::kMaxFollowers);

  /*! \brief Returns the bytes received from feeders since the start. */
  [[nodiscard]] const LinkBytes& received() const noexcept {
    return m_received;
  }

  /*! \brief Directs the followers to other feeders, because this host stops. */
  void Drain() { m_server.Drain(); }

  /*! \brief Sets whether callers are sent to this host. */
  void SetServesCallers(bool serves) {
    m_feeder_selector.SetServesCallers(serves);
  }

  /*! \brief Sets the known hosts, from which feeders are selected. */
  void OnHosts(const std::vector<HostRecord>& hosts);

  /*! \brief Publishes changes of the store's content to the followers. */
  void OnContent(const std::vector<StoreChange>& changes,
                 const StorePosition& position,
                 bool whole);

  /*! \brief Sends due heartbeats and opens or closes the link to a feeder; must
   * be called several times a second. */
  void Tick();

 private:
  [[nodiscard]] FeedChanges ContentSince(
      const StorePosition& position) const override;
  [[nodiscard]] FeedHeartbeat Heartbeat() const override;
  void OnFeedChanges(const FeedChanges& changes) override;
  void OnFeedPart() override;
  void OnFeedHeartbeat(const FeedHeartbeat& heartbeat) override;
  void OnFeedLost(const std::string& problem) override;
  void OnFollowerHello(const FeedHello& hello) override;
  void OnFollowerLeft(const HostId& host) override;
  void SendRecord();
  //! Adds the bytes that the link received since the last call to the counters.
  void CountReceived();

  const Clock& m_clock;
  StoreSession& m_store;
  FeedHubObserver& m_observer;
  const HostId m_name;
  FeedServer m_server;
  FeedLink m_link;
  FeederSelector m_feeder_selector;
  TimePoint m_next_heartbeat;
  LinkBytes m_received;
  //! Record that the feeder is to keep in the store for this host; empty if
  //! none.
  std::string m_delegated_record;
  //! Record that was last sent to the current feeder; empty if none.
  std::string m_sent_record;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_FEED_HUB_H_
