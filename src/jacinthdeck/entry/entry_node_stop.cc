// Signal handling, and the graceful stop that does not cut off requests.
#include "jacinthdeck/entry/entry_node.h"

#include <signal.h>

#include <algorithm>
#include <chrono>

#include "jacinthdeck/entry/shutdown_schedule.h"

namespace jacinthdeck {

using std::chrono::milliseconds;

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
  const TimePoint now = m_clock.Now();
  m_stop_began = EarliestArrival(now);
  m_shutdown = MakeShutdownSchedule(m_stop_began, m_settings.grace);
  m_feed_hub.SetRecord({});
  // Before the followers leave: their records share the lease, which is left to
  // expire while there are any.
  m_store.Unregister();
  m_feed_hub.Drain();
  m_callers_server.Drain();
  m_queries_server.Drain();
  LogLine line = m_log.Begin(LogEvent::kStopping);
  line.Count("open_calls", m_forwarder.open_calls())
      .Count("connections", m_callers_server.connections())
      .Milliseconds("grace_ms", m_settings.grace);
  m_log.Add(std::move(line));
  LogReadiness();
  m_forwarder.BeginStop(m_shutdown.last_answer, now);
  m_typed_service.calls().BeginStop(m_shutdown.last_answer, now);
  ArmDecisionTimer();
  ArmStopTimer(m_shutdown.ports_close - now);
}

// A signal that reaches a busy loop is handled late, and the platform counts
// the grace period from when it sent it.
TimePoint EntryNode::EarliestArrival(TimePoint now) const {
  //! Time without a tick from which the loop was busy.
  constexpr Duration kBusyThreshold = milliseconds(150);
  //! A tick this recent may have been handled late as well, before the signal.
  constexpr Duration kSameTurn = milliseconds(10);
  const TimePoint tick =
      now - m_last_tick > kSameTurn ? m_last_tick : m_previous_tick;
  return now - tick > kBusyThreshold ? tick : now;
}

void EntryNode::ArmStopTimer(Duration after) {
  m_stop_timer.Start(std::max(after, Duration::zero()),
                     [this] { AdvanceStop(); });
}

// A caller whose connection is refused tries another host. A caller whose
// connection is closed after it was accepted cannot know whether its request
// was read. Therefore the ports close first, and requests on accepted
// connections get time to be answered.
void EntryNode::AdvanceStop() {
  constexpr Duration kStopPollInterval = milliseconds(20);
  const TimePoint now = m_clock.Now();
  if (!m_ports_closed) {
    m_ports_closed = true;
    m_callers_server.StopListening();
    m_queries_server.StopListening();
  }
  if (now >= m_shutdown.idle_close) {
    m_callers_server.CloseIdle();
    m_queries_server.CloseIdle();
  }
  if (now >= m_shutdown.last_answer) {
    // On a busy loop, or after a pause of the process, the timer of the
    // decisions may come after this one.
    OnDecisionTimer();
    m_callers_server.RejectIncomplete();
    m_queries_server.RejectIncomplete();
  }
  const bool all_left = now >= m_shutdown.idle_close &&
                        m_callers_server.connections() == 0 &&
                        m_queries_server.connections() == 0;
  if (all_left || now >= m_shutdown.end) {
    m_loop.stop();
    return;
  }
  ArmStopTimer(std::min(kStopPollInterval, m_shutdown.end - now));
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
