// A TCP proxy on loopback that injects link faults.
#ifndef SOAK_LOOPBACK_PROXY_H_
#define SOAK_LOOPBACK_PROXY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "jacinthdeck/http/asio.h"
#include "soak/plan.h"

namespace jacinthdeck::soak {

namespace internal {
class ProxiedConnection;
}  // namespace internal

/**
 * \brief Forwards connections to one port and applies the current link mode.
 *
 * Data that a cut direction holds back is delivered once the link recovers, as
 * after a network partition. The proxy runs on the loop that it is constructed
 * with; only SetMode(), SetDelay() and SetUpstream() may be
 * called from another thread.
 */
class LoopbackProxy {
 public:
  /*! \brief Listens on an ephemeral port. */
  explicit LoopbackProxy(asio::io_context& loop);
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

  /*! \brief Sets the loopback port that new connections are forwarded to. */
  void SetUpstream(std::uint16_t port) { m_upstream = port; }

  /*! \brief Sets the link mode; kReset also resets all open connections. */
  void SetMode(LinkMode mode);

  /*! \brief Sets the time by which data, and the end of a connection, are
   * delayed in each direction. */
  void SetDelay(std::chrono::milliseconds delay) { m_delay = delay; }

 private:
  friend class internal::ProxiedConnection;

  void Accept();
  void ResetAll();

  asio::io_context& m_loop;
  tcp::acceptor m_acceptor;
  const std::uint16_t m_port;
  std::atomic<std::uint16_t> m_upstream = 0;
  std::atomic<LinkMode> m_mode = LinkMode::kPass;
  std::atomic<std::chrono::milliseconds> m_delay{};
  std::vector<std::weak_ptr<internal::ProxiedConnection>> m_connections;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_LOOPBACK_PROXY_H_
