// Stand-in target: an HTTP server on a port of its own.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "http/http_message.h"
#include "http/http_server.h"
#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/routing/target_info.h"
#include "target/behaviour.h"
#include "target/dataset.h"
#include "target/run_log.h"
#include "target/served_ranges.h"
#include "target/target_query.h"
#include "target/work_queue.h"

namespace jacinthdeck::standins {

/*! \brief Counts of a target since its start. */
struct TargetCounts {
  //! Requests that took a slot.
  std::uint64_t runs = 0;
  std::uint64_t answered = 0;
  //! Requests refused with status 503.
  std::uint64_t shed = 0;
  //! Requests cancelled while they ran.
  std::uint64_t cancelled = 0;
  //! Requests whose deadline passed while they ran.
  std::uint64_t past_deadline = 0;
  std::uint64_t crashes = 0;
};

/*! \brief Server for one target of the host list. */
class Target {
 public:
  /**
   * \brief Opens the port and starts to serve. Until SetServedRanges() is
   * called the target serves no version.
   * \param info Item of the host list for this target.
   * \param port Port on 127.0.0.1; 0 picks a free port.
   * \param dataset Content of the service.
   * \param log Log of runs, shared with other targets; must outlive this one.
   * \param seed Seed of the service times and faults.
   */
  Target(TargetInfo info,
         std::uint16_t port,
         std::shared_ptr<const Dataset> dataset,
         RunLog& log,
         std::uint64_t seed);
  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  [[nodiscard]] const TargetInfo& info() const noexcept { return m_info; }
  [[nodiscard]] std::uint16_t port() const noexcept { return m_server.port(); }
  [[nodiscard]] Behaviour behaviour() const;
  [[nodiscard]] TargetCounts counts() const;
  [[nodiscard]] WorkCounts work() const { return m_work.counts(); }
  [[nodiscard]] ConnectionCounts connections() {
    return m_server.connections().counts();
  }

  /*! \brief Replaces the versions and ranges that the target serves. */
  void SetServedRanges(ServedRanges served_ranges);

  /*! \brief Replaces the behaviour; its cold time starts now. */
  void SetBehaviour(const Behaviour& behaviour);

  /*! \brief Ends all connections and requests without a reply. The target stays
   * down for the restart time, then is cold for the cold time. */
  void Crash();

  /*! \brief Closes the connections that have been idle for the idle time of the
   * behaviour. */
  void CloseIdle();

 private:
  using SteadyTimePoint = std::chrono::steady_clock::time_point;
  //! Load and state as /health, /load and query replies report them.
  struct Report {
    double load = 0;
    std::string state;
    SteadyTimePoint taken;
  };

  [[nodiscard]] HttpReply Handle(const HttpRequest& request);
  [[nodiscard]] HttpReply Query(const HttpRequest& request);
  [[nodiscard]] HttpReply RunQuery(const TargetQuery& query,
                                   const Behaviour& behaviour);
  [[nodiscard]] HttpReply FinishQuery(const TargetQuery& query,
                                      const Behaviour& behaviour,
                                      WorkOutcome outcome);
  [[nodiscard]] HttpReply ReplyShed(const char* reason);
  [[nodiscard]] HttpReply ReplyWithHits(const TargetQuery& query);
  [[nodiscard]] HttpReply Health();
  [[nodiscard]] HttpReply Load();
  //! Returns why new work is refused now, or null if it is accepted.
  [[nodiscard]] const char* RefusalReason(const Behaviour& behaviour);
  //! Returns the reply that refuses a version or range that is not served;
  //! status 200 if it is served.
  [[nodiscard]] HttpReply CheckServedRanges(const TargetQuery& query) const;
  [[nodiscard]] Duration DrawServiceTime(const Behaviour& behaviour);
  [[nodiscard]] bool DrawWithProbability(double share);
  [[nodiscard]] Report CurrentReport();
  [[nodiscard]] bool IsDown() const;
  void Increment(std::uint64_t TargetCounts::*counter);

  TargetInfo m_info;
  std::shared_ptr<const Dataset> m_dataset;
  RunLog& m_log;
  BoottimeClock m_clock;
  WorkQueue m_work;
  mutable std::mutex m_mutex;
  Behaviour m_behaviour;
  ServedRanges m_served_ranges;
  TargetCounts m_counts;
  Random m_random;
  SteadyTimePoint m_down_until;
  SteadyTimePoint m_cold_until;
  Report m_report;
  //! Declared last: as soon as it is constructed its threads call Handle(),
  //! which uses the members above.
  HttpServer m_server;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_H_
