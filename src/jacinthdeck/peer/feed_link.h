// Connection of a follower to its feeder, the host that sends it the store's
// content.
#ifndef JACINTHDECK_PEER_FEED_LINK_H_
#define JACINTHDECK_PEER_FEED_LINK_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/peer/feed_frames.h"
#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Receives the messages and the end of a FeedLink. */
class FeedLinkSink {
 public:
  virtual ~FeedLinkSink() = default;

  /*! \brief Called for changes of the store's content, once all of their parts
   * arrived. */
  virtual void OnFeedChanges(const FeedChanges& changes) = 0;
  /*! \brief Called for each part of changes before the last one. */
  virtual void OnFeedPart() = 0;
  /*! \brief Called for each heartbeat. */
  virtual void OnFeedHeartbeat(const FeedHeartbeat& heartbeat) = 0;
  /*! \brief Called when the link ended or could not be opened.
   * \param problem Reason, for the log. */
  virtual void OnFeedLost(const std::string& problem) = 0;
};

/*! \brief Holds at most one connection to a feeder; opening another one closes
 * it. */
class FeedLink {
 public:
  /*! \brief Creates a closed link; the sink must outlive it. */
  FeedLink(asio::io_context& loop, FeedLinkSink& sink);
  ~FeedLink();
  FeedLink(const FeedLink&) = delete;
  FeedLink& operator=(const FeedLink&) = delete;

  /*! \brief Connects to a feeder and sends the hello as the first message. */
  void Open(const Endpoint& endpoint, const FeedHello& hello);

  /*! \brief Sends another hello, as after a change of this host's record; does
   * nothing while no link is open. */
  void SendHello(const FeedHello& hello);

  /*! \brief Returns the bytes received over all links since the start. */
  [[nodiscard]] std::uint64_t received_bytes() const noexcept {
    return m_received_bytes;
  }

  /*! \brief Closes the link without calling the sink. */
  void Close();

 private:
  struct Connection;

  void Write(const std::shared_ptr<Connection>& connection);
  void Read(const std::shared_ptr<Connection>& connection);
  void OnFrame(const std::string& frame);
  void OnChanges(FeedChanges changes);
  //! Closes the link and reports the problem to the sink, once per connection.
  void FailLink(const std::shared_ptr<Connection>& connection,
                const std::string& problem);

  asio::io_context& m_loop;
  FeedLinkSink& m_sink;
  std::uint64_t m_received_bytes = 0;
  //! Null while there is no link. Handlers keep a pointer to the connection
  //! they were started for, so those of an earlier one do not act on the
  //! present one.
  std::shared_ptr<Connection> m_connection;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_LINK_H_
