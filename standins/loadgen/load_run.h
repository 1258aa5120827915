// Open-loop run of requests over one libcurl multi handle.
#ifndef JACINTHDECK_STANDINS_LOADGEN_LOAD_RUN_H_
#define JACINTHDECK_STANDINS_LOADGEN_LOAD_RUN_H_

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "loadgen/arrivals.h"
#include "loadgen/load_options.h"
#include "loadgen/sample.h"

namespace jacinthdeck::standins {

/**
 * \brief Sends the requests of one run on the thread that calls Run().
 *
 * A request that was not run, or for which no connection could be opened, is
 * resent to the next entry, as callers are asked to do, up to
 * LoadOptions::resends times. No other request is sent again.
 */
class LoadRun {
 public:
  /**
   * \brief Prepares a run.
   * \param options Options that CheckLoadOptions() has accepted.
   * \param entries Addresses of the entries, at least one.
   */
  LoadRun(LoadOptions options, std::vector<Endpoint> entries);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /*! \brief Sends all requests and waits until each has ended.
   * \return One sample per request, in the order in which they ended. */
  [[nodiscard]] std::vector<Sample> Run();

 private:
  using SteadyTimePoint = std::chrono::steady_clock::time_point;
  struct Transfer;
  struct ScheduledSend {
    //! Time to send it, since the start of the run.
    Duration at;
    std::uint64_t number = 0;
    //! Time at which the request was first due; latency counts from it.
    Duration first_due;
    //! Index of the entry to send to.
    std::size_t entry = 0;
    std::uint64_t resends = 0;
    //! Request id; empty if none is sent.
    std::string id;
    [[nodiscard]] bool operator>(const ScheduledSend& other) const {
      return at > other.at;
    }
  };

  void StartDueRequests();
  void StartTransfer(const ScheduledSend& due);
  void CollectFinished();
  [[nodiscard]] bool ResendIfNotRun(const Transfer& transfer,
                                    const Sample& sample);
  [[nodiscard]] Duration Elapsed() const;
  [[nodiscard]] int PollTimeoutMs() const;
  [[nodiscard]] std::string RequestBody(std::uint64_t number) const;
  [[nodiscard]] std::string RequestId(std::uint64_t number) const;

  LoadOptions m_options;
  std::vector<Endpoint> m_entries;
  Arrivals m_arrivals;
  CURLM* m_multi;
  SteadyTimePoint m_start;
  std::uint64_t m_scheduled_count = 0;
  Duration m_next_arrival{};
  std::priority_queue<ScheduledSend, std::vector<ScheduledSend>, std::greater<>>
      m_send_queue;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  std::vector<CURL*> m_idle_handles;
  std::vector<Sample> m_samples;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_LOAD_RUN_H_
