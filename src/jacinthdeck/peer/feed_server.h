// Hands the store's content on to the hosts that ask for it.
#ifndef JACINTHDECK_PEER_FEED_SERVER_H_
#define JACINTHDECK_PEER_FEED_SERVER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/peer/feed_frames.h"
#include "jacinthdeck/peer/feed_source.h"
#include "jacinthdeck/peer/follower_observer.h"

namespace jacinthdeck {

/**
 * \brief Accepts followers; sends each the content, then what changes.
 *
 * A follower that does not take what it is sent is dropped: it asks again, and
 * gets the content anew.
 */
class FeedServer {
 public:
  /*! \brief Makes a server that does not listen; source and observer outlive
   * it. */
  FeedServer(asio::io_context& loop,
             const FeedSource& source,
             FollowerObserver& observer);
  FeedServer(const FeedServer&) = delete;
  FeedServer& operator=(const FeedServer&) = delete;

  [[nodiscard]] std::size_t followers() const noexcept {
    return m_followers.size();
  }
  [[nodiscard]] std::uint16_t port() const;

  /*! \brief Opens the port and begins to accept. */
  [[nodiscard]] Result<void> Listen(const std::string& address,
                                    std::uint16_t port);

  /*! \brief Ends all links and takes no further ones: this host stops, and its
   * followers have time to find another feeder before its lease ends. */
  void Drain();

  /*! \brief Hands changes on to all followers. */
  void Publish(const FeedChanges& changes);

  /*! \brief Sends a sign of life to all followers; called some times a second.
   */
  void SendHeartbeat();

 private:
  class FrameCache;
  struct Follower;

  void Accept();
  void Read(const std::shared_ptr<Follower>& follower);
  void OnFrame(const std::shared_ptr<Follower>& follower,
               const std::string& frame);
  void Send(const std::shared_ptr<Follower>& follower,
            const std::shared_ptr<const std::string>& frame);
  void Write(const std::shared_ptr<Follower>& follower);
  //! Sends what a follower lacks that knows all up to a position.
  void SendContentSince(const std::shared_ptr<Follower>& follower,
                        const StorePosition& position);
  //! Followers that have said hello; sending may drop one.
  [[nodiscard]] std::vector<std::shared_ptr<Follower>> SubscribedFollowers()
      const;
  void SendToAll(const FeedMessage& message);
  void Drop(const std::shared_ptr<Follower>& follower);

  const FeedSource& m_source;
  FollowerObserver& m_observer;
  tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<Follower>> m_followers;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_SERVER_H_
