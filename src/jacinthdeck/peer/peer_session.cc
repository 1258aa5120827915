// One connection that a peer opened to us.
#include "jacinthdeck/peer/peer_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <optional>
#include <utility>

#include "jacinthdeck/peer/envelope_codec.h"

namespace jacinthdeck::internal {

PeerSession::PeerSession(Tcp::socket socket, const Sink& sink)
    : m_socket(std::move(socket)), m_sink(sink) {}

void PeerSession::ReadHeader() {
  boost::asio::async_read(
      m_socket, boost::asio::buffer(m_header),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*bytes*/) {
        const auto size =
            error ? std::nullopt : ReadFrameHeader(self->m_header);
        if (size) {
          self->ReadPayload(*size);
        }
      });
}

void PeerSession::ReadPayload(std::size_t size) {
  m_payload.resize(size);
  boost::asio::async_read(
      m_socket, boost::asio::buffer(m_payload),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*bytes*/) {
        if (!error) {
          self->OnPayload();
        }
      });
}

void PeerSession::OnPayload() {
  std::optional<Envelope> envelope = DecodeEnvelope(m_payload);
  if (!envelope) {
    return;
  }
  (void)m_sink(std::move(*envelope));
  ReadHeader();
}

}  // namespace jacinthdeck::internal
