// Signal handling, and the graceful stop that does not cut off requests.
#include "jacinthdeck/entry/entry_node.h"

#include <signal.h>

#include <algorithm>
#include <chrono>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Part at the end of the grace period that is reserved for the last answers.
constexpr Duration kStopMargin = milliseconds(900);
//! Minimum time after the ports closed, for requests that were in transit then.
constexpr Duration kSettleTime = milliseconds(250);

}  // namespace

void EntryNode::AsyncWaitForSignal() {
  m_signals.async_wait([this](const SystemError& error, int signal) {
    if (!error) {
      OnSignal(signal);
      AsyncWaitForSignal();
    }
  });
}

void EntryNode::OnSignal(int signal) {
  if (signal == SIGHUP) {
    if (m_reload) {
      m_reload();
    }
    return;
  }
  if (!m_stopping) {
    BeginStop();
  }
}

void EntryNode::BeginStop() {
  m_stopping = true;
  m_stop_began = m_clock.Now();
  m_feed_hub.SetRecord({});
  m_feed_hub.Drain();
  m_store.Unregister();
  m_callers_server.Drain();
  m_queries_server.Drain();
  LogLine line = m_log.Begin(LogEvent::kStopping);
  line.Count("open_calls", m_forwarder.open_calls())
      .Count("connections", m_callers_server.connections())
      .Milliseconds("grace_ms", m_settings.grace);
  m_log.Add(std::move(line));
  LogReadiness();
  // Callers cache a directory answer for its time to live, and some for longer.
  // The port therefore stays open, and requests are served, until the end of
  // the grace period.
  m_stop_timer.expires_after(
      std::max(m_settings.grace - kStopMargin, Duration::zero()));
  m_stop_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Stop();
    }
  });
}

// A caller whose connection is refused tries another host. A caller whose
// connection is closed after it was accepted cannot know whether its request
// was read. Therefore the ports close first, and requests on accepted
// connections get time to be answered.
void EntryNode::Stop() {
  const TimePoint now = m_clock.Now();
  if (m_ports_closed == TimePoint{}) {
    m_ports_closed = now;
    m_callers_server.StopListening();
    m_queries_server.StopListening();
  }
  const bool settled = now - m_ports_closed >= kSettleTime &&
                       m_caller_handler.waiting() == 0 &&
                       m_typed_service.waiting() == 0;
  if (settled || now - m_ports_closed >= kStopMargin) {
    m_callers_server.CloseIdle();
    m_loop.stop();
    return;
  }
  constexpr Duration kStopPollInterval = milliseconds(20);
  m_stop_timer.expires_after(kStopPollInterval);
  m_stop_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Stop();
    }
  });
}

void EntryNode::LogStopped() {
  const TimePoint now = m_clock.Now();
  for (const auto& [call, caller] : m_caller_handler.waiting_callers()) {
    m_decisions.OnCut(caller.request_id, now - caller.arrived);
  }
  LogLine line = m_log.Begin(LogEvent::kStopped);
  line.Count("waiting_callers", m_caller_handler.waiting())
      .Count("waiting_typed_calls", m_typed_service.waiting())
      .Count("connections",
             m_callers_server.connections() + m_queries_server.connections())
      .Milliseconds("took_ms", now - m_stop_began);
  m_log.Add(std::move(line));
  m_log.Flush();
}

}  // namespace jacinthdeck
