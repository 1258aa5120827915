// A connection to the host that this one learns from.
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

/*! \brief Takes what a link brings. */
class FeedLinkSink {
 public:
  virtual ~FeedLinkSink() = default;

  virtual void OnFeedChanges(const FeedChanges& changes) = 0;
  virtual void OnFeedHeartbeat(const FeedHeartbeat& heartbeat) = 0;
  /*! \brief The link ended, or could not be opened. */
  virtual void OnFeedLost(const std::string& problem) = 0;
};

/*! \brief One link at a time; opening another ends the one before. */
class FeedLink {
 public:
  /*! \brief Makes a link that is not open; the sink outlives it. */
  FeedLink(asio::io_context& loop, FeedLinkSink& sink);
  ~FeedLink();
  FeedLink(const FeedLink&) = delete;
  FeedLink& operator=(const FeedLink&) = delete;

  /*! \brief Connects and says hello. */
  void Open(const Endpoint& endpoint, const FeedHello& hello);

  /*! \brief Says something else of this host; nothing while there is no link.
   */
  void SendHello(const FeedHello& hello);

  /*! \brief Bytes received over all links since the start. */
  [[nodiscard]] std::uint64_t received_bytes() const noexcept {
    return m_received_bytes;
  }

  /*! \brief Ends the link without a word to the sink. */
  void Close();

 private:
  struct Connection;

  void Write(const std::shared_ptr<Connection>& connection);
  void Read(const std::shared_ptr<Connection>& connection);
  void OnFrame(const std::string& frame);
  void FailLink(const std::shared_ptr<Connection>& connection,
                const std::string& problem);

  asio::io_context& m_loop;
  FeedLinkSink& m_sink;
  std::uint64_t m_received_bytes = 0;
  //! Null while there is no link; handlers of an earlier one see another.
  std::shared_ptr<Connection> m_connection;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_LINK_H_
