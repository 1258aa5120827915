// Reads hellos and writes frames, which are encoded once and shared between the
// followers.
#include "jacinthdeck/peer/feed_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <iterator>
#include <numeric>
#include <utility>

#include "jacinthdeck/http/listening.h"
#include "jacinthdeck/http/socket_options.h"

namespace jacinthdeck {

namespace {

//! A follower is disconnected if a message is queued for it while more bytes
//! than this wait behind the message that is being written. A single message
//! may have any size: each new link would end for the same reason.
constexpr std::size_t kMaxWaitingBytes = std::size_t{8} << 20U;
//! Content that other followers are still being sent is shared with a further
//! one if the changes since then are at most this large.
constexpr std::size_t kMaxCatchUpBytes = FeedContent::kMaxPartBytes;
constexpr std::size_t kReadBufferBytes = 4096;
//! Largest message of a follower; it sends nothing but its hello.
constexpr std::size_t kMaxHelloBytes = 65536;
//! Pause after a failed accept, which is mostly due to a lack of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{50};

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
  std::array<std::shared_ptr<const std::string>, kFeedCompressions> m_frames;
};

//! An encoded message, or content that is encoded when it is written.
struct FeedServer::Outgoing {
  std::shared_ptr<const std::string> frame;
  std::shared_ptr<FeedContent> content;
  FeedContent::Cursor cursor = {};

  [[nodiscard]] std::size_t bytes() const {
    return frame == nullptr ? content->bytes() : frame->size();
  }
};

struct FeedServer::Follower {
  explicit Follower(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  FeedFrameReader frame_reader{kMaxHelloBytes};
  std::array<char, kReadBufferBytes> read_buffer{};
  //! Messages not sent yet; the first one is being written.
  std::deque<Outgoing> unsent;
  //! Bytes of all messages but the first one.
  std::size_t waiting_bytes = 0;
  //! Whether it has sent its hello and so gets all changes.
  bool subscribed = false;
  FeedCompression compression = FeedCompression::kNone;
  bool reads_parts = false;
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
    : m_source(source),
      m_observer(observer),
      m_acceptor(loop),
      m_accept_pause(loop) {}

std::uint16_t FeedServer::port() const {
  return ListeningPort(m_acceptor);
}

std::size_t FeedServer::held_content_bytes() const {
  return std::accumulate(m_contents.begin(), m_contents.end(), std::size_t{0},
                         [](std::size_t sum, const auto& entry) {
                           const auto content = entry.lock();
                           return sum + (content ? content->bytes() : 0);
                         });
}

Result<void> FeedServer::Listen(const std::string& address,
                                std::uint16_t port,
                                std::size_t max_followers) {
  m_max_followers = max_followers;
  BOOST_LEAF_CHECK(StartListening(m_acceptor, address, port));
  Accept();
  return {};
}

void FeedServer::Drain() {
  SystemError ignored;
  m_acceptor.close(ignored);
  m_accept_pause.Cancel();
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
  if (FeedContent::SizeOf(changes) <= FeedContent::kMaxPartBytes) {
    SendToAll(changes);
    return;
  }
  const auto content = std::make_shared<FeedContent>(changes, StorePosition{});
  for (const auto& follower : SubscribedFollowers()) {
    Send(follower, {nullptr, content});
  }
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
    if (error) {
      m_accept_pause.Start(kAcceptPause, [this] { Accept(); });
      return;
    }
    if (m_followers.size() < m_max_followers || DropLinkWithoutHello()) {
      SetStreamOptions(socket);
      auto follower = std::make_shared<Follower>(std::move(socket));
      m_followers.push_back(follower);
      Read(follower);
    }
    Accept();
  });
}

bool FeedServer::DropLinkWithoutHello() {
  // In the order in which they connected.
  const auto found = std::ranges::find_if(
      m_followers, [](const auto& link) { return !link->subscribed; });
  if (found == m_followers.end()) {
    return false;
  }
  const std::shared_ptr<Follower> link = *found;
  Drop(link);
  return true;
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
  const auto message =
      Capture([&] { return DecodeFeedMessage(frame, kMaxHelloBytes); });
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
  follower->reads_parts = hello->reads_parts;
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
  Send(follower, {std::make_shared<const std::string>(
                      EncodeFeedMessage(m_source.Heartbeat())),
                  nullptr});
}

// A follower may connect before this host has read anything. If it then got
// changes only, the heartbeats would make it look fresh while it never learned
// the configuration. So the first changes that such a follower is sent are the
// whole content.
void FeedServer::SendContentSince(const std::shared_ptr<Follower>& follower,
                                  const StorePosition& position) {
  FeedChanges changes = m_source.ContentSince(position);
  if (changes.position <= position) {
    return;
  }
  follower->has_content = true;
  for (auto& content : SharedContent(std::move(changes), position)) {
    Send(follower, {nullptr, std::move(content)});
  }
}

// Followers that read slowly keep the content that they are being sent in
// memory. If each had its own copy, dozens of them would exhaust the memory.
std::vector<std::shared_ptr<FeedContent>> FeedServer::SharedContent(
    FeedChanges changes,
    const StorePosition& since) {
  std::erase_if(m_contents,
                [](const auto& content) { return content.expired(); });
  for (const auto& entry : m_contents) {
    auto content = entry.lock();
    if (!content->BeginsLike(changes, since)) {
      continue;
    }
    const StorePosition& shared_until = content->changes().position;
    if (shared_until == changes.position) {
      return {std::move(content)};
    }
    FeedChanges later = m_source.ContentSince(shared_until);
    if (!later.whole && FeedContent::SizeOf(later) <= kMaxCatchUpBytes) {
      auto catch_up =
          std::make_shared<FeedContent>(std::move(later), shared_until);
      return {std::move(content), std::move(catch_up)};
    }
  }
  auto content = std::make_shared<FeedContent>(std::move(changes), since);
  m_contents.push_back(content);
  return {std::move(content)};
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
    Send(follower, {frames.FrameFor(follower->compression), nullptr});
  }
}

void FeedServer::Send(const std::shared_ptr<Follower>& follower,
                      Outgoing message) {
  if (follower->closed) {
    return;
  }
  if (follower->waiting_bytes > kMaxWaitingBytes) {
    Drop(follower);
    return;
  }
  const bool is_first = follower->unsent.empty();
  follower->waiting_bytes += is_first ? 0 : message.bytes();
  follower->unsent.push_back(std::move(message));
  if (is_first) {
    Write(follower);
  }
}

void FeedServer::Write(const std::shared_ptr<Follower>& follower) {
  Outgoing& message = follower->unsent.front();
  if (message.content != nullptr) {
    if (follower->reads_parts) {
      message.frame =
          message.content->NextPart(message.cursor, follower->compression);
      if (message.cursor.done) {
        message.content.reset();
      }
    } else {
      message.frame = message.content->WholeFrame(follower->compression);
      message.cursor.done = true;
    }
  }
  asio::async_write(follower->socket, asio::buffer(*message.frame),
                    [this, follower](const SystemError& error, std::size_t) {
                      if (follower->closed) {
                        return;
                      }
                      if (error) {
                        Drop(follower);
                        return;
                      }
                      OnWritten(follower);
                    });
}

void FeedServer::OnWritten(const std::shared_ptr<Follower>& follower) {
  const Outgoing& message = follower->unsent.front();
  if (message.content == nullptr || message.cursor.done) {
    follower->unsent.pop_front();
    if (follower->unsent.empty()) {
      return;
    }
    follower->waiting_bytes -= follower->unsent.front().bytes();
  }
  Write(follower);
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
