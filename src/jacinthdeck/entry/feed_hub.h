// Joins the store session to the hosts that this one learns from and teaches.
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

/*! \brief Told when the host begins or ends to learn from another one. */
class FeedHubObserver {
 public:
  virtual ~FeedHubObserver() = default;

  virtual void OnFeedOpened(const Endpoint& feeder) = 0;
  virtual void OnFeedEnded(const std::string& problem) = 0;
};

/**
 * \brief Keeps the knowledge fresh: from a watcher while that one is fresh,
 * else from the store.
 */
class FeedHub final : private FeedSource,
                      private FeedLinkSink,
                      private FollowerObserver {
 public:
  /*! \brief Makes a hub; all that it is given outlives it. */
  FeedHub(asio::io_context& loop,
          const Clock& clock,
          StoreSession& store,
          FeedHubObserver& observer,
          const HostRecord& self,
          const std::vector<Endpoint>& seeds,
          bool fleet_starts,
          std::uint64_t seed);

  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
  [[nodiscard]] bool is_watcher() const noexcept {
    return m_choice.is_watcher();
  }
  [[nodiscard]] std::size_t followers() const noexcept {
    return m_server.followers();
  }
  /*! \brief Tells whether a feeder is heard. */
  [[nodiscard]] bool IsLinked() const {
    return m_choice.IsLinked(m_clock.Now());
  }

  /*! \brief Has this host's record kept in the store by its feeder, or no
   * longer.
   * \param value As the store holds it; empty: no longer. */
  void SetRecord(std::string value);

  /*! \brief Opens the port on which other hosts ask. */
  [[nodiscard]] Result<void> Listen(const Endpoint& endpoint);

  /*! \brief Bytes from feeders since the start. */
  [[nodiscard]] const LinkBytes& received() const noexcept {
    return m_received;
  }

  /*! \brief Sends the followers to other feeders: this host stops. */
  void Drain() { m_server.Drain(); }

  /*! \brief Says whether callers are sent to this host. */
  void SetServesCallers(bool serves) { m_choice.SetServesCallers(serves); }

  /*! \brief Takes the hosts that are known. */
  void OnHosts(const std::vector<HostRecord>& hosts);

  /*! \brief Hands changes of the store's content on. */
  void OnContent(const std::vector<StoreChange>& changes,
                 const StorePosition& position,
                 bool whole);

  /*! \brief Acts on time that has passed; called some times a second. */
  void Tick();

 private:
  [[nodiscard]] FeedChanges ContentSince(
      const StorePosition& position) const override;
  [[nodiscard]] FeedHeartbeat Heartbeat() const override;
  void OnFeedChanges(const FeedChanges& changes) override;
  void OnFeedHeartbeat(const FeedHeartbeat& beat) override;
  void OnFeedLost(const std::string& problem) override;
  void OnFollowerHello(const FeedHello& hello) override;
  void OnFollowerLeft(const HostId& host) override;
  void TellRecord();
  //! Counts what the link received since the last time.
  void CountReceived();

  const Clock& m_clock;
  StoreSession& m_store;
  FeedHubObserver& m_observer;
  const HostId m_name;
  FeedServer m_server;
  FeedLink m_link;
  FeederSelector m_choice;
  TimePoint m_beat_at;
  LinkBytes m_received;
  //! What the feeder is to keep in the store for this host; empty: nothing.
  std::string m_record;
  //! What the present feeder was told of that.
  std::string m_told;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_FEED_HUB_H_
