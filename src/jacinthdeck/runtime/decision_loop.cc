// The decision thread and the ring in front of it.
#include "jacinthdeck/runtime/decision_loop.h"

#include <algorithm>
#include <utility>

namespace jacinthdeck {

namespace {

//! Longest sleep, so that a stop is seen soon also while no event comes.
constexpr Duration kLongestWait = std::chrono::milliseconds(50);

}  // namespace

DecisionLoop::DecisionLoop(const Clock& clock, std::size_t queue)
    : m_clock(clock), m_ring(queue) {}

DecisionLoop::~DecisionLoop() {
  Stop();
}

bool DecisionLoop::TryPush(DecisionEvent& event) {
  return m_ring.TryPush(event);
}

void DecisionLoop::Start(std::unique_ptr<DecisionCore> core) {
  m_core = std::move(core);
  m_thread = std::thread([this] { Run(); });
}

void DecisionLoop::Stop() {
  m_stop = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void DecisionLoop::Run() {
  while (!m_stop) {
    const auto until_timer = std::chrono::duration_cast<Duration>(
        m_core->NextTimer() - m_clock.Now());
    std::vector<DecisionEvent> events =
        m_ring.PopAll(std::clamp(until_timer, Duration::zero(), kLongestWait));
    m_core->OnTimer();
    for (DecisionEvent& event : events) {
      m_core->OnEvent(std::move(event));
    }
  }
}

}  // namespace jacinthdeck
