// Each connection copies data in two directions. A direction that the mode
// holds back polls the mode every few milliseconds.
#include "soak/loopback_proxy.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <utility>

namespace jacinthdeck::soak {

namespace {

//! Period at which a held direction polls the link mode.
constexpr std::chrono::milliseconds kHeldPollPeriod{5};
//! Delay of a slow link for each chunk of data, in each direction.
constexpr std::chrono::milliseconds kLinkDelay{150};
constexpr std::size_t kChunkBytes = 16384;

}  // namespace

namespace internal {

/*! \brief A client connection and the connection to the upstream port. */
class ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
 public:
  ProxiedConnection(LoopbackProxy& proxy, tcp::socket client)
      : m_proxy(proxy),
        m_forward{std::move(client), asio::steady_timer(proxy.m_loop), {}},
        m_backward{tcp::socket(proxy.m_loop),
                   asio::steady_timer(proxy.m_loop),
                   {}} {}

  void Start() {
    const tcp::endpoint upstream(asio::ip::address_v4::loopback(),
                                 m_proxy.m_upstream);
    m_backward.from.async_connect(
        upstream, [self = shared_from_this()](const SystemError& error) {
          if (error) {
            self->Close(true);
            return;
          }
          self->Read(self->m_forward, self->m_backward);
          self->Read(self->m_backward, self->m_forward);
        });
  }

  //! Closes both sockets. A reset discards data in flight; otherwise it is
  //! still delivered.
  void Close(bool reset) {
    SystemError ignored;
    for (Direction* direction : {&m_forward, &m_backward}) {
      if (reset) {
        direction->from.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      direction->from.close(ignored);
      direction->timer.cancel();
    }
  }

 private:
  //! One direction: the socket that is read and the last chunk read from it.
  struct Direction {
    tcp::socket from;
    asio::steady_timer timer;
    std::array<char, kChunkBytes> data;
  };

  [[nodiscard]] bool IsHeld(const Direction& direction) const {
    const LinkMode mode = m_proxy.m_mode;
    const LinkMode cut =
        &direction == &m_forward ? LinkMode::kCutForward : LinkMode::kCutBack;
    return mode == LinkMode::kSilent || mode == cut;
  }

  void Read(Direction& direction, Direction& to) {
    direction.from.async_read_some(
        asio::buffer(direction.data),
        [self = shared_from_this(), &direction, &to](const SystemError& error,
                                                     std::size_t bytes) {
          const std::chrono::milliseconds delay = self->m_proxy.m_delay;
          if (error) {
            self->CloseAfter(direction, delay, error != asio::error::eof);
            return;
          }
          const bool slow = self->m_proxy.m_mode == LinkMode::kDelay;
          self->Hold(direction, to, bytes, slow ? kLinkDelay : delay);
        });
  }

  void CloseAfter(Direction& direction,
                  std::chrono::milliseconds delay,
                  bool reset) {
    if (delay.count() == 0) {
      Close(reset);
      return;
    }
    direction.timer.expires_after(delay);
    direction.timer.async_wait(
        [self = shared_from_this(), reset](const SystemError& error) {
          if (!error) {
            self->Close(reset);
          }
        });
  }

  void Hold(Direction& direction,
            Direction& to,
            std::size_t bytes,
            std::chrono::milliseconds wait) {
    if (wait.count() == 0 && !IsHeld(direction)) {
      Write(direction, to, bytes);
      return;
    }
    direction.timer.expires_after(wait.count() == 0 ? kHeldPollPeriod : wait);
    direction.timer.async_wait([self = shared_from_this(), &direction, &to,
                                bytes](const SystemError& error) {
      if (!error) {
        self->Hold(direction, to, bytes, kLinkDelay.zero());
      }
    });
  }

  void Write(Direction& direction, Direction& to, std::size_t bytes) {
    asio::async_write(to.from, asio::buffer(direction.data, bytes),
                      [self = shared_from_this(), &direction, &to](
                          const SystemError& error, std::size_t) {
                        if (error) {
                          self->Close(true);
                          return;
                        }
                        self->Read(direction, to);
                      });
  }

  LoopbackProxy& m_proxy;
  Direction m_forward;
  Direction m_backward;
};

}  // namespace internal

LoopbackProxy::LoopbackProxy(asio::io_context& loop)
    : m_loop(loop),
      m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_port(m_acceptor.local_endpoint().port()) {
  asio::post(m_loop, [this] { Accept(); });
}

void LoopbackProxy::SetMode(LinkMode mode) {
  m_mode = mode;
  if (mode == LinkMode::kReset) {
    asio::post(m_loop, [this] { ResetAll(); });
  }
}

void LoopbackProxy::Accept() {
  m_acceptor.async_accept([this](const SystemError& error, tcp::socket socket) {
    if (error) {
      return;
    }
    const auto connection =
        std::make_shared<internal::ProxiedConnection>(*this, std::move(socket));
    std::erase_if(m_connections, [](const auto& old) { return old.expired(); });
    m_connections.push_back(connection);
    if (m_mode == LinkMode::kReset) {
      connection->Close(true);
    } else {
      connection->Start();
    }
    Accept();
  });
}

void LoopbackProxy::ResetAll() {
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) {
      connection->Close(true);
    }
  }
}

}  // namespace jacinthdeck::soak
