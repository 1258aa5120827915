// One connection towards a peer, with the frames that wait for it.
#ifndef JACINTHDECK_PEER_PEER_LINK_H_
#define JACINTHDECK_PEER_PEER_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <deque>
#include <memory>
#include <string>

namespace jacinthdeck::internal {

/*! \brief Outgoing side of a peer connection; lives on the transport's thread.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  using Tcp = boost::asio::ip::tcp;

  PeerLink(boost::asio::io_context& io, const Tcp::endpoint& peer);

  /*! \brief Queues a frame, connecting where needed; drops it if too much
   * waits. */
  void Send(std::string frame);

  /*! \brief Drops what waits and closes the connection. */
  void Close();

 private:
  void Connect();
  void Write();
  void OnEnd(const boost::system::error_code& error);

  Tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  Tcp::endpoint m_peer;
  //! The first one is being written while m_writing.
  std::deque<std::string> m_frames;
  //! Sum of the sizes of m_frames; at most kMaxQueuedBytes.
  std::size_t m_queued_bytes = 0;
  bool m_connected = false;
  bool m_connecting = false;
  bool m_writing = false;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_PEER_PEER_LINK_H_
