// Frames to followers, shared between them.
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

//! Followers beyond this are turned away: they find another host.
constexpr std::size_t kMostFollowers = 256;
//! Bytes that wait for one follower.
constexpr std::size_t kMostWaiting = std::size_t{8} << 20U;
constexpr std::size_t kFeedReadBytes = 4096;

}  // namespace

//! A message in the frames that followers read, each encoded once.
class FeedServer::Encoding {
 public:
  explicit Encoding(const FeedMessage& message) : m_message(message) {}

  [[nodiscard]] const std::shared_ptr<const std::string>& For(
      FeedPacking packing) {
    auto& frame = m_frames[static_cast<std::size_t>(packing)];
    if (frame == nullptr) {
      frame =
          std::make_shared<const std::string>(EncodeFeed(m_message, packing));
    }
    return frame;
  }

 private:
  const FeedMessage& m_message;
  std::array<std::shared_ptr<const std::string>, 2> m_frames;
};

struct FeedServer::Follower {
  explicit Follower(tcp::socket taken) : socket(std::move(taken)) {}

  tcp::socket socket;
  FeedFrames frames;
  std::array<char, kFeedReadBytes> bytes{};
  std::deque<std::shared_ptr<const std::string>> waiting;
  std::size_t waiting_bytes = 0;
  //! It has said hello and gets the changes.
  bool greeted = false;
  FeedPacking packing = FeedPacking::kPlain;
  //! Known once it is greeted.
  HostId host;
  //! It knows all up to some revision, so that changes are of use to it.
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
  for (const auto& follower : Greeted()) {
    if (!follower->has_content) {
      SendContent(follower, {});
    }
  }
  SendAll(changes);
}

void FeedServer::Beat() {
  if (!m_followers.empty()) {
    SendAll(m_source.Beat());
  }
}

void FeedServer::Accept() {
  m_acceptor.async_accept([this](const SystemError& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
      return;
    }
    if (!error && m_followers.size() < kMostFollowers) {
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
      asio::buffer(follower->bytes),
      [this, follower](const SystemError& error, std::size_t count) {
        if (follower->closed) {
          return;
        }
        if (error) {
          Drop(follower);
          return;
        }
        follower->frames.Add({follower->bytes.data(), count});
        while (const auto frame = follower->frames.Next()) {
          OnFrame(follower, *frame);
        }
        if (follower->frames.broken()) {
          Drop(follower);
        }
        if (!follower->closed) {
          Read(follower);
        }
      });
}

void FeedServer::OnFrame(const std::shared_ptr<Follower>& follower,
                         const std::string& frame) {
  const auto message = Capture([&] { return DecodeFeed(frame); });
  const auto* read = std::get_if<FeedMessage>(&message);
  const auto* hello = read == nullptr ? nullptr : std::get_if<FeedHello>(read);
  if (hello == nullptr || follower->closed) {
    Drop(follower);
    return;
  }
  const bool again = follower->greeted;
  follower->greeted = true;
  follower->packing =
      hello->reads_packed ? FeedPacking::kPacked : FeedPacking::kPlain;
  follower->host = hello->host;
  m_observer.OnFollower(*hello);
  if (again) {
    return;
  }
  // Followers that look for a fresh feeder mostly know nearly all of what this
  // one has. The whole content to each of dozens of followers a second would
  // fill the links of both.
  follower->has_content = hello->position.revision > 0;
  SendContent(follower, hello->position);
  Send(follower,
       std::make_shared<const std::string>(EncodeFeed(m_source.Beat())));
}

// A follower may come before this host has read anything. Changes alone would
// tell it nothing: it would look fresh by the beats, and know no configuration
// for as long as it lives. So its first changes are the whole content.
void FeedServer::SendContent(const std::shared_ptr<Follower>& follower,
                             const StorePosition& position) {
  const FeedChanges content = m_source.ContentSince(position);
  if (content.position > position) {
    follower->has_content = true;
    Send(follower, std::make_shared<const std::string>(
                       EncodeFeed(content, follower->packing)));
  }
}

std::vector<std::shared_ptr<FeedServer::Follower>> FeedServer::Greeted() const {
  std::vector<std::shared_ptr<Follower>> greeted;
  std::ranges::copy_if(m_followers, std::back_inserter(greeted),
                       &Follower::greeted);
  return greeted;
}

void FeedServer::SendAll(const FeedMessage& message) {
  Encoding encoding(message);
  for (const auto& follower : Greeted()) {
    Send(follower, encoding.For(follower->packing));
  }
}

void FeedServer::Send(const std::shared_ptr<Follower>& follower,
                      const std::shared_ptr<const std::string>& frame) {
  if (follower->closed) {
    return;
  }
  if (follower->waiting_bytes + frame->size() > kMostWaiting) {
    Drop(follower);
    return;
  }
  follower->waiting.push_back(frame);
  follower->waiting_bytes += frame->size();
  if (follower->waiting.size() == 1) {
    Write(follower);
  }
}

void FeedServer::Write(const std::shared_ptr<Follower>& follower) {
  asio::async_write(follower->socket, asio::buffer(*follower->waiting.front()),
                    [this, follower](const SystemError& error, std::size_t) {
                      if (follower->closed) {
                        return;
                      }
                      if (error) {
                        Drop(follower);
                        return;
                      }
                      follower->waiting_bytes -=
                          follower->waiting.front()->size();
                      follower->waiting.pop_front();
                      if (!follower->waiting.empty()) {
                        Write(follower);
                      }
                    });
}

void FeedServer::Drop(const std::shared_ptr<Follower>& follower) {
  follower->closed = true;
  SystemError ignored;
  follower->socket.close(ignored);
  std::erase(m_followers, follower);
  const bool left = follower->greeted &&
                    std::ranges::none_of(m_followers, [&](const auto& other) {
                      return other->greeted && other->host == follower->host;
                    });
  if (left) {
    m_observer.OnFollowerLeft(follower->host);
  }
}

}  // namespace jacinthdeck
