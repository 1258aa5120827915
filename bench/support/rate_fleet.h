// Fleet of rate limiters under a paused clock, joined by a link that loses,
// delays, repeats and reorders messages; and callers of their accounts.
#ifndef JACINTHDECK_BENCH_SUPPORT_RATE_FLEET_H_
#define JACINTHDECK_BENCH_SUPPORT_RATE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_limiter.h"

namespace jacinthdeck::bench {

/*! \brief Size of the fleet and behaviour of its link. */
struct RateFleetOptions {
  std::uint32_t hosts = 6;
  std::uint32_t fronts = 6;
  std::uint64_t seed = 1;
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;
  //! Accounts of sizes in proportion to 1 / position^1.2.
  std::uint32_t accounts = 80;
  double requests_per_s = 120;
  //! Ratio of an account's limit to its usual rate.
  double headroom = 1.6;
  double loss = 0;
  double repeats = 0;
  //! Part of the messages that is late by up to late_by.
  double late = 0;
  Duration late_by = std::chrono::milliseconds(400);
};

/*! \brief What became of the requests of an account. */
struct RateFleetAccount {
  TenantId name;
  double usual = 0;
  double rate = 0;
  double burst = 0;
  //! Sends without regard to its limit; its refusals do not count.
  bool is_over = false;
  //! Factor on its usual rate.
  double factor = 1;
  //! Level of the bucket that keeps its callers within the limit.
  double level = 0;
  TimePoint updated;
  std::vector<TimePoint> admitted;
  //! Windows that begin from this time on have the limit `rate`, earlier ones
  //! `earlier_rate` if that is higher.
  TimePoint bound_since;
  double earlier_rate = 0;
  double earlier_burst = 0;
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
};

/*! \brief Sums over a run. */
struct RateFleetResult {
  //! Requests of accounts that stayed within their limit.
  std::uint64_t within = 0;
  std::uint64_t limited_within = 0;
  std::uint64_t unknown_within = 0;
  //! Requests that came back after the time that they were told.
  std::uint64_t returned = 0;
  std::uint64_t returned_refused = 0;
  //! Highest ratio of admitted requests to the bound, of any account and span.
  double worst_window = 0;
  TenantId worst_account;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  Duration duration{};
};

/*! \brief Estimates the size of a message as a datagram, from its fields. */
[[nodiscard]] std::uint64_t SizeOf(const RateMessage& message);

/*! \brief Fleet of rate limiters with callers. */
class RateFleet {
 public:
  explicit RateFleet(const RateFleetOptions& options);
  ~RateFleet();
  RateFleet(const RateFleet&) = delete;
  RateFleet& operator=(const RateFleet&) = delete;

  //! Lets the callers send or not; without them only scheduled events run.
  void SetCallers(bool are_active);
  void RunFor(Duration duration);

  //! Separates some hosts from all others; messages on their way are lost.
  void CutOff(std::uint32_t first, std::uint32_t count);
  void Reconnect();
  void Kill(std::uint32_t host);
  void Start(std::uint32_t host);
  //! A paused host processes nothing; its messages wait.
  void Pause(std::uint32_t host);
  void Resume(std::uint32_t host);
  //! Adds a host that is not running yet.
  std::uint32_t AddHost();
  //! Lists fronts at each running host, at a random time within a span.
  void ListFronts(const std::vector<std::uint32_t>& fronts, Duration spread);
  //! Changes the limit of an account at all hosts within a span.
  void SetLimit(std::uint32_t account, double rate, Duration spread);
  //! Lets an account send at a multiple of its usual rate.
  void SetFactor(std::uint32_t account, double factor);

  //! Sends one request to a host; the verdict is passed to `done`.
  void Send(std::uint32_t host,
            std::uint32_t account,
            std::uint64_t hash,
            Duration patience,
            std::function<void(const RateVerdict&)> done);

  //! Leaves the requests so far out of the counts, but not out of the bound.
  void ForgetCounts();

  [[nodiscard]] RateFleetResult Result() const;
  [[nodiscard]] std::vector<RateFleetAccount>& accounts() noexcept {
    return m_accounts;
  }
  [[nodiscard]] RateLimiter& limiter(std::uint32_t host);
  [[nodiscard]] HostId IdOf(std::uint32_t host) const;
  //! The running host that most others hold for an account's allocator.
  [[nodiscard]] std::uint32_t AllocatorOf(std::uint32_t account);
  [[nodiscard]] TimePoint now() const noexcept { return m_now; }
  [[nodiscard]] Random& random() noexcept { return m_random; }

 private:
  struct Host;
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    [[nodiscard]] bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(TimePoint at, std::function<void()> run);
  void Schedule(Host& host);
  void Wake(Host& host);
  void Carry(Host& from, const HostId& to, const RateMessage& message);
  void Deliver(std::uint32_t from,
               std::uint32_t to,
               std::uint32_t from_group,
               const RateMessage& message);
  void Configure(Host& host);
  void CallLater(std::uint32_t account);
  void Call(std::uint32_t account);
  //! Sends a request again that was refused.
  void Return(std::uint32_t account, std::uint64_t hash, Duration patience);
  //! A front that answers callers.
  [[nodiscard]] std::optional<std::uint32_t> RandomFront();
  [[nodiscard]] bool IsWithinLimit(RateFleetAccount& account) const;
  [[nodiscard]] std::shared_ptr<const TenantTable> Table() const;
  [[nodiscard]] std::uint32_t Sharers() const;

  RateFleetOptions m_options;
  Random m_random;
  TimePoint m_now{std::chrono::seconds(1000)};
  TimePoint m_begin;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::map<HostId, std::uint32_t> m_by_id;
  std::vector<std::uint32_t> m_fronts;
  std::vector<std::pair<TimePoint, std::size_t>> m_front_counts;
  std::vector<RateFleetAccount> m_accounts;
  std::shared_ptr<const TenantTable> m_table;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_calls = 0;
  //! Calls whose callers did not send any more are recognized by this.
  std::uint64_t m_round = 0;
  bool m_are_callers_active = false;
  std::unordered_map<std::uint64_t, std::function<void(const RateVerdict&)>>
      m_waiting;
  std::uint64_t m_within = 0;
  std::uint64_t m_limited = 0;
  std::uint64_t m_unknown = 0;
  std::uint64_t m_returned = 0;
  std::uint64_t m_returned_refused = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_bytes = 0;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_RATE_FLEET_H_
