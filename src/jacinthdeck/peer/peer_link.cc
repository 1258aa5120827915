// One connection towards a peer.
#include "jacinthdeck/peer/peer_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace jacinthdeck::internal {

namespace {

constexpr std::size_t kMaxQueuedBytes = std::size_t{4} << 20U;
//! A peer that accepts nothing for this long is cut off. Without it a paused
//! peer would hold its queue until the kernel gives up, many minutes later, and
//! get stale messages when it wakes.
constexpr auto kStallLimit = std::chrono::seconds(2);

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& io, const Tcp::endpoint& peer)
    : m_socket(io), m_timer(io), m_peer(peer) {}

void PeerLink::Send(std::string frame) {
  if (m_queued_bytes + frame.size() > kMaxQueuedBytes) {
    return;
  }
  m_queued_bytes += frame.size();
  m_frames.push_back(std::move(frame));
  if (!m_connected && !m_connecting) {
    Connect();
  } else if (m_connected && !m_writing) {
    Write();
  }
}

void PeerLink::Close() {
  boost::system::error_code ignored;
  m_timer.cancel();
  m_socket.close(ignored);
  m_frames.clear();
  m_queued_bytes = 0;
  m_connected = false;
  m_connecting = false;
  m_writing = false;
}

void PeerLink::Connect() {
  m_connecting = true;
  m_timer.expires_after(kStallLimit);
  m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->m_connected) {
          self->Close();
        }
      });
  m_socket.async_connect(m_peer, [self = shared_from_this()](
                                     const boost::system::error_code& error) {
    if (error) {
      self->OnEnd(error);
      return;
    }
    boost::system::error_code ignored;
    self->m_timer.cancel();
    self->m_connecting = false;
    self->m_connected = true;
    self->m_socket.set_option(Tcp::no_delay(true), ignored);
    self->Write();
  });
}

void PeerLink::Write() {
  if (m_frames.empty()) {
    return;
  }
  m_writing = true;
  m_timer.expires_after(kStallLimit);
  m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->m_writing) {
          self->Close();
        }
      });
  boost::asio::async_write(
      m_socket, boost::asio::buffer(m_frames.front()),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*bytes*/) {
        if (error) {
          self->OnEnd(error);
          return;
        }
        self->m_writing = false;
        self->m_timer.cancel();
        self->m_queued_bytes -= self->m_frames.front().size();
        self->m_frames.pop_front();
        self->Write();
      });
}

void PeerLink::OnEnd(const boost::system::error_code& error) {
  if (error != boost::asio::error::operation_aborted) {
    Close();
  }
}

}  // namespace jacinthdeck::internal
