// Signals, and the end without a cut request.
#include "jacinthdeck/entry/entry_node.h"

#include <signal.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <memory>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Time kept back at the end of the grace for the last answers.
constexpr Duration kStopMargin = milliseconds(900);
//! Time for the requests that were on their way when the ports closed.
constexpr Duration kSettle = milliseconds(250);

}  // namespace

void EntryNode::WaitForSignal() {
  auto signals =
      std::make_shared<asio::signal_set>(m_loop, SIGTERM, SIGINT, SIGHUP);
  signals->async_wait([this, signals](const SystemError& error, int signal) {
    if (!error) {
      OnSignal(signal);
      WaitForSignal();
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
  m_feed.SetRecord({});
  m_feed.Drain();
  m_store.Unregister();
  m_callers.Drain();
  m_queries.Drain();
  LogLine line = m_log.Begin(LogEvent::kStopping);
  line.Count("open_calls", m_forwarder.open_calls())
      .Count("connections", m_callers.connections())
      .Milliseconds("grace_ms", m_settings.grace);
  m_log.Add(std::move(line));
  TellReadiness();
  // Callers keep a directory answer for a while, and some for longer, so the
  // port stays open and requests are served until the end of the grace.
  m_stop_timer.expires_after(
      std::max(m_settings.grace - kStopMargin, Duration::zero()));
  m_stop_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Stop();
    }
  });
}

// A caller whose connection is refused goes elsewhere; one whose connection
// ends after it was accepted cannot know whether its request was read. So the
// ports close first, and what was accepted has time to be answered.
void EntryNode::Stop() {
  const TimePoint now = m_clock.Now();
  if (m_ports_closed == TimePoint{}) {
    m_ports_closed = now;
    m_callers.StopListening();
    m_queries.StopListening();
  }
  const bool settled = now - m_ports_closed >= kSettle &&
                       m_caller_handler.waiting() == 0 &&
                       m_typed.waiting() == 0;
  if (settled || now - m_ports_closed >= kStopMargin) {
    m_callers.CloseIdle();
    m_loop.stop();
    return;
  }
  constexpr Duration kLook = milliseconds(20);
  m_stop_timer.expires_after(kLook);
  m_stop_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Stop();
    }
  });
}

}  // namespace jacinthdeck
