// One stand-in target: a server on its own port.
#ifndef JACINTHDECK_STANDINS_TARGET_TARGET_H_
#define JACINTHDECK_STANDINS_TARGET_TARGET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "http/http_message.h"
#include "http/http_server.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/routing/target_info.h"
#include "target/behaviour.h"
#include "target/dataset.h"
#include "target/run_log.h"
#include "target/served_ranges.h"
#include "target/target_query.h"
#include "target/work_queue.h"

namespace jacinthdeck::standins {

/*! \brief What a target has done so far. */
struct TargetCounts {
  std::uint64_t runs = 0;
  std::uint64_t answered = 0;
  std::uint64_t shed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t past_deadline = 0;
  std::uint64_t crashes = 0;
};

/*! \brief Serves one target of the host list. */
class Target {
 public:
  /**
   * \brief Opens the target.
   * \param info Its line of the host list.
   * \param port Port; 0 lets the kernel pick.
   * \param dataset Content of its service.
   * \param log Log that it shares with others; outlives the target.
   * \param seed Seed of its service times and faults.
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

  /*! \brief Replaces what the target serves. */
  void SetServedRanges(ServedRanges served_ranges);

  /*! \brief Replaces the behaviour; a cold time starts now. */
  void SetBehaviour(const Behaviour& behaviour);

  /*! \brief Ends all connections without a reply and stays down for the restart
   * time. */
  void Crash();

  /*! \brief Closes the connections that are idle for longer than the behaviour
   * says. */
  void CloseIdle();

 private:
  using SteadyTimePoint = std::chrono::steady_clock::time_point;
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
  //! Why new work is refused now; null when it is not.
  [[nodiscard]] const char* RefusalReason(const Behaviour& behaviour);
  //! Refusal for a version or range that is not served; status 200 when
  //! it is.
  [[nodiscard]] HttpReply CheckServedRanges(const TargetQuery& query) const;
  [[nodiscard]] Duration DrawServiceTime(const Behaviour& behaviour);
  [[nodiscard]] bool DrawWithProbability(double share);
  [[nodiscard]] Report CurrentReport();
  [[nodiscard]] bool IsDown() const;
  void Increment(std::uint64_t TargetCounts::*counter);

  TargetInfo m_info;
  std::shared_ptr<const Dataset> m_dataset;
  RunLog& m_log;
  WorkQueue m_work;
  mutable std::mutex m_mutex;
  Behaviour m_behaviour;
  ServedRanges m_served_ranges;
  TargetCounts m_counts;
  Random m_random;
  SteadyTimePoint m_down_until;
  SteadyTimePoint m_cold_until;
  Report m_report;
  //! Last: it calls the members above from its first moment on.
  HttpServer m_server;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_TARGET_H_
