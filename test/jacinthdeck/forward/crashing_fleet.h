// Several hosts before targets that a request can crash, in simulated time.
#ifndef JACINTHDECK_TEST_FORWARD_CRASHING_FLEET_H_
#define JACINTHDECK_TEST_FORWARD_CRASHING_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
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
  //! Shards, from the first, whose targets refuse to execute any request.
  std::size_t shedding_shards = 0;
  //! Shards, from the last, whose targets answer the crashing request.
  std::size_t surviving_shards = 0;
  //! Share of all attempts that targets answer with an error instead of running
  //! them.
  double failed_answers = 0;
  //! Whether the crashing request is sent, and answered, before the measurement
  //! starts; it crashes targets only then.
  bool answered_before = false;
  //! Time after which the callers of the crashing request disconnect.
  std::optional<Duration> caller_patience;
  //! Share of all answers in place of which the connection is closed.
  double lost_answers = 0;
  //! Whether only every second target loses answers.
  bool half_lossy = false;
  //! Replica of each shard that ends by itself when the measurement starts, as
  //! in the loss of a failure domain.
  std::optional<std::size_t> lost_replica;
  //! Time between the restarts of targets, one after the other; zero for none.
  //! A target drains before it ends.
  Duration restart_interval{};
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
  //! Shards of which more than one target ended under it.
  std::size_t shards_hit_twice = 0;
  //! Attempts that a host sent to a target after it saw it refuse a connection,
  //! and before the target accepted one again.
  std::size_t repeated_refusals = 0;
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
  //! Calls of other requests that were answered with all shards within the
  //! objective.
  std::size_t others_whole = 0;
  //! Calls of other requests that arrived CrashingFleet::kSettlingTime after
  //! the first end of a target or later, and those of them that were answered.
  std::size_t later_calls = 0;
  std::size_t later_answered = 0;

  [[nodiscard]] double whole_share() const {
    return static_cast<double>(others_whole) /
           static_cast<double>(std::max<std::size_t>(other_calls, 1));
  }
  [[nodiscard]] double later_answered_share() const {
    return static_cast<double>(later_answered) /
           static_cast<double>(std::max<std::size_t>(later_calls, 1));
  }
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
  static constexpr Duration kSettlingTime = std::chrono::milliseconds(500);
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
  //! A call of another request.
  struct OtherCall {
    TimePoint submitted;
    bool measured = false;
    bool later = false;
  };

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
  void LoseReplica(std::size_t replica);
  //! Restarts the target with this index, and then the next; those of one
  //! shard are far apart.
  void Restart(std::size_t index);
  void OnOtherAnswer(CallId call, const ForwardAnswer& answer);
  //! Records that a target accepted or refused a connection of a host.
  void CountRefusal(std::size_t host, const TargetId& target, bool refused);
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
  std::map<std::uint64_t, OtherCall> m_other_calls;
  //! When hosts saw the first connection to a target refused, since it last
  //! accepted one.
  std::map<std::pair<std::size_t, std::string>, TimePoint> m_refused_at;
  //! Number of targets of each shard that ended under the crashing request.
  std::map<std::size_t, std::size_t> m_ends_by_shard;
  std::optional<TimePoint> m_first_end;
  std::optional<TimePoint> m_third_end;
  bool m_measuring = false;
  CrashingFleetResult m_result;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_FORWARD_CRASHING_FLEET_H_
