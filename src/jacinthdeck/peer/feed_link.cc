// Reads frames until the link ends.
#include "jacinthdeck/peer/feed_link.h"

#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

#include "jacinthdeck/http/socket_options.h"

namespace jacinthdeck {

struct FeedLink::State {
  explicit State(asio::io_context& loop) : socket(loop) {}

  tcp::socket socket;
  FeedFrames frames;
  std::array<char, 16384> bytes{};
  //! Hellos that are not sent yet; the first may be under way.
  std::deque<std::string> waiting;
  bool connected = false;
  bool closed = false;
};

FeedLink::FeedLink(asio::io_context& loop, FeedLinkSink& sink)
    : m_loop(loop), m_sink(sink) {}

FeedLink::~FeedLink() {
  Close();
}

void FeedLink::Open(const Endpoint& endpoint, const FeedHello& hello) {
  Close();
  auto state = std::make_shared<State>(m_loop);
  m_state = state;
  state->waiting.push_back(EncodeFeed(hello));
  SystemError error;
  const auto address = asio::ip::make_address_v4(endpoint.address, error);
  state->socket.async_connect(tcp::endpoint(address, endpoint.port),
                              [this, state](const SystemError& ended) {
                                if (state->closed) {
                                  return;
                                }
                                if (ended) {
                                  Lose(state,
                                       "cannot connect: " + ended.message());
                                  return;
                                }
                                SetStreamOptions(state->socket);
                                state->connected = true;
                                Write(state);
                                Read(state);
                              });
}

void FeedLink::Say(const FeedHello& hello) {
  if (m_state == nullptr) {
    return;
  }
  m_state->waiting.push_back(EncodeFeed(hello));
  if (m_state->connected && m_state->waiting.size() == 1) {
    Write(m_state);
  }
}

void FeedLink::Write(const std::shared_ptr<State>& state) {
  asio::async_write(state->socket, asio::buffer(state->waiting.front()),
                    [this, state](const SystemError& written, std::size_t) {
                      if (state->closed) {
                        return;
                      }
                      if (written) {
                        Lose(state, "cannot send: " + written.message());
                        return;
                      }
                      state->waiting.pop_front();
                      if (!state->waiting.empty()) {
                        Write(state);
                      }
                    });
}

void FeedLink::Close() {
  if (m_state == nullptr) {
    return;
  }
  m_state->closed = true;
  SystemError ignored;
  m_state->socket.close(ignored);
  m_state.reset();
}

void FeedLink::Read(const std::shared_ptr<State>& state) {
  state->socket.async_read_some(
      asio::buffer(state->bytes),
      [this, state](const SystemError& error, std::size_t count) {
        if (state->closed) {
          return;
        }
        if (error) {
          Lose(state, "ended: " + error.message());
          return;
        }
        m_received += count;
        state->frames.Add({state->bytes.data(), count});
        while (const auto frame = state->frames.Next()) {
          OnFrame(*frame);
          if (state->closed) {
            return;
          }
        }
        if (state->frames.broken()) {
          Lose(state, "sends no frames");
          return;
        }
        Read(state);
      });
}

void FeedLink::OnFrame(const std::string& frame) {
  const auto message = Capture([&] { return DecodeFeed(frame); });
  const auto* read = std::get_if<FeedMessage>(&message);
  if (read == nullptr) {
    Lose(m_state, "sent a frame that is no message");
  } else if (const auto* changes = std::get_if<FeedChanges>(read)) {
    m_sink.OnFeedChanges(*changes);
  } else if (const auto* beat = std::get_if<FeedBeat>(read)) {
    m_sink.OnFeedBeat(*beat);
  }
}

void FeedLink::Lose(const std::shared_ptr<State>& state,
                    const std::string& problem) {
  if (state == nullptr || state->closed) {
    return;
  }
  Close();
  m_sink.OnFeedLost(problem);
}

}  // namespace jacinthdeck
