// Writes chunks in order. An empty chunk wakes the thread when it has to stop.
#include "jacinthdeck/entry/log_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <string_view>
#include <utility>

namespace jacinthdeck {

namespace {

//! Capacity of the ring in chunks; each holds the lines of up to 0.1 s.
constexpr std::size_t kMaxChunks = 64;
constexpr std::chrono::seconds kMaxWait{3600};
//! Longest wait for room in the pipe, in milliseconds, before the thread checks
//! whether it has to stop.
constexpr int kWriteTimeoutMs = 20;
//! Time for which a writer that is stopping waits for room. After it, the rest
//! is given up once the pipe is full. A host has 100 ms between its end and its
//! kill.
constexpr std::chrono::milliseconds kStopTimeout{50};
constexpr std::size_t kMaxPieceBytes = PIPE_BUF;

//! Returns the size of the piece to write next. It ends with a line if one
//! fits, so that the line of a crash, which another thread writes, does not
//! come within a line.
[[nodiscard]] std::size_t PieceSize(std::string_view rest) {
  if (rest.size() <= kMaxPieceBytes) {
    return rest.size();
  }
  const std::size_t line_end = rest.rfind('\n', kMaxPieceBytes - 1);
  return line_end == std::string_view::npos ? kMaxPieceBytes : line_end + 1;
}

}  // namespace

LogWriter::LogWriter(int descriptor)
    : m_descriptor(descriptor),
      m_ring(kMaxChunks),
      m_thread([this] { Run(); }) {}

LogWriter::~LogWriter() {
  m_stop_by = std::chrono::steady_clock::now() + kStopTimeout;
  m_stopping = true;
  (void)m_ring.TryPush(std::string());
  m_thread.join();
}

bool LogWriter::TryWrite(std::string chunk) {
  return m_ring.TryPush(std::move(chunk));
}

void LogWriter::Run() {
  bool last = false;
  while (!last) {
    last = m_stopping;
    for (const std::string& chunk :
         m_ring.PopAll(last ? std::chrono::microseconds(0) : kMaxWait)) {
      if (!WriteOut(chunk) && m_stopping) {
        return;
      }
    }
  }
}

bool LogWriter::MustEnd() const {
  return m_stopping && std::chrono::steady_clock::now() >= m_stop_by;
}

// A blocking write would keep the process from ending while the reader of its
// output is stuck. So the thread waits in poll with a timeout, and writes
// pieces of at most PIPE_BUF bytes, which a pipe that polls ready takes as a
// whole.
bool LogWriter::WriteOut(const std::string& chunk) const {
  std::size_t done = 0;
  while (done < chunk.size()) {
    const bool must_end = MustEnd();
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, must_end ? 0 : kWriteTimeoutMs) <= 0) {
      if (must_end) {
        return false;
      }
      continue;
    }
    const std::size_t piece = PieceSize(std::string_view(chunk).substr(done));
    const ssize_t written = write(m_descriptor, chunk.data() + done, piece);
    if (written < 0 && errno != EINTR && errno != EAGAIN) {
      return false;
    }
    done += written > 0 ? static_cast<std::size_t>(written) : 0;
  }
  return true;
}

}  // namespace jacinthdeck
