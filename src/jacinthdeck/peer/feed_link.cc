// Asynchronous reads and writes of frames over the follower's connection.
#include "jacinthdeck/peer/feed_link.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

#include "jacinthdeck/http/socket_options.h"

namespace jacinthdeck {

struct FeedLink::Connection {
  explicit Connection(asio::io_context& loop) : socket(loop) {}

  tcp::socket socket;
  FeedFrameReader frame_reader;
  std::array<char, 16384> read_buffer{};
  //! Encoded hellos not sent yet; the first one may be partly written.
  std::deque<std::string> unsent;
  //! Changes of the parts that have arrived. The changes apply together: in
  //! part of a whole content most keys would be missing.
  std::vector<StoreChange> parts;
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
  auto connection = std::make_shared<Connection>(m_loop);
  m_connection = connection;
  connection->unsent.push_back(EncodeFeedMessage(hello));
  SystemError error;
  const auto address = asio::ip::make_address_v4(endpoint.address, error);
  connection->socket.async_connect(
      tcp::endpoint(address, endpoint.port),
      [this, connection](const SystemError& connect_error) {
        if (connection->closed) {
          return;
        }
        if (connect_error) {
          FailLink(connection, "cannot connect: " + connect_error.message());
          return;
        }
        SetStreamOptions(connection->socket);
        connection->connected = true;
        Write(connection);
        Read(connection);
      });
}

void FeedLink::SendHello(const FeedHello& hello) {
  if (m_connection == nullptr) {
    return;
  }
  m_connection->unsent.push_back(EncodeFeedMessage(hello));
  if (m_connection->connected && m_connection->unsent.size() == 1) {
    Write(m_connection);
  }
}

void FeedLink::Write(const std::shared_ptr<Connection>& connection) {
  asio::async_write(
      connection->socket, asio::buffer(connection->unsent.front()),
      [this, connection](const SystemError& write_error, std::size_t) {
        if (connection->closed) {
          return;
        }
        if (write_error) {
          FailLink(connection, "cannot send: " + write_error.message());
          return;
        }
        connection->unsent.pop_front();
        if (!connection->unsent.empty()) {
          Write(connection);
        }
      });
}

void FeedLink::Close() {
  if (m_connection == nullptr) {
    return;
  }
  m_connection->closed = true;
  SystemError ignored;
  m_connection->socket.close(ignored);
  m_connection.reset();
}

void FeedLink::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->read_buffer),
      [this, connection](const SystemError& error, std::size_t count) {
        if (connection->closed) {
          return;
        }
        if (error) {
          FailLink(connection, "ended: " + error.message());
          return;
        }
        m_received_bytes += count;
        connection->frame_reader.Add({connection->read_buffer.data(), count});
        while (const auto frame = connection->frame_reader.Next()) {
          OnFrame(*frame);
          if (connection->closed) {
            return;
          }
        }
        if (connection->frame_reader.broken()) {
          FailLink(connection, "sent a frame length above the limit");
          return;
        }
        Read(connection);
      });
}

void FeedLink::OnFrame(const std::string& frame) {
  auto message = Capture([&] { return DecodeFeedMessage(frame); });
  auto* decoded = std::get_if<FeedMessage>(&message);
  if (decoded == nullptr) {
    FailLink(m_connection, "sent a frame that holds no valid message");
  } else if (auto* part = std::get_if<FeedPart>(decoded)) {
    std::ranges::move(part->changes.changes,
                      std::back_inserter(m_connection->parts));
    m_sink.OnFeedPart();
  } else if (auto* changes = std::get_if<FeedChanges>(decoded)) {
    OnChanges(std::move(*changes));
  } else if (const auto* heartbeat = std::get_if<FeedHeartbeat>(decoded)) {
    m_sink.OnFeedHeartbeat(*heartbeat);
  }
}

void FeedLink::OnChanges(FeedChanges changes) {
  std::vector<StoreChange>& parts = m_connection->parts;
  if (!parts.empty()) {
    std::ranges::move(changes.changes, std::back_inserter(parts));
    changes.changes = std::exchange(parts, {});
  }
  m_sink.OnFeedChanges(changes);
}

void FeedLink::FailLink(const std::shared_ptr<Connection>& connection,
                        const std::string& problem) {
  if (connection == nullptr || connection->closed) {
    return;
  }
  Close();
  m_sink.OnFeedLost(problem);
}

}  // namespace jacinthdeck
