// Several hosts before targets that a request can crash, in simulated time.
#ifndef JACINTHDECK_TEST_FORWARD_CRASHING_FLEET_H_
#define JACINTHDECK_TEST_FORWARD_CRASHING_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/forwarder.h"

namespace jacinthdeck {

/*! \brief How targets end under the crashing request. */
enum class CrashKind {
  //! Their connections end.
  kClosed,
  //! Their connections stay open without an answer.
  kSilent,
  //! They do not end; the request is harmless.
  kNone,
};

/*! \brief Options of a simulated fleet. */
struct CrashingFleetOptions {
  std::size_t hosts = 6;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  CrashKind crash = CrashKind::kClosed;
  //! Time that a target works on the crashing request before it ends.
  Duration min_crash_delay = std::chrono::milliseconds(40);
  Duration max_crash_delay = std::chrono::milliseconds(70);
  //! Shards, from the first, whose listed targets refuse all connections.
  std::size_t unreachable_shards = 0;
  //! Shards, from the last, whose targets answer the crashing request.
  std::size_t surviving_shards = 0;
  //! Time after which the callers of the crashing request disconnect.
  std::optional<Duration> caller_patience;
  //! Share of all answers in place of which the connection is closed.
  double lost_answers = 0;
  //! Targets that end by themselves each second.
  double crashes_per_second = 0;
  //! Time until the other hosts know what a host wrote to the store. Their next
  //! watch begins up to 200 ms after the last change.
  Duration store_delay = std::chrono::milliseconds(220);
  //! Share of the other requests that are one and the same, as a popular
  //! search.
  double popular_share = 0;
  //! Whether changes are shared among the hosts through the store.
  bool store_available = true;
  std::uint64_t seed = 1;
};

/*! \brief What a run observed. */
struct CrashingFleetResult {
  //! Targets that ended under the crashing request.
  std::size_t ended = 0;
  //! Calls of the crashing request that reached a target later than
  //! CrashingFleet::kContactTime after it had ended the third.
  std::set<std::string> late_calls;
  std::size_t calls = 0;
  //! Calls of the crashing request that were refused because of it, and those
  //! that were answered with success.
  std::size_t refused = 0;
  std::size_t answered = 0;
  //! Calls of other requests, and those of them refused as crashing.
  std::size_t other_calls = 0;
  std::size_t others_refused = 0;
};

/**
 * \brief Simulates hosts, targets and callers.
 *
 * One request is sent again every kRequestInterval to any host, beside many
 * harmless ones. A target that ends is back after kRestartTime as a new
 * process; its old entry is listed for kEntryLifetime.
 */
class CrashingFleet {
 public:
  static constexpr Duration kRequestInterval = std::chrono::milliseconds(250);
  static constexpr Duration kContactTime = std::chrono::seconds(4);
  static constexpr Duration kRestartTime = std::chrono::seconds(2);
  static constexpr Duration kEntryLifetime = std::chrono::milliseconds(3600);

  explicit CrashingFleet(const CrashingFleetOptions& options);
  ~CrashingFleet();
  CrashingFleet(const CrashingFleet&) = delete;
  CrashingFleet& operator=(const CrashingFleet&) = delete;

  /*! \brief Runs harmless requests alone, and then for \p duration the
   * crashing one beside them. */
  [[nodiscard]] CrashingFleetResult Run(Duration duration);

 private:
  struct Host;
  struct Process;
  struct Flight;

  void At(TimePoint at, std::function<void()> action);
  void AdvanceTo(TimePoint end);
  void SubmitOther();
  void SubmitCrashing();
  CallId Submit(std::size_t host, const std::string& path, bool crashing);
  void Send(std::size_t host, const OutgoingAttempt& attempt);
  void Cancel(std::size_t host, AttemptId attempt);
  //! Returns the process that listens at the address of a target.
  [[nodiscard]] const Process* ProcessAt(const TargetEntry& target) const;
  //! Returns how long a connection to an address without process takes to fail.
  [[nodiscard]] Duration RefusalTime() const;
  void Check(std::size_t host, const TargetEntry& target);
  void Arrive(std::uint64_t flight);
  void Run(std::uint64_t flight, bool crashing);
  void End(std::uint64_t flight, AttemptOutcome outcome, bool lost);
  void Crash(const std::string& process, bool by_request);
  void CrashAnyTarget();
  void StartProcess(std::size_t shard, std::size_t replica);
  void ShareTargets();
  void ArmTimers();
  [[nodiscard]] Duration Between(Duration least, Duration most);

  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    [[nodiscard]] bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  const CrashingFleetOptions m_options;
  Random m_random;
  TimePoint m_now{std::chrono::hours(1)};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_sequence = 0;
  std::vector<std::unique_ptr<Host>> m_hosts;
  //! All processes by id, those that ended included.
  std::map<std::string, Process> m_processes;
  std::map<std::uint64_t, Flight> m_flights;
  std::uint64_t m_next_flight = 1;
  std::uint64_t m_next_call = 1;
  std::set<std::uint64_t> m_crashing_calls;
  std::optional<TimePoint> m_third_end;
  bool m_measuring = false;
  CrashingFleetResult m_result;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_FORWARD_CRASHING_FLEET_H_
