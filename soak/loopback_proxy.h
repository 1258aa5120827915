// A proxy on loopback that harms what passes it.
#ifndef SOAK_LOOPBACK_PROXY_H_
#define SOAK_LOOPBACK_PROXY_H_

#include <atomic>
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
 * \brief Passes connections on to one port, as its mode says.
 *
 * What a cut direction holds back is delivered once the link is well, as after
 * a partition. It lives on the loop of its maker; only the mode and the
 * upstream may be set from another thread.
 */
class LoopbackProxy {
 public:
  /*! \brief Opens a port of the kernel's choice. */
  explicit LoopbackProxy(asio::io_context& loop);
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

  /*! \brief Connections go on to this port. */
  void SetUpstream(std::uint16_t port) { m_upstream = port; }

  void SetMode(LinkMode mode);

 private:
  friend class internal::ProxiedConnection;

  void Accept();
  void EndAll();

  asio::io_context& m_loop;
  tcp::acceptor m_acceptor;
  const std::uint16_t m_port;
  std::atomic<std::uint16_t> m_upstream = 0;
  std::atomic<LinkMode> m_mode = LinkMode::kPass;
  std::vector<std::weak_ptr<internal::ProxiedConnection>> m_connections;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_LOOPBACK_PROXY_H_
