// One connection that a peer opened to us; read only.
#ifndef JACINTHDECK_PEER_PEER_SESSION_H_
#define JACINTHDECK_PEER_PEER_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "jacinthdeck/cluster/messages.h"
#include "jacinthdeck/peer/frame.h"

namespace jacinthdeck::internal {

/*! \brief Incoming side of a peer connection; lives on the transport's thread.
 */
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  using Tcp = boost::asio::ip::tcp;
  using Sink = std::function<bool(Envelope&&)>;

  PeerSession(Tcp::socket socket, const Sink& sink);

  /*! \brief Reads frames until the connection ends or holds something else than
   * envelopes. */
  void ReadHeader();

 private:
  void ReadPayload(std::size_t size);
  void OnPayload();

  Tcp::socket m_socket;
  const Sink& m_sink;
  std::array<unsigned char, kFrameHeaderBytes> m_header{};
  std::string m_payload;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_PEER_PEER_SESSION_H_
