// Limits the volume by a token bucket in bytes. Lines are never truncated: a
// line is logged or dropped as a whole.
#include "jacinthdeck/entry/event_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jacinthdeck {

namespace {

//! Size of the token bucket, in seconds of the byte rate: what may be logged at
//! once after an idle time.
constexpr double kBurstSeconds = 2;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

EventLog::EventLog(Options options, const Clock& clock, LogWriter& writer)
    : m_options(std::move(options)),
      m_clock(clock),
      m_writer(writer),
      m_available_bytes(kBurstSeconds * m_options.bytes_per_second),
      m_refilled_at(clock.Now()) {}

LogLine EventLog::Begin(LogEvent event) const {
  // The wall clock may jump, so it is only for readers of the log. Decisions
  // and ages use the runtime's clock.
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  LogLine line;
  line.Count("unix_ms", wall.count());
  line.Milliseconds("uptime_clock_ms", m_clock.Now().time_since_epoch());
  line.Text("host", m_options.host);
  line.Text("event", kLogEventNames.Name(event));
  return line;
}

bool EventLog::HasRoom() {
  Refill();
  return m_available_bytes > 0;
}

void EventLog::Add(LogLine line) {
  Refill();
  if (m_available_bytes <= 0) {
    ++m_dropped;
    return;
  }
  if (m_reported_dropped != m_dropped) {
    LogLine gap = Begin(LogEvent::kLinesDropped);
    gap.Count("lines", m_dropped - m_reported_dropped);
    m_reported_dropped = m_dropped;
    m_chunk += std::move(gap).Finish();
    m_chunk += '\n';
  }
  const std::string text = std::move(line).Finish();
  m_available_bytes -= static_cast<double>(text.size());
  m_chunk += text;
  m_chunk += '\n';
  ++m_chunk_lines;
}

void EventLog::Flush() {
  if (m_chunk.empty()) {
    return;
  }
  if (!m_writer.TryWrite(std::move(m_chunk))) {
    m_dropped += m_chunk_lines;
  }
  m_chunk.clear();
  m_chunk_lines = 0;
}

void EventLog::Refill() {
  const TimePoint now = m_clock.Now();
  const auto passed = static_cast<double>((now - m_refilled_at).count());
  m_refilled_at = now;
  const double rate = m_options.bytes_per_second;
  m_available_bytes =
      std::min(m_available_bytes + rate * passed / kMicrosecondsPerSecond,
               kBurstSeconds * rate);
}

}  // namespace jacinthdeck
