// Log of the requests that ran on the targets of one process. Tests use it to
// prove that no request ran twice.
#ifndef JACINTHDECK_STANDINS_TARGET_RUN_LOG_H_
#define JACINTHDECK_STANDINS_TARGET_RUN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "target/account_headers.h"

namespace jacinthdeck::standins {

/*! \brief One run of a request: it took a slot of a target. */
struct Run {
  TargetId target;
  //! Value of the X-Attempt header.
  std::string attempt;
  AccountHeaders headers = {};
  //! When it took the slot, on the machine's boot-time clock.
  TimePoint at = {};
};

/*! \brief All runs of one request. */
struct RequestRuns {
  std::string method;
  //! The request as canonical JSON.
  std::string request;
  std::vector<Run> runs;
};

/*! \brief Runs grouped by method and request. Beyond a fixed number of requests
 * the oldest are dropped. Safe to use from many threads. */
class RunLog {
 public:
  /*! \brief Adds a run; called before its work begins, so that a run that
   * crashes the target is logged too. */
  void Record(const std::string& method, const std::string& request, Run run);

  /*! \brief Returns the logged requests of a method, or of all methods if it is
   * empty. */
  [[nodiscard]] std::vector<RequestRuns> Find(const std::string& method) const;

  /*! \brief Returns the number of all runs, including dropped ones. */
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
