// The three steps of a drill, each at its time by the steady clock.
#include "store/restore_drill.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace jacinthdeck::standins {

namespace {

using SteadyTimePoint = std::chrono::steady_clock::time_point;

//! Waits until a point in time; returns false if the drill is stopped before.
[[nodiscard]] bool WaitUntil(SteadyTimePoint moment,
                             const std::stop_token& stop) {
  std::mutex mutex;
  std::unique_lock lock(mutex);
  std::condition_variable_any stopped;
  stopped.wait_until(lock, stop, moment, [] { return false; });
  return !stop.stop_requested();
}

void RunDrill(StoreServer& server,
              const RestoreTimes& times,
              const std::stop_token& stop) {
  const SteadyTimePoint start = std::chrono::steady_clock::now();
  if (!WaitUntil(start + times.snapshot, stop)) {
    return;
  }
  StoreControl snapshot;
  snapshot.faults = server.faults();
  snapshot.take_snapshot = true;
  server.Apply(snapshot);
  if (!WaitUntil(start + std::min(times.silent, times.restore), stop)) {
    return;
  }
  StoreControl outage;
  outage.faults = server.faults();
  outage.faults.outage = Outage::kSilent;
  server.Apply(outage);
  if (!WaitUntil(start + times.restore, stop)) {
    return;
  }
  StoreControl restore;
  restore.faults = server.faults();
  restore.faults.outage = Outage::kNone;
  restore.restore = true;
  server.Apply(restore);
}

}  // namespace

RestoreDrill::RestoreDrill(StoreServer& server, const RestoreTimes& times)
    : m_thread([&server, times](const std::stop_token& stop) {
        RunDrill(server, times, stop);
      }) {}

}  // namespace jacinthdeck::standins
