// The thread that carries messages between the entries over TCP.
#ifndef JACINTHDECK_PEER_PEER_TRANSPORT_H_
#define JACINTHDECK_PEER_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jacinthdeck/cluster/cluster_effects.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck {

/**
 * \brief Sends envelopes and hands received ones on.
 *
 * Delivery is not promised: the cluster core is built on messages that may be
 * lost. What cannot be sent at once or waits beyond a bound is dropped, so that
 * a silent peer holds no memory.
 */
class PeerTransport {
 public:
  /*! \brief Takes a received envelope; false drops it. */
  using Sink = std::function<bool(Envelope&&)>;

  PeerTransport(PeerTransport&&) noexcept;
  PeerTransport& operator=(PeerTransport&&) noexcept;
  ~PeerTransport();

  /**
   * \brief Listens and starts the thread.
   * \param address IPv4 number to listen on.
   * \param port Port; 0 lets the kernel pick.
   * \param sink Called on the transport's thread.
   * \return The transport, or kUnavailable.
   */
  [[nodiscard]] static Result<PeerTransport> Start(const std::string& address,
                                                   std::uint16_t port,
                                                   Sink sink);

  /*! \brief Port that is listened on. */
  [[nodiscard]] std::uint16_t port() const noexcept;

  /*! \brief Sends an envelope; one beyond the bound of its peer's queue is
   * dropped. */
  void Send(const PeerSend& send);

 private:
  class Worker;

  explicit PeerTransport(std::unique_ptr<Worker> worker) noexcept;

  std::unique_ptr<Worker> m_worker;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_PEER_TRANSPORT_H_
