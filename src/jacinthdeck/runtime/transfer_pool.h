// Transfers to targets in flight, over one libcurl multi handle.
#ifndef JACINTHDECK_RUNTIME_TRANSFER_POOL_H_
#define JACINTHDECK_RUNTIME_TRANSFER_POOL_H_

#include <curl/curl.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/runtime/target_command.h"

namespace jacinthdeck::internal {

/*! \brief Sockets open to one target; the hard limit, since libcurl's pool
 * holds none per target. */
struct SocketBudget {
  std::uint32_t open = 0;
  std::uint32_t limit = 1;
};

/*! \brief Runs transfers on the thread that calls Step(). */
class TransferPool {
 public:
  using ReplySink = std::function<bool(AttemptReply&)>;

  TransferPool(const Clock& clock, ReplySink sink);
  TransferPool(const TransferPool&) = delete;
  TransferPool& operator=(const TransferPool&) = delete;
  ~TransferPool();

  /*! \brief Starts or cancels a transfer. */
  void Accept(TargetCommand command);

  /*! \brief Moves transfers on and reports those that ended; waits a little
   * where nothing moves. */
  void Step();

  /*! \brief Ends the wait of a Step() on another thread. */
  void Wake() noexcept;

 private:
  struct Transfer;
  struct HandleCleanup {
    void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
  };
  using Handle = std::unique_ptr<CURL, HandleCleanup>;

  void Start(const TargetSend& send);
  void Cancel(AttemptId attempt);
  //! Gives the budget of the target that the transfer goes to.
  [[nodiscard]] SocketBudget& Prepare(Transfer& transfer,
                                      const Endpoint& endpoint,
                                      const std::string& path);
  [[nodiscard]] Handle TakeHandle();
  void Collect();
  void End(CURL* handle, CURLcode code);
  void Report(AttemptReply reply);
  void Flush();

  const Clock& m_clock;
  ReplySink m_sink;
  CURLM* m_multi;
  //! Keyed by "ip:port"; entries outlive their sockets, so their addresses are
  //! stable.
  std::map<std::string, std::unique_ptr<SocketBudget>> m_budgets;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  std::unordered_map<AttemptId, CURL*> m_by_attempt;
  //! Handles to use again; each keeps its buffers.
  std::vector<Handle> m_idle;
  //! Ends that the sink had no room for; offered again in order, never dropped.
  std::deque<AttemptReply> m_backlog;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_RUNTIME_TRANSFER_POOL_H_
