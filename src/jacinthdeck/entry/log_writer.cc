// Chunks go out in order; an empty chunk wakes the thread for its end.
#include "jacinthdeck/entry/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace jacinthdeck {

namespace {

//! Chunks in the ring; each holds up to a tenth of a second of lines.
constexpr std::size_t kMostChunks = 64;
constexpr std::chrono::seconds kLongestWait{3600};
//! Time that a reader of the log has to take a chunk, at the end of the
//! process too.
constexpr int kWriteTimeoutMs = 200;

}  // namespace

LogWriter::LogWriter(int descriptor)
    : m_descriptor(descriptor),
      m_ring(kMostChunks),
      m_thread([this] { Run(); }) {}

LogWriter::~LogWriter() {
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
         m_ring.PopAll(last ? std::chrono::microseconds(0) : kLongestWait)) {
      WriteOut(chunk);
    }
  }
}

void LogWriter::WriteOut(const std::string& chunk) const {
  std::size_t done = 0;
  while (done < chunk.size()) {
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (m_stopping && poll(&ready, 1, kWriteTimeoutMs) <= 0) {
      return;
    }
    const ssize_t written =
        write(m_descriptor, chunk.data() + done, chunk.size() - done);
    if (written < 0 && errno != EINTR && errno != EAGAIN) {
      return;
    }
    done += written > 0 ? static_cast<std::size_t>(written) : 0;
  }
}

}  // namespace jacinthdeck
