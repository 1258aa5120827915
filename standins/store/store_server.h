// HTTP server of the stand-in for the platform's store, with faults, rate
// limits and counts.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_SERVER_H_
#define JACINTHDECK_STANDINS_STORE_STORE_SERVER_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "http/http_message.h"
#include "http/http_server.h"
#include "jacinthdeck/core/random.h"
#include "store/kv_store.h"
#include "store/rate_limit.h"
#include "store/store_control.h"
#include "store/store_faults.h"

namespace jacinthdeck::standins {

/**
 * \brief Answers the calls of the store as the platform's pages describe them.
 *
 * Operators and targets write through `POST /control`, which faults and limits
 * do not affect, because how these clients see the store is outside this
 * project.
 */
class StoreServer {
 public:
  /**
   * \brief Opens the server.
   * \param port Port on 127.0.0.1; 0 picks a free port.
   * \param clock Clock of leases and rate limits; must outlive the server.
   * \param rates Rate limits at the start.
   * \param seed Seed of the random faults.
   */
  StoreServer(std::uint16_t port,
              const Clock& clock,
              const StoreRates& rates,
              std::uint64_t seed);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_server.port(); }

  /*! \brief Returns the content, so that a test can set it up and check it. */
  [[nodiscard]] KvStore& content() noexcept { return m_content; }

  [[nodiscard]] StoreCounts counts() const;
  [[nodiscard]] StoreFaults faults() const;

  /*! \brief Applies a control message: faults and rates, then the restore, the
   * snapshot, puts and removes, and the compaction. */
  void Apply(const StoreControl& control);

 private:
  using CallHandler = HttpReply (StoreServer::*)(const HttpRequest&);
  struct Route;

  [[nodiscard]] HttpReply Handle(const HttpRequest& request);
  //! Answers a call of the store, or lets it fail as the faults say.
  [[nodiscard]] HttpReply AnswerWithFaults(const HttpRequest& request);
  [[nodiscard]] HttpReply Dispatch(const HttpRequest& request);
  [[nodiscard]] HttpReply Get(const HttpRequest& request);
  [[nodiscard]] HttpReply Range(const HttpRequest& request);
  [[nodiscard]] HttpReply Watch(const HttpRequest& request);
  [[nodiscard]] HttpReply Write(const HttpRequest& request);
  [[nodiscard]] HttpReply Grant(const HttpRequest& request);
  [[nodiscard]] HttpReply Renew(const HttpRequest& request);
  [[nodiscard]] HttpReply Revoke(const HttpRequest& request);
  [[nodiscard]] HttpReply Control(const HttpRequest& request);
  [[nodiscard]] HttpReply Counts() const;
  //! Counts a call and returns whether its rate limit admits it.
  [[nodiscard]] bool Admit(const Route& route);
  //! Draws whether the reply to a write is lost, and counts a lost one.
  [[nodiscard]] bool ShouldLoseReply();

  const Clock& m_clock;
  KvStore m_content;
  mutable std::mutex m_mutex;
  StoreFaults m_faults;
  StoreCounts m_counts;
  RateLimit m_read_limit;
  RateLimit m_write_limit;
  Random m_random;
  std::atomic<bool> m_stopping = false;
  //! Declared last: as soon as it is constructed its threads call Handle(),
  //! which uses the members above.
  HttpServer m_server;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_SERVER_H_
