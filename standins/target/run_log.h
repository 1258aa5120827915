// What has run on the targets of one process, to prove that nothing ran twice.
#ifndef JACINTHDECK_STANDINS_TARGET_RUN_LOG_H_
#define JACINTHDECK_STANDINS_TARGET_RUN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck::standins {

/*! \brief One run: a slot began to work on a request. */
struct Run {
  TargetId target;
  std::string attempt;
};

/*! \brief All runs of one request. */
struct RequestRuns {
  std::string method;
  //! Request as canonical JSON.
  std::string request;
  std::vector<Run> runs;
};

/*! \brief Log of runs by request; the oldest requests are dropped. */
class RunLog {
 public:
  /*! \brief Notes a run before its work begins. */
  void Record(const std::string& method, const std::string& request, Run run);

  /*! \brief Runs of a method's requests; an empty method stands for all. */
  [[nodiscard]] std::vector<RequestRuns> Find(const std::string& method) const;

  /*! \brief Count of all runs, dropped ones included. */
  [[nodiscard]] std::uint64_t total() const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, RequestRuns> m_requests;
  //! Keys of m_requests, oldest first.
  std::deque<std::string> m_insertion_order;
  std::uint64_t m_total = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_RUN_LOG_H_
