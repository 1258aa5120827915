// Reads hellos and writes frames, which are encoded once and shared between the
// followers.
#include "jacinthdeck/peer/feed_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <iterator>
#include <utility>

#include "jacinthdeck/http/listening.h"
#include "jacinthdeck/http/socket_options.h"

namespace jacinthdeck {

namespace {

//! Maximum number of followers; further ones are disconnected at once and find
//! another feeder.
constexpr std::size_t kMaxFollowers = 256;
//! Maximum number of bytes queued for one follower; beyond that its link is
//! closed.
constexpr std::size_t kMaxUnsentBytes = std::size_t{8} << 20U;
constexpr std::size_t kReadBufferBytes = 4096;

}  // namespace

//! Encodes a message at most once for each compression.
class FeedServer::FrameCache {
 public:
  explicit FrameCache(const FeedMessage& message) : m_message(message) {}

  [[nodiscard]] const std::shared_ptr<const std::string>& FrameFor(
      FeedCompression compression) {
    auto& frame = m_frames[static_cast<std::size_t>(compression)];
    if (frame == nullptr) {
      frame = std::make_shared<const std::string>(
          EncodeFeedMessage(m_message, compression));
    }
    return frame;
  }

 private:
  const FeedMessage& m_message;
  std::array<std::shared_ptr<const std::string>, 2> m_frames;
};

struct FeedServer::Follower {
  explicit Follower(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  FeedFrameReader frame_reader;
  std::array<char, kReadBufferBytes> read_buffer{};
  std::deque<std::shared_ptr<const std::string>> unsent;
  std::size_t unsent_bytes = 0;
  //! Whether it has sent its hello and so gets all changes.
  bool subscribed = false;
  FeedCompression compression = FeedCompression::kNone;
  //! Name from its hello; empty before that.
  HostId host;
  //! Whether it knows the whole content up to some revision, so that changes
  //! alone keep it complete.
  bool has_content = false;
  bool closed = false;
};

FeedServer::FeedServer(asio::io_context& loop,
                       const FeedSource& source,
                       FollowerObserver& observer)
    : m_source(source), m_observer(observer), m_acceptor(loop) {}

std::uint16_t FeedServer::port() const {
  return ListeningPort(m_acceptor);
}

Result<void> FeedServer::Listen(const std::string& address,
                                std::uint16_t port) {
  BOOST_LEAF_CHECK(StartListening(m_acceptor, address, port));
  Accept();
  return {};
}

void FeedServer::Drain() {
  SystemError ignored;
  m_acceptor.close(ignored);
  const std::vector<std::shared_ptr<Follower>> followers(m_followers);
  for (const auto& follower : followers) {
    Drop(follower);
  }
}

void FeedServer::Publish(const FeedChanges& changes) {
  if (m_followers.empty()) {
    return;
  }
  for (const auto& follower : SubscribedFollowers()) {
    if (!follower->has_content) {
      SendContentSince(follower, {});
    }
  }
  SendToAll(changes);
}

void FeedServer::SendHeartbeat() {
  if (!m_followers.empty()) {
    SendToAll(m_source.Heartbeat());
  }
}

void FeedServer::Accept() {
  m_acceptor.async_accept([this](const SystemError& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
      return;
    }
    if (!error && m_followers.size() < kMaxFollowers) {
      SetStreamOptions(socket);
      auto follower = std::make_shared<Follower>(std::move(socket));
      m_followers.push_back(follower);
      Read(follower);
    }
    Accept();
  });
}

void FeedServer::Read(const std::shared_ptr<Follower>& follower) {
  follower->socket.async_read_some(
      asio::buffer(follower->read_buffer),
      [this, follower](const SystemError& error, std::size_t count) {
        if (follower->closed) {
          return;
        }
        if (error) {
          Drop(follower);
          return;
        }
        follower->frame_reader.Add({follower->read_buffer.data(), count});
        while (const auto frame = follower->frame_reader.Next()) {
          OnFrame(follower, *frame);
        }
        if (follower->frame_reader.broken()) {
          Drop(follower);
        }
        if (!follower->closed) {
          Read(follower);
        }
      });
}

void FeedServer::OnFrame(const std::shared_ptr<Follower>& follower,
                         const std::string& frame) {
  const auto message = Capture([&] { return DecodeFeedMessage(frame); });
  const auto* decoded = std::get_if<FeedMessage>(&message);
  const auto* hello =
      decoded == nullptr ? nullptr : std::get_if<FeedHello>(decoded);
  if (hello == nullptr || follower->closed) {
    Drop(follower);
    return;
  }
  const bool was_subscribed = follower->subscribed;
  follower->subscribed = true;
  follower->compression =
      hello->reads_packed ? FeedCompression::kZstd : FeedCompression::kNone;
  follower->host = hello->host;
  m_observer.OnFollowerHello(*hello);
  if (was_subscribed) {
    return;
  }
  // Send only what the follower lacks. Followers that look for a fresh feeder
  // mostly know nearly all of this host's content, and the whole content for
  // each of dozens of followers a second would saturate the links of both
  // sides.
  follower->has_content = hello->position.revision > 0;
  SendContentSince(follower, hello->position);
  Send(follower, std::make_shared<const std::string>(
                     EncodeFeedMessage(m_source.Heartbeat())));
}

// A follower may connect before this host has read anything. If it then got
// changes only, the heartbeats would make it look fresh while it never learned
// the configuration. So the first changes that such a follower is sent are the
// whole content.
void FeedServer::SendContentSince(const std::shared_ptr<Follower>& follower,
                                  const StorePosition& position) {
  const FeedChanges content = m_source.ContentSince(position);
  if (content.position > position) {
    follower->has_content = true;
    Send(follower, std::make_shared<const std::string>(
                       EncodeFeedMessage(content, follower->compression)));
  }
}

std::vector<std::shared_ptr<FeedServer::Follower>>
FeedServer::SubscribedFollowers() const {
  std::vector<std::shared_ptr<Follower>> subscribed;
  std::ranges::copy_if(m_followers, std::back_inserter(subscribed),
                       &Follower::subscribed);
  return subscribed;
}

void FeedServer::SendToAll(const FeedMessage& message) {
  FrameCache frames(message);
  for (const auto& follower : SubscribedFollowers()) {
    Send(follower, frames.FrameFor(follower->compression));
  }
}

void FeedServer::Send(const std::shared_ptr<Follower>& follower,
                      const std::shared_ptr<const std::string>& frame) {
  if (follower->closed) {
    return;
  }
  if (follower->unsent_bytes + frame->size() > kMaxUnsentBytes) {
    Drop(follower);
    return;
  }
  follower->unsent.push_back(frame);
  follower->unsent_bytes += frame->size();
  if (follower->unsent.size() == 1) {
    Write(follower);
  }
}

void FeedServer::Write(const std::shared_ptr<Follower>& follower) {
  asio::async_write(follower->socket, asio::buffer(*follower->unsent.front()),
                    [this, follower](const SystemError& error, std::size_t) {
                      if (follower->closed) {
                        return;
                      }
                      if (error) {
                        Drop(follower);
                        return;
                      }
                      follower->unsent_bytes -=
                          follower->unsent.front()->size();
                      follower->unsent.pop_front();
                      if (!follower->unsent.empty()) {
                        Write(follower);
                      }
                    });
}

void FeedServer::Drop(const std::shared_ptr<Follower>& follower) {
  follower->closed = true;
  SystemError ignored;
  follower->socket.close(ignored);
  std::erase(m_followers, follower);
  const bool last_link_ended =
      follower->subscribed &&
      std::ranges::none_of(m_followers, [&](const auto& other) {
        return other->subscribed && other->host == follower->host;
      });
  if (last_link_ended) {
    m_observer.OnFollowerLeft(follower->host);
  }
}

}  // namespace jacinthdeck
