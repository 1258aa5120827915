// Sends the store's content to the hosts that follow this one.
#ifndef JACINTHDECK_PEER_FEED_SERVER_H_
#define JACINTHDECK_PEER_FEED_SERVER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/loop_timer.h"
#include "jacinthdeck/peer/feed_content.h"
#include "jacinthdeck/peer/feed_frames.h"
#include "jacinthdeck/peer/feed_source.h"
#include "jacinthdeck/peer/follower_observer.h"

namespace jacinthdeck {

/**
 * \brief Accepts followers and sends each the content that it lacks, then every
 * change.
 *
 * A follower that reads too slowly is disconnected. It connects again and gets
 * the content that it then lacks.
 */
class FeedServer {
 public:
  static constexpr std::size_t kMaxFollowers = 256;

  /*! \brief Creates a server that does not listen yet; source and observer must
   * outlive it. */
  FeedServer(asio::io_context& loop,
             const FeedSource& source,
             FollowerObserver& observer);
  FeedServer(const FeedServer&) = delete;
  FeedServer& operator=(const FeedServer&) = delete;

  /*! \brief Returns the number of open links, with or without a hello. */
  [[nodiscard]] std::size_t followers() const noexcept {
    return m_followers.size();
  }
  /*! \brief Returns the plain size of the content that waits to be sent;
   * content that followers share counts once. */
  [[nodiscard]] std::size_t held_content_bytes() const;
  /*! \brief Returns the port that it listens on. */
  [[nodiscard]] std::uint16_t port() const;

  /*! \brief Opens the port and starts to accept followers.
   * \param max_followers Further ones take the place of a link without a hello,
   * or are disconnected at once and find another feeder. */
  [[nodiscard]] Result<void> Listen(const std::string& address,
                                    std::uint16_t port,
                                    std::size_t max_followers = kMaxFollowers);

  /*! \brief Closes all links and the port. Called when this host stops, so that
   * its followers find another feeder before its lease ends. */
  void Drain();

  /*! \brief Sends changes to all followers. */
  void Publish(const FeedChanges& changes);

  /*! \brief Sends a heartbeat to all followers; must be called several times a
   * second. */
  void SendHeartbeat();

 private:
  class FrameCache;
  struct Follower;
  struct Outgoing;

  void Accept();
  //! Closes the link that has been open longest without a hello; returns false
  //! if there is none.
  [[nodiscard]] bool DropLinkWithoutHello();
  void Read(const std::shared_ptr<Follower>& follower);
  void OnFrame(const std::shared_ptr<Follower>& follower,
               const std::string& frame);
  //! Queues a message; drops the follower if too much waits for it already.
  void Send(const std::shared_ptr<Follower>& follower, Outgoing message);
  //! Writes the first message of the queue, or the next part of it.
  void Write(const std::shared_ptr<Follower>& follower);
  void OnWritten(const std::shared_ptr<Follower>& follower);
  //! Sends a follower the content that it lacks, if any.
  //! \param position Position up to which the follower knows all changes.
  void SendContentSince(const std::shared_ptr<Follower>& follower,
                        const StorePosition& position);
  //! Returns changes to send one after the other: content that other followers
  //! are still being sent with the changes after it, or else the given ones.
  [[nodiscard]] std::vector<std::shared_ptr<FeedContent>> SharedContent(
      FeedChanges changes,
      const StorePosition& since);
  //! Copies the list of followers that have sent their hello; a copy, as
  //! sending may drop a follower.
  [[nodiscard]] std::vector<std::shared_ptr<Follower>> SubscribedFollowers()
      const;
  void SendToAll(const FeedMessage& message);
  //! Closes a follower's link; notifies the observer if it was the host's last
  //! one.
  void Drop(const std::shared_ptr<Follower>& follower);

  const FeedSource& m_source;
  FollowerObserver& m_observer;
  tcp::acceptor m_acceptor;
  LoopTimer m_accept_pause;
  std::size_t m_max_followers = kMaxFollowers;
  std::vector<std::shared_ptr<Follower>> m_followers;
  //! Content that some followers are being sent.
  std::vector<std::weak_ptr<FeedContent>> m_contents;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_SERVER_H_
