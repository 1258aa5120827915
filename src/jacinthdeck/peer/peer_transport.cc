// The thread that carries messages between the entries over TCP.
#include "jacinthdeck/peer/peer_transport.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <thread>
#include <utility>

#include "jacinthdeck/peer/envelope_codec.h"
#include "jacinthdeck/peer/frame.h"
#include "jacinthdeck/peer/peer_link.h"
#include "jacinthdeck/peer/peer_session.h"

namespace jacinthdeck {

namespace {

using Tcp = boost::asio::ip::tcp;

//! Frames between the caller's thread and the transport's; above it the newest
//! are dropped.
constexpr int kMaxHandedOver = 4096;
//! Peers known at once; beyond the target size of 590 nodes, and bounded all
//! the same.
constexpr std::size_t kMaxLinks = 2048;

}  // namespace

class PeerTransport::Worker {
 public:
  explicit Worker(Sink sink) : m_acceptor(m_io), m_sink(std::move(sink)) {}
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  ~Worker() {
    m_io.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  [[nodiscard]] bool Listen(const std::string& address, std::uint16_t port) {
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address, error);
    const Tcp::endpoint endpoint(ip, port);
    if (error || m_acceptor.open(endpoint.protocol(), error) ||
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error) ||
        m_acceptor.bind(endpoint, error) ||
        m_acceptor.listen(Tcp::acceptor::max_listen_connections, error)) {
      return false;
    }
    m_port = m_acceptor.local_endpoint().port();
    Accept();
    m_thread = std::thread([this] { m_io.run(); });
    return true;
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

  void Send(const PeerSend& send) {
    if (m_handed_over.load() >= kMaxHandedOver) {
      return;
    }
    ++m_handed_over;
    boost::asio::post(
        m_io, [this, address = send.address,
               frame = MakeFrame(EncodeEnvelope(send.envelope))]() mutable {
          --m_handed_over;
          Deliver(address, std::move(frame));
        });
  }

 private:
  void Accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (!error) {
            std::make_shared<internal::PeerSession>(std::move(socket), m_sink)
                ->ReadHeader();
          }
          if (error != boost::asio::error::operation_aborted) {
            Accept();
          }
        });
  }

  void Deliver(const MemberAddress& address, std::string frame) {
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address.host, error);
    const Tcp::endpoint endpoint(ip, address.peer_port);
    if (error ||
        (m_links.size() >= kMaxLinks && m_links.count(endpoint) == 0)) {
      return;
    }
    std::shared_ptr<internal::PeerLink>& link = m_links[endpoint];
    if (link == nullptr) {
      link = std::make_shared<internal::PeerLink>(m_io, endpoint);
    }
    link->Send(std::move(frame));
  }

  boost::asio::io_context m_io{1};
  Tcp::acceptor m_acceptor;
  Sink m_sink;
  std::uint16_t m_port = 0;
  std::atomic<int> m_handed_over = 0;
  std::map<Tcp::endpoint, std::shared_ptr<internal::PeerLink>> m_links;
  std::thread m_thread;
};

PeerTransport::PeerTransport(std::unique_ptr<Worker> worker) noexcept
    : m_worker(std::move(worker)) {}
PeerTransport::PeerTransport(PeerTransport&&) noexcept = default;
PeerTransport& PeerTransport::operator=(PeerTransport&&) noexcept = default;
PeerTransport::~PeerTransport() = default;

Result<PeerTransport> PeerTransport::Start(const std::string& address,
                                           std::uint16_t port,
                                           Sink sink) {
  auto worker = std::make_unique<Worker>(std::move(sink));
  if (!worker->Listen(address, port)) {
    return Fail(ErrorCode::kUnavailable, address + ":" + std::to_string(port),
                "cannot listen");
  }
  return PeerTransport(std::move(worker));
}

std::uint16_t PeerTransport::port() const noexcept {
  return m_worker->port();
}

void PeerTransport::Send(const PeerSend& send) {
  m_worker->Send(send);
}

}  // namespace jacinthdeck
